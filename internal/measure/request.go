package measure

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// requestState is the state of one request in a run.
type requestState struct {
	a        *arrival
	run      *run
	arrived  time.Time
	deadline time.Time
	// dispatches counts how often the request was sent to an endpoint.
	dispatches int
	endpoint   endpoint
	active     bool // dispatched, and neither paused nor finished
	processed  int
	// newPrefill counts the processed prompt tokens that no engine had cached before.
	newPrefill int
	firstToken time.Time
	lastToken  time.Time
	finished   bool
	// infeasible is set if no endpoint, even an idle one, could have answered by the
	// deadline.
	infeasible bool
	// onComplete informs the policy that the answer is complete.
	onComplete func()
}

// dispatch sends r to an endpoint, where it arrives after the network delay.
func (r *requestState) dispatch(e endpoint) {
	r.dispatches++
	r.endpoint, r.active = e, true
	r.run.serving[r] = struct{}{}
	r.run.c.after(netDelay, func() {
		if !r.finished {
			e.submit(r)
		}
	})
}

// resume continues a paused stream.
func (r *requestState) resume(e endpoint) {
	r.active = true
	r.run.serving[r] = struct{}{}
	r.run.c.after(netDelay, func() {
		if !r.finished {
			e.resume(r)
		}
	})
}

// token records a generated token.
func (r *requestState) token(now time.Time) {
	if r.firstToken.IsZero() {
		r.firstToken = now
		r.run.result.addFirstToken(r)
	} else {
		r.run.result.addTokenGap(r, now.Sub(r.lastToken))
	}
	r.lastToken = now
}

// complete is called by the endpoint when the answer is complete.
func (r *requestState) complete(now time.Time) {
	r.deactivate()
	if r.finished {
		return
	}
	r.finished = true
	r.run.result.addCompleted(r, !now.After(r.deadline))
	if r.onComplete != nil {
		r.onComplete()
	}
}

// refuse ends r without an answer.
func (r *requestState) refuse(reason verdict.Reason) {
	if r.finished {
		return
	}
	r.finished = true
	r.deactivate()
	r.run.result.addRefused(r, reason)
}

// stop cancels r at its endpoint, if it was dispatched.
func (r *requestState) stop() {
	if r.endpoint != nil {
		r.endpoint.cancel(r)
	}
	r.deactivate()
}

// deactivate records that r is not served at present.
func (r *requestState) deactivate() {
	r.active = false
	delete(r.run.serving, r)
}
