package request

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// HandlePreemption processes an owner's preemption: the request is paused or
// cancelled, so that its slot is released to a higher tier.
func (e *Entry) HandlePreemption(now time.Time, from entity.InstanceID, p entity.Preemption) {
	r, ok := e.rows[p.ID]
	if !ok || !slices.Contains(r.holders, from) || r.grantSeq != p.Seq || r.state != StateRunning {
		return
	}
	if !p.Pause {
		e.cancelRunning(now, r, verdict.ReasonPreempted)
		return
	}
	r.state = StatePausing
	e.addDirective(Directive{ID: p.ID, Kind: DirectivePause, Endpoint: r.endpoint})
}

// Paused reports that the endpoint confirmed the pause of a stream.
func (e *Entry) Paused(now time.Time, id entity.RequestID) {
	r, ok := e.rows[id]
	if !ok || r.state != StatePausing {
		return
	}
	r.state = StatePaused
	r.paused = true
	r.resume = r.endpoint
	e.release(r, entity.Release{ID: id, Endpoint: r.endpoint, Paused: true})
	e.reserveNext(now, r)
}

// Ended reports how a dispatch ended. A nil end.Err means a complete answer.
func (e *Entry) Ended(now time.Time, id entity.RequestID, end End) {
	r, ok := e.rows[id]
	if !ok || r.state == StateReserving || r.state == StateClaiming {
		return
	}
	end.Release.ID, end.Release.Endpoint = id, r.endpoint
	if r.paused {
		// The duration includes the pause, so it is no measure of the endpoint's speed.
		end.Release.TimeToFirstToken, end.Release.DecodeTime = 0, 0
	}
	e.withdraw(r, r.owner)
	e.release(r, end.Release)
	if end.Err == nil {
		e.finish(now, r, nil, end.Answer)
		return
	}
	if end.Err.Verdict == verdict.NotRun && !r.cancelled {
		if end.Err = e.retry(now, r, end.Err); end.Err == nil {
			return
		}
	}
	e.finish(now, r, end.Err, end.Answer)
}

// retry puts a request that was not run back into StateReserving, so that it is
// dispatched again after a pause. If that is not allowed, retry returns the error for
// the caller.
func (e *Entry) retry(now time.Time, r *row, err *verdict.Error) *verdict.Error {
	e.claims.NotSent(r.work.ID)
	d := e.retries.Failed(now, &r.work, r.dispatches, err)
	if !d.Retry {
		return notRetriedError(err, d.Reason)
	}
	e.ready.Retries = append(e.ready.Retries, Retry{ID: r.work.ID, Reason: err.Reason})
	r.state, r.owner, r.holders, r.endpoint, r.resume, r.tried = StateReserving, "", nil, "", "", nil
	e.reserveAfter(now, r, d.Wait)
	return nil
}

// notRetriedError returns the error for the caller of a request that was not run and
// is not retried for the given reason.
func notRetriedError(err *verdict.Error, reason verdict.Reason) *verdict.Error {
	if reason != verdict.ReasonRetryBudget {
		return err
	}
	return &verdict.Error{Verdict: verdict.NotRun, Reason: reason, RetryAfter: max(err.RetryAfter, retryAfterBudget),
		Message: "an endpoint refused the request, and the pool's budget for further tries is used up"}
}

// CallerGone reports that the caller closed its connection. A non-idempotent request
// that runs continues, so that its outcome can be recorded.
func (e *Entry) CallerGone(now time.Time, id entity.RequestID) {
	r, ok := e.rows[id]
	if !ok || (r.work.NonIdempotent && r.state == StateRunning) {
		return
	}
	e.abandon(now, r, verdict.ReasonCallerGone, 0)
}

// abandon ends a request in any state, with the verdict that is true in that state.
func (e *Entry) abandon(now time.Time, r *row, reason verdict.Reason, retryAfter time.Duration) {
	switch r.state {
	case StateClaiming:
		e.refuse(now, r, reason, retryAfter)
	case StateReserving:
		e.withdraw(r, "")
		e.refuse(now, r, reason, retryAfter)
	case StateRunning, StatePausing, StatePaused:
		e.cancelRunning(now, r, reason)
	}
}

// RefuseWaiting ends the requests that no endpoint runs now, and is repeated for those that have to wait again.
func (e *Entry) RefuseWaiting(now time.Time, reason verdict.Reason, retryAfter time.Duration) {
	for _, r := range e.sortedRows() {
		if r.state == StateClaiming || r.state == StateReserving || r.state == StatePaused {
			e.abandon(now, r, reason, retryAfter)
		}
	}
}

// cancelRunning cancels a dispatched request. Ended reports its end.
func (e *Entry) cancelRunning(_ time.Time, r *row, reason verdict.Reason) {
	if r.cancelled {
		return
	}
	if r.state == StatePaused {
		e.withdraw(r, "")
	}
	r.cancelled = true
	r.state = StateRunning
	e.timers.Delete(r)
	e.addDirective(Directive{ID: r.work.ID, Kind: DirectiveCancel, Endpoint: r.endpoint,
		Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: reason, Message: "the request was stopped after its dispatch"}})
}
