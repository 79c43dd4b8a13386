package routing

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// unreachableFor is how long an owner that did not answer is not asked.
const unreachableFor = time.Second

// maxTiers bounds the tiers about which an entry learns apart.
const maxTiers = 8

// maxBusy bounds how long an owner is passed over after it had no slot.
const maxBusy = 2 * time.Second

// owner is what an entry has learnt of one owner.
type owner struct {
	unreachableUntil time.Time
	// freeAt is when, per tier, its queue was said to be gone.
	freeAt [maxTiers]time.Time
	// busyTier and busyUntil remember a refusal: work of that tier and below
	// would be refused again.
	busyTier  entity.Tier
	busyUntil time.Time
}

// busy says that asking for a slot at once would be in vain, as far as is known.
func (o *owner) busy(now time.Time, t entity.Tier) bool {
	return t >= o.busyTier && now.Before(o.busyUntil)
}

// refused remembers that an owner has no slot for tier t.
func (o *owner) refused(now time.Time, t entity.Tier, retryAfter time.Duration) {
	o.freeAt[slot(t)] = now.Add(retryAfter)
	if now.Before(o.busyUntil) && o.busyTier < t {
		return
	}
	o.busyTier = t
	o.busyUntil = now.Add(min(retryAfter/2, maxBusy))
}

func (o *owner) reachable(now time.Time) bool { return !now.Before(o.unreachableUntil) }

func (o *owner) wait(now time.Time, t entity.Tier) time.Duration {
	return max(0, o.freeAt[slot(t)].Sub(now))
}

// slot is the place of a tier in a table; all tiers beyond the last share one.
func slot(t entity.Tier) int { return min(max(int(t), 0), maxTiers-1) }

// Granted takes in a grant for w by an owner.
func (r *Router) Granted(now time.Time, from entity.InstanceID, w *entity.Work, g entity.Grant) {
	o := r.owner(from)
	if w.Tier >= o.busyTier {
		o.busyUntil = time.Time{}
	}
	o.unreachableUntil = time.Time{}
	o.freeAt[slot(w.Tier)] = now
	if c := r.endpoints[g.Endpoint]; c != nil {
		c.running++
	}
}

// Refused takes in a refusal of w by an owner that was asked at sentAt.
func (r *Router) Refused(now time.Time, from entity.InstanceID, w *entity.Work, refusal entity.Refusal, sentAt time.Time) {
	o := r.owner(from)
	o.unreachableUntil = time.Time{}
	if !refusal.Infeasible {
		o.refused(now, w.Tier, refusal.RetryAfter)
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
