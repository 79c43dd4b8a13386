package request

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// HandleGrant tells that an owner holds a slot for the request.
func (e *Entry) HandleGrant(now time.Time, from entity.InstanceID, g entity.Grant) {
	r, ok := e.rows[g.ID]
	if ok && r.endpoint == g.Endpoint && r.grantSeq == g.Seq {
		return // a repetition of the grant that the request was dispatched on
	}
	if !ok || !r.isPending(from, g.Seq) || (r.state != StateReserving && r.state != StatePaused) {
		e.releaseUnused(from, g)
		return
	}
	e.withdraw(r, from)
	e.setTimer(r, r.work.Deadline)
	e.router.Granted(now, from, &r.work, g)
	r.owner, r.endpoint, r.grantSeq = from, g.Endpoint, g.Seq
	r.addHolder(from)
	if r.state == StatePaused {
		r.state = StateRunning
		e.notifyOwner(r)
		e.addDirective(Directive{ID: g.ID, Kind: DirectiveResume, Endpoint: g.Endpoint})
		return
	}
	if r.work.NonIdempotent && !e.claims.MayDispatch(now, g.ID) {
		e.releaseUnused(from, g)
		e.refuse(now, r, verdict.ReasonKeyExpired, 0)
		return
	}
	r.state = StateRunning
	r.dispatches++
	e.notifyOwner(r)
	e.addDirective(Directive{ID: g.ID, Kind: DirectiveDispatch, Endpoint: g.Endpoint, ImportFrom: g.ImportFrom,
		NotAfter: now.Add(e.settings.DispatchWithin)})
}

// HandleRefusal tells that an owner does not take the request.
func (e *Entry) HandleRefusal(now time.Time, from entity.InstanceID, f entity.Refusal) {
	r, ok := e.rows[f.ID]
	if !ok || !r.isPending(from, f.Seq) {
		return
	}
	a := r.takePending(from)
	e.router.Refused(now, from, &r.work, f, a.at)
	r.retryAfter = max(r.retryAfter, f.RetryAfter)
	r.markRefused(from, f.Infeasible)
	switch {
	case r.state == StatePaused && f.Infeasible:
		e.cancelRunning(now, r, verdict.ReasonDeadline)
	case r.state == StatePaused:
		e.reserveAfter(now, r, e.settings.RetryInterval)
	case len(r.pending) == 0 || a.NoWait:
		e.reserveNext(now, r)
	}
}

// ReservationUndelivered tells that a question could not be delivered to an owner.
func (e *Entry) ReservationUndelivered(now time.Time, owner entity.InstanceID, id entity.RequestID, question uint32) {
	e.router.Unreachable(now, owner)
	if r, ok := e.rows[id]; ok && r.isPending(owner, question) {
		e.reservationLost(now, r, owner)
	}
}

// OwnerLost tells that an owner is gone. Undispatched requests go to another
// owner: the lost one can't dispatch them, as only this entry can.
func (e *Entry) OwnerLost(now time.Time, owner entity.InstanceID) {
	e.router.Unreachable(now, owner)
	for _, r := range e.sortedRows() {
		if r.hasPending(owner) {
			e.reservationLost(now, r, owner)
		}
	}
}

// reservationLost goes on without the answer of an owner.
func (e *Entry) reservationLost(now time.Time, r *row, owner entity.InstanceID) {
	r.takePending(owner)
	switch {
	case r.state == StatePaused:
		e.reserveAfter(now, r, e.settings.RetryInterval)
	case len(r.pending) == 0:
		e.reserveNext(now, r)
	}
}

// ResendReservations repeats the questions that an owner has not answered, after the
// connection to it was lost. Owners answer a repeated question again.
func (e *Entry) ResendReservations(_ time.Time, owner entity.InstanceID) {
	for _, r := range e.sortedRows() {
		for _, a := range r.pending {
			if a.Owner == owner {
				e.sendReservation(r, a)
			}
		}
	}
}

// FreezeDetected tells that the instance was away. Answers to questions of before may
// be long out of date, so the requests ask anew.
func (e *Entry) FreezeDetected(now time.Time) {
	for _, r := range e.sortedRows() {
		if len(r.pending) > 0 {
			e.withdraw(r, "")
			e.reserveAfter(now, r, 0)
		}
	}
}
