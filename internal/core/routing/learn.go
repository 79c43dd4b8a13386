package routing

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// unreachableFor is how long an owner that did not answer is not asked.
const unreachableFor = time.Second

// owner is what an entry has learnt of one owner.
type owner struct {
	unreachableUntil time.Time
	// freeAt is when its queue was said to be gone.
	freeAt time.Time
}

func (o *owner) reachable(now time.Time) bool { return !now.Before(o.unreachableUntil) }

func (o *owner) wait(now time.Time) time.Duration { return max(0, o.freeAt.Sub(now)) }

// Granted takes in a grant for w by an owner.
func (r *Router) Granted(now time.Time, from entity.InstanceID, _ *entity.Work, g entity.Grant) {
	o := r.owner(from)
	o.unreachableUntil = time.Time{}
	o.freeAt = now
	if c := r.endpoints[g.Endpoint]; c != nil {
		c.running++
	}
}

// Refused takes in a refusal of w by an owner that was asked at sentAt.
func (r *Router) Refused(now time.Time, from entity.InstanceID, w *entity.Work, refusal entity.Refusal, sentAt time.Time) {
	o := r.owner(from)
	o.unreachableUntil = time.Time{}
	if !refusal.Infeasible {
		o.freeAt = now.Add(refusal.RetryAfter)
	}
	r.floors.add(now, from, w, &refusal, sentAt)
}

// Unreachable takes in that an owner did not answer.
func (r *Router) Unreachable(now time.Time, id entity.InstanceID) {
	r.owner(id).unreachableUntil = now.Add(unreachableFor)
}

// Finished takes in how a granted request ended on its endpoint.
func (r *Router) Finished(rel entity.Release) {
	c := r.endpoints[rel.Endpoint]
	if c == nil {
		return
	}
	c.running = max(0, c.running-1)
	if !rel.Paused {
		r.speeds.Observe(&c.Endpoint, rel)
	}
}

// Slow says whether an endpoint is well below the speed of its generation.
func (r *Router) Slow(id entity.EndpointID) bool {
	c := r.endpoints[id]
	return c != nil && r.speeds.Slow(&c.Endpoint)
}
