package measure

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// arrived is one request on its way through a policy.
type arrived struct {
	a        *arrival
	run      *run
	arrived  time.Time
	deadline time.Time
	// dispatches counts how often it was sent to an endpoint.
	dispatches int
	at         endpoint
	active     bool // served by the endpoint now: not paused, not over
	processed  int
	// firstTime are processed prompt tokens that no engine had cached before.
	firstTime  int
	firstToken time.Time
	lastToken  time.Time
	over       bool
	// infeasible says that no endpoint could have answered in time, even idle.
	infeasible bool
	// onEnd tells the policy that the answer is whole.
	onEnd func()
}

// dispatch sends r to an endpoint, after the delay of the network.
func (r *arrived) dispatch(e endpoint) {
	r.dispatches++
	r.at, r.active = e, true
	r.run.serving[r] = struct{}{}
	r.run.c.after(netDelay, func() {
		if !r.over {
			e.submit(r)
		}
	})
}

// resumed goes on with a stream that was paused.
func (r *arrived) resumed(e endpoint) {
	r.active = true
	r.run.serving[r] = struct{}{}
	r.run.c.after(netDelay, func() {
		if !r.over {
			e.resume(r)
		}
	})
}

func (r *arrived) token(now time.Time) {
	if r.firstToken.IsZero() {
		r.firstToken = now
		r.run.result.firstToken(r)
	} else {
		r.run.result.between(r, now.Sub(r.lastToken))
	}
	r.lastToken = now
}

// ended is called by the endpoint when the answer is whole.
func (r *arrived) ended(now time.Time) {
	r.inactive()
	if r.over {
		return
	}
	r.over = true
	r.run.result.done(r, !now.After(r.deadline))
	if r.onEnd != nil {
		r.onEnd()
	}
}

// refuse ends r without an answer.
func (r *arrived) refuse(why verdict.Reason) {
	if r.over {
		return
	}
	r.over = true
	r.inactive()
	r.run.result.refused(r, why)
}

// stop cancels r where it runs.
func (r *arrived) stop() {
	if r.at != nil {
		r.at.cancel(r)
	}
	r.inactive()
}

func (r *arrived) inactive() {
	r.active = false
	delete(r.run.serving, r)
}
