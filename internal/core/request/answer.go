package request

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// HandleGrant processes an owner's grant: it dispatches or resumes the request, or
// releases the slot if the grant is outdated.
func (e *Entry) HandleGrant(now time.Time, from entity.InstanceID, g entity.Grant) {
	r, ok := e.rows[g.ID]
	if ok && r.endpoint == g.Endpoint && r.grantSeq == g.Seq {
		return // a duplicate of the grant on which the request was dispatched
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

// HandleRefusal processes an owner's refusal.
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

// ReservationUndelivered reports that a reservation could not be delivered to its
// owner.
func (e *Entry) ReservationUndelivered(now time.Time, owner entity.InstanceID, id entity.RequestID, seq uint32) {
	e.router.Unreachable(now, owner)
	if r, ok := e.rows[id]; ok && r.isPending(owner, seq) {
		e.reservationLost(now, r, owner)
	}
}

// OwnerLost reports that an owner is dead or in an unreachable zone. Requests that are
// not dispatched go to another owner: the lost one cannot have them dispatched, since
// only this entry dispatches.
func (e *Entry) OwnerLost(now time.Time, owner entity.InstanceID) {
	e.router.Unreachable(now, owner)
	for _, r := range e.sortedRows() {
		if r.hasPending(owner) {
			e.reservationLost(now, r, owner)
		}
	}
}

// reservationLost removes the reservation at an owner that will not answer it. A
// request with no other reservation pending tries the next owner; a paused one
// reserves again after RetryInterval.
func (e *Entry) reservationLost(now time.Time, r *row, owner entity.InstanceID) {
	r.takePending(owner)
	switch {
	case r.state == StatePaused:
		e.reserveAfter(now, r, e.settings.RetryInterval)
	case len(r.pending) == 0:
		e.reserveNext(now, r)
	}
}

// ResendReservations repeats the pending reservations at an owner after the
// connection to it was lost. Owners answer a repeated reservation again.
func (e *Entry) ResendReservations(_ time.Time, owner entity.InstanceID) {
	for _, r := range e.sortedRows() {
		for _, a := range r.pending {
			if a.Owner == owner {
				e.sendReservation(r, a)
			}
		}
	}
}

// FreezeDetected reports that the process of this instance was frozen. Answers to
// reservations sent before may be long outdated, so all pending reservations are
// withdrawn and sent anew.
func (e *Entry) FreezeDetected(now time.Time) {
	for _, r := range e.sortedRows() {
		if len(r.pending) > 0 {
			e.withdraw(r, "")
			e.reserveAfter(now, r, 0)
		}
	}
}
