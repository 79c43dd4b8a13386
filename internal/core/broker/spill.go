package broker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Elsewhere takes in another zone's word on its free slots.
func (b *Broker) Elsewhere(now time.Time, from entity.InstanceID, s State) {
	b.wake(now)
	b.pool(s.Pool).elsewhere[s.Zone] = &otherZone{broker: from, free: s.Free, at: now}
}

// States returns what other zones are to be told, by pool.
func (b *Broker) States(now time.Time) []State {
	var out []State
	for _, p := range b.sortedPools() {
		if len(p.engines) > 0 {
			out = append(out, State{Pool: p.id, Zone: b.settings.Zone, Free: p.free(now, b.settings.Part) - len(p.waiting)})
		}
	}
	return out
}

// spill passes a request on to another zone with slots to spare.
func (b *Broker) spill(now time.Time, p *pool, j *job) bool {
	if j.ask.Forwarded || b.settings.Part > 0 {
		return false
	}
	z := p.roomiest(now)
	if z == nil {
		return false
	}
	z.free--
	b.forget(j)
	ask := j.ask
	ask.Forwarded = true
	ask.TargetIn, ask.DeadlineIn = j.target.Sub(now), j.deadline.Sub(now)
	b.send(z.broker, ask)
	return true
}

// spillWaiting passes waiting requests on, in their order, while other zones
// have slots to spare.
func (b *Broker) spillWaiting(now time.Time, p *pool) {
	for _, j := range slices.Clone(p.waiting) {
		if p.roomiest(now) == nil {
			return
		}
		b.spill(now, p, j)
	}
}

// roomiest returns the other zone with the most free slots, nil if none has
// any to spare.
func (p *pool) roomiest(now time.Time) *otherZone {
	var best *otherZone
	for _, id := range slices.SortedFunc(maps.Keys(p.elsewhere), cmp.Compare[entity.ZoneID]) {
		z := p.elsewhere[id]
		if now.Sub(z.at) > stateFresh || z.free <= spillReserve {
			continue
		}
		if best == nil || z.free > best.free {
			best = z
		}
	}
	return best
}
