package routing

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// unreachableFor is how long an owner that did not answer is not asked again.
const unreachableFor = time.Second

// maxTiers bounds the tiers for which queue times are stored separately.
const maxTiers = 8

// maxBusyFor bounds how long an owner is skipped after it had no free slot.
const maxBusyFor = 2 * time.Second

// owner is what an entry has learned about one owner.
type owner struct {
	unreachableUntil time.Time
	// freeAt is, per tier, when its queue is expected to be empty, by its last
	// refusal or grant.
	freeAt [maxTiers]time.Time
	// busyTier and busyUntil record a refusal: until then work of that tier and
	// lower ones would be refused again.
	busyTier  entity.Tier
	busyUntil time.Time
}

// busy reports whether a request of tier t for a slot without waiting is
// expected to be refused.
func (o *owner) busy(now time.Time, t entity.Tier) bool {
	return t >= o.busyTier && now.Before(o.busyUntil)
}

// recordRefusal records that an owner has no slot for tier t.
func (o *owner) recordRefusal(now time.Time, t entity.Tier, retryAfter time.Duration) {
	o.freeAt[tierIndex(t)] = now.Add(retryAfter)
	if now.Before(o.busyUntil) && o.busyTier < t {
		return
	}
	o.busyTier = t
	o.busyUntil = now.Add(min(retryAfter/2, maxBusyFor))
}

func (o *owner) reachable(now time.Time) bool { return !now.Before(o.unreachableUntil) }

// wait returns the expected time in the owner's queue for tier t.
func (o *owner) wait(now time.Time, t entity.Tier) time.Duration {
	return max(0, o.freeAt[tierIndex(t)].Sub(now))
}

// tierIndex returns the index of a tier in freeAt. All tiers from the last index
// on share it.
func tierIndex(t entity.Tier) int { return min(max(int(t), 0), maxTiers-1) }

// Granted records that an owner granted a slot for w.
func (r *Router) Granted(now time.Time, from entity.InstanceID, w *entity.Work, g entity.Grant) {
	o := r.owner(from)
	if w.Tier >= o.busyTier {
		o.busyUntil = time.Time{}
	}
	o.unreachableUntil = time.Time{}
	o.freeAt[tierIndex(w.Tier)] = now
	if c := r.endpoints[g.Endpoint]; c != nil {
		c.running++
	}
}

// Refused records that an owner refused the reservation for w sent at sentAt.
func (r *Router) Refused(now time.Time, from entity.InstanceID, w *entity.Work, refusal entity.Refusal, sentAt time.Time) {
	o := r.owner(from)
	o.unreachableUntil = time.Time{}
	if !refusal.Infeasible {
		o.recordRefusal(now, w.Tier, refusal.RetryAfter)
	}
	r.guarantees.add(now, from, w, &refusal, sentAt)
}

// Unreachable records that an owner did not answer. It is not asked for one
// second, or until it answers an earlier reservation.
func (r *Router) Unreachable(now time.Time, id entity.InstanceID) {
	r.owner(id).unreachableUntil = now.Add(unreachableFor)
}

// Finished records how a granted request ended on its endpoint.
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

// Slow reports whether an endpoint is far slower than its hardware generation.
func (r *Router) Slow(id entity.EndpointID) bool {
	c := r.endpoints[id]
	return c != nil && r.speeds.Slow(&c.Endpoint)
}
