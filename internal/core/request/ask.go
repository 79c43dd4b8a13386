package request

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/routing"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// reserveNext sends the reservation to the next owner. Where none is left the request
// waits in the queue that it has joined, is given up, or starts again.
func (e *Entry) reserveNext(now time.Time, r *row) {
	if !now.Before(r.work.Deadline) {
		e.abandon(now, r, verdict.ReasonDeadline, 0)
		return
	}
	if r.resume != "" {
		e.reserveResume(now, r)
		return
	}
	r.state = StateReserving
	choice, ok := e.router.Next(now, &r.work, r.tried)
	switch {
	case ok:
		r.tried = append(r.tried, choice)
		e.reserveAt(now, r, choice)
	case len(r.pending) > 0:
		e.startRound(r)
		r.queueWait = min(2*r.queueWait, e.settings.MaxQueueWait)
		e.reserveAfter(now, r, r.queueWait)
	default:
		e.shedOrRestart(now, r)
	}
}

// reserveResume asks the present owner of the endpoint that holds the paused stream.
func (e *Entry) reserveResume(now time.Time, r *row) {
	owner, ok := e.router.OwnerOf(r.resume)
	e.withdraw(r, owner)
	if ok {
		e.reserveAt(now, r, routing.Choice{Owner: owner, Endpoint: r.resume})
		return
	}
	e.reserveAfter(now, r, e.settings.RetryInterval)
}

// reserveAt sends one question. Only one question at a time may be queued; the
// others want a slot at once or a refusal.
func (e *Entry) reserveAt(now time.Time, r *row, c routing.Choice) {
	r.lastSeq++
	a := pendingReservation{Choice: c, at: now, seq: r.lastSeq}
	r.pending = append(r.pending, a)
	e.sendReservation(r, a)
	if !c.NoWait {
		r.queueWait = e.settings.FirstQueueWait
		e.reserveAfter(now, r, r.queueWait)
	}
}

// sendReservation sends a sendReservation, for the first time or again.
func (e *Entry) sendReservation(r *row, a pendingReservation) {
	e.ready.Reservations = append(e.ready.Reservations, ReservationTo{
		Owner: a.Owner,
		Reservation: entity.Reservation{Work: r.work, From: e.settings.Self, Seq: a.seq,
			Resume: r.resume, NoWait: a.NoWait},
	})
}

// shedOrRestart ends a request that no owner in reach takes, if that is proved; else
// the request starts again after a pause.
func (e *Entry) shedOrRestart(now time.Time, r *row) {
	switch {
	case !e.router.HasEndpoint(&r.work):
		e.refuse(now, r, verdict.ReasonNoEndpoint, retryAfterNoEndpoint)
	case e.router.Reaches(now, &r.work) && e.router.MayShed(now, &r.work, r.tried):
		e.refuse(now, r, r.shedReason(), r.retryAfter)
	default:
		e.startRound(r)
		e.reserveAfter(now, r, e.settings.RetryInterval)
	}
}

// startRound lets the request ask everybody again but the owners that could
// not serve it in time at all, and the one in whose queue it waits.
func (e *Entry) startRound(r *row) {
	r.tried = slices.DeleteFunc(r.tried, func(c routing.Choice) bool {
		return !c.Infeasible && (c.NoWait || !r.hasPending(c.Owner))
	})
}

// withdraw takes back all questions but the one to an owner that answered.
func (e *Entry) withdraw(r *row, answered entity.InstanceID) {
	for _, a := range r.pending {
		if a.Owner != answered {
			e.ready.Withdrawals = append(e.ready.Withdrawals, WithdrawalTo{Owner: a.Owner, ID: r.work.ID, Seq: a.seq})
		}
	}
	r.pending = nil
}

// releaseUnused gives a slot back that the request has no use for.
func (e *Entry) releaseUnused(owner entity.InstanceID, g entity.Grant) {
	e.ready.Releases = append(e.ready.Releases, ReleaseTo{Owner: owner,
		Release: entity.Release{ID: g.ID, Seq: g.Seq, Endpoint: g.Endpoint, Unused: true}})
}
