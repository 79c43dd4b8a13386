package broker

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// HandleZoneState takes in another zone's word on its slots.
func (b *Broker) HandleZoneState(now time.Time, from entity.InstanceID, s ZoneState) {
	b.wake(now)
	z := &otherZone{broker: from, state: s, at: now}
	for class, ms := range s.WaitsMs {
		z.waits[class] = time.Duration(ms) * time.Millisecond
	}
	b.pool(s.Pool).elsewhere[s.Zone] = z
}

// ZoneStates returns what other zones are to be told, by pool.
func (b *Broker) ZoneStates(now time.Time) []ZoneState {
	var out []ZoneState
	for _, p := range b.sortedPools() {
		if len(p.engines) > 0 {
			out = append(out, ZoneState{
				Pool: p.id, Zone: b.settings.Zone, Free: p.free(now, b.settings.SlotShare) - len(p.waiting),
				Slots: p.slots(now, b.settings.SlotShare), WaitsMs: inMilliseconds(p.waits(now, b.settings.SlotShare)),
			})
		}
	}
	return out
}

// waits estimates, by rank, how long a new request would wait.
func (p *pool) waits(now time.Time, part float64) (out [rankClasses]time.Duration) {
	slots := time.Duration(max(1, p.slots(now, part)))
	for _, j := range p.waiting {
		share := p.occupancy(j) / slots
		for class := j.class(); class < rankClasses; class++ {
			out[class] += share
		}
	}
	return out
}

func inMilliseconds(waits [rankClasses]time.Duration) (out [rankClasses]int64) {
	for class, w := range waits {
		out[class] = w.Milliseconds()
	}
	return out
}

// class is the place of a job among the ranks that zones tell apart.
func (j *job) class() int {
	if j.late {
		return rankClasses - 1
	}
	return min(max(j.ask.Rank, 0), rankClasses-1)
}

// spill passes a request on to another zone that has slots to spare, or where
// it would wait clearly less.
func (b *Broker) spill(now time.Time, p *pool, j *job) bool {
	if j.ask.NoForward || b.settings.SlotShare > 0 {
		return false
	}
	z := p.roomiest(now)
	if z == nil {
		z = b.shorterQueue(now, p, j)
	}
	if z == nil {
		return false
	}
	b.passOn(now, p, j, z)
	return true
}

// passOn sends a request to another zone's broker, and counts it there until
// that one speaks again.
func (b *Broker) passOn(now time.Time, p *pool, j *job, z *otherZone) {
	z.state.Free--
	share := p.occupancy(j) / time.Duration(max(1, z.state.Slots))
	for class := j.class(); class < rankClasses; class++ {
		z.waits[class] += share
	}
	j.ask.NoForward = true
	b.pass(now, j, z.broker)
}

// HandOver passes all that waits for a pool on to the instance that grants its
// slots from now on. The entries tell that one what runs.
func (b *Broker) HandOver(now time.Time, id entity.PoolID, to entity.InstanceID) {
	b.wake(now)
	for _, j := range slices.Clone(b.pool(id).waiting) {
		b.pass(now, j, to)
	}
}

// pass has another broker answer a question.
func (b *Broker) pass(now time.Time, j *job, to entity.InstanceID) {
	b.forget(j)
	ask := j.ask
	ask.TargetIn, ask.DeadlineIn = j.target.Sub(now), j.deadline.Sub(now)
	if !j.end.IsZero() {
		ask.EndIn = j.end.Sub(now)
	}
	b.send(to, ask)
	b.send(ask.From, Forwarded{ID: ask.ID, Seq: ask.Seq, To: to})
}

// shorterQueue returns the zone where j would wait least, if that is clearly
// less than here.
func (b *Broker) shorterQueue(now time.Time, p *pool, j *job) *otherZone {
	class := j.class()
	least := p.waits(now, b.settings.SlotShare)[class] - spillGain
	var best *otherZone
	for _, z := range p.fresh(now) {
		if w := z.waits[class]; z.state.Slots > 0 && w < least {
			best, least = z, w
		}
	}
	return best
}

// spillWaiting passes waiting requests on, in their order, while other zones
// have slots to spare.
func (b *Broker) spillWaiting(now time.Time, p *pool) {
	for _, j := range slices.Clone(p.waiting) {
		z := p.roomiest(now)
		if z == nil {
			return
		}
		if !j.ask.NoForward && b.settings.SlotShare <= 0 {
			b.passOn(now, p, j, z)
		}
	}
}

// roomiest returns the other zone with the most free slots, nil if none has
// any to spare.
func (p *pool) roomiest(now time.Time) *otherZone {
	var best *otherZone
	for _, z := range p.fresh(now) {
		if z.state.Free > spillReserve && (best == nil || z.state.Free > best.state.Free) {
			best = z
		}
	}
	return best
}

// fresh returns the zones that have spoken lately, in the order of their names.
func (p *pool) fresh(now time.Time) []*otherZone {
	var out []*otherZone
	for _, id := range slices.Sorted(maps.Keys(p.elsewhere)) {
		if z := p.elsewhere[id]; now.Sub(z.at) <= stateFresh {
			out = append(out, z)
		}
	}
	return out
}
