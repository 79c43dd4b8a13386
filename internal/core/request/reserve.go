package request

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/routing"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// reserveNext sends a reservation to the next owner. If there is none left, the
// request waits in the queue that it has joined, is shed, or starts another round.
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

// reserveResume sends a reservation to the current owner of the endpoint that holds
// the paused stream.
func (e *Entry) reserveResume(now time.Time, r *row) {
	owner, ok := e.router.OwnerOf(r.resume)
	e.withdraw(r, owner)
	if ok {
		e.reserveAt(now, r, routing.Choice{Owner: owner, Endpoint: r.resume})
		return
	}
	e.reserveAfter(now, r, e.settings.RetryInterval)
}

// reserveAt sends one reservation to the chosen owner. Only one reservation of a
// request may be queued at a time; the others are sent with NoWait.
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

// sendReservation sends a reservation, for the first time or again.
func (e *Entry) sendReservation(r *row, a pendingReservation) {
	e.ready.Reservations = append(e.ready.Reservations, ReservationTo{
		Owner: a.Owner,
		Reservation: entity.Reservation{Work: r.work, From: e.settings.Self, Seq: a.seq,
			Resume: r.resume, NoWait: a.NoWait},
	})
}

// shedOrRestart refuses a request that no owner takes if no endpoint is configured
// for it or MayShed allows it. Otherwise the request starts another round after
// RetryInterval.
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

// startRound lets the request try all owners again, except those that could not
// serve it by its deadline at all and the one in whose queue it waits.
func (e *Entry) startRound(r *row) {
	r.tried = slices.DeleteFunc(r.tried, func(c routing.Choice) bool {
		return !c.Infeasible && (c.NoWait || !r.hasPending(c.Owner))
	})
}

// withdraw withdraws all pending reservations except the one at the given owner,
// which has answered or gets a new reservation that replaces it.
func (e *Entry) withdraw(r *row, except entity.InstanceID) {
	for _, a := range r.pending {
		if a.Owner != except {
			e.ready.Withdrawals = append(e.ready.Withdrawals, WithdrawalTo{Owner: a.Owner, ID: r.work.ID, Seq: a.seq})
		}
	}
	r.pending = nil
}

// releaseUnused releases a granted slot that the request does not use.
func (e *Entry) releaseUnused(owner entity.InstanceID, g entity.Grant) {
	e.ready.Releases = append(e.ready.Releases, ReleaseTo{Owner: owner,
		Release: entity.Release{ID: g.ID, Seq: g.Seq, Endpoint: g.Endpoint, Unused: true}})
}
