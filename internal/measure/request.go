package measure

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// requestState is one request on its way through a policy.
type requestState struct {
	a        *arrival
	run      *run
	arrived  time.Time
	deadline time.Time
	// dispatches counts how often it was sent to an endpoint.
	dispatches int
	endpoint   endpoint
	active     bool // served by the endpoint now: not paused, not over
	processed  int
	// newPrefill are processed prompt tokens that no engine had cached before.
	newPrefill int
	firstToken time.Time
	lastToken  time.Time
	finished   bool
	// infeasible says that no endpoint could have answered in time, even idle.
	infeasible bool
	// onComplete tells the policy that the answer is whole.
	onComplete func()
}

// dispatch sends r to an endpoint, after the delay of the network.
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

// resume goes on with a stream that was paused.
func (r *requestState) resume(e endpoint) {
	r.active = true
	r.run.serving[r] = struct{}{}
	r.run.c.after(netDelay, func() {
		if !r.finished {
			e.resume(r)
		}
	})
}

func (r *requestState) token(now time.Time) {
	if r.firstToken.IsZero() {
		r.firstToken = now
		r.run.result.addFirstToken(r)
	} else {
		r.run.result.addTokenGap(r, now.Sub(r.lastToken))
	}
	r.lastToken = now
}

// complete is called by the endpoint when the answer is whole.
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
func (r *requestState) refuse(why verdict.Reason) {
	if r.finished {
		return
	}
	r.finished = true
	r.deactivate()
	r.run.result.addRefused(r, why)
}

// stop cancels r where it runs.
func (r *requestState) stop() {
	if r.endpoint != nil {
		r.endpoint.cancel(r)
	}
	r.deactivate()
}

func (r *requestState) deactivate() {
	r.active = false
	delete(r.run.serving, r)
}
