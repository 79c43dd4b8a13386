package broker

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// HandleZoneState processes the state of a pool in another zone.
func (b *Broker) HandleZoneState(now time.Time, from entity.InstanceID, s ZoneState) {
	b.discardStale(now)
	z := &remoteZone{broker: from, state: s, receivedAt: now}
	for class, ms := range s.WaitsMs {
		z.waits[class] = time.Duration(ms) * time.Millisecond
	}
	p := b.pool(s.Pool)
	p.remoteZones[s.Zone] = z
	p.learnAppointments(now, s.Appointments)
}

// ZoneStates returns the state of each pool, to be sent to the brokers of other zones. Each
// appointment is in one of them only.
func (b *Broker) ZoneStates(now time.Time) []ZoneState {
	var out []ZoneState
	for _, p := range b.sortedPools() {
		if len(p.engines) > 0 {
			out = append(out, ZoneState{
				Pool: p.id, Zone: b.settings.Zone, Free: p.free(now, b.settings.SlotShare) - len(p.waiting),
				Slots: p.capacity(now, b.settings.SlotShare).size(), WaitsMs: inMilliseconds(p.waits(now, b.settings.SlotShare)),
				Versions: p.versions(), Appointments: p.notices(now),
			})
		}
	}
	return out
}

// waits estimates, by rank class, how long a new request would wait.
func (p *pool) waits(now time.Time, slotShare float64) (out [rankClasses]time.Duration) {
	c := p.capacity(now, slotShare)
	for _, j := range p.waiting {
		share := c.serveTime(p.occupancy(j))
		for class := j.rankClass(); class < rankClasses; class++ {
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

// rankClass returns the index of j's rank class in a ZoneState.
func (j *job) rankClass() int {
	if j.late {
		return rankClasses - 1
	}
	return min(max(j.request.Rank, 0), rankClasses-1)
}

// spill forwards a request to a remote zone that has slots to spare, or where the expected wait is
// shorter by more than minSpillGain. It reports whether it did.
func (b *Broker) spill(now time.Time, p *pool, j *job) bool {
	if j.request.NoForward || b.settings.SlotShare > 0 {
		return false
	}
	z := p.zoneWithMostFree(now, j)
	if z == nil {
		z = b.shorterQueue(now, p, j)
	}
	if z == nil {
		return false
	}
	b.spillTo(now, p, j, z)
	return true
}

// spillTo forwards a request to the broker of a remote zone and adds it to the recorded state of
// that zone until the next report.
func (b *Broker) spillTo(now time.Time, p *pool, j *job, z *remoteZone) {
	z.state.Free--
	share := p.occupancy(j) / time.Duration(max(1, z.state.Slots))
	for class := j.rankClass(); class < rankClasses; class++ {
		z.waits[class] += share
	}
	j.request.NoForward = true
	b.forward(now, j, z.broker)
}

// HandOver forwards all requests that wait for a pool to the instance that grants its slots from
// now on. The entries report the running requests to it.
func (b *Broker) HandOver(now time.Time, id entity.PoolID, to entity.InstanceID) {
	b.discardStale(now)
	for _, j := range slices.Clone(b.pool(id).waiting) {
		b.forward(now, j, to)
	}
}

// forward sends a slot request on to another broker and informs its entry.
func (b *Broker) forward(now time.Time, j *job, to entity.InstanceID) {
	b.removeJob(j)
	req := j.request
	req.TargetIn, req.DeadlineIn = j.target.Sub(now), j.deadline.Sub(now)
	if !j.end.IsZero() {
		req.EndIn = j.end.Sub(now)
	}
	if !j.entryEnd.IsZero() {
		req.EntryEndsIn = max(time.Nanosecond, j.entryEnd.Sub(now))
	}
	b.send(to, req)
	b.send(req.From, Forwarded{ID: req.ID, Seq: req.Seq, To: to})
}

// shorterQueue returns the remote zone where j would wait least, nil if no wait is shorter than the
// local one by more than minSpillGain. Without a local engine for it, any wait is shorter.
func (b *Broker) shorterQueue(now time.Time, p *pool, j *job) *remoteZone {
	class := j.rankClass()
	shortest := p.waits(now, b.settings.SlotShare)[class] - minSpillGain
	if !p.hasEngines() || !p.serves(&j.request) {
		shortest = math.MaxInt64
	}
	var best *remoteZone
	for _, z := range p.freshZones(now, j) {
		if w := z.waits[class]; z.state.Slots > 0 && w < shortest {
			best, shortest = z, w
		}
	}
	return best
}

// spillWaiting forwards waiting requests, in queue order, while remote zones have slots to spare.
func (b *Broker) spillWaiting(now time.Time, p *pool) {
	for _, j := range slices.Clone(p.waiting) {
		z := p.zoneWithMostFree(now, j)
		if z == nil && !j.request.constrained() {
			return
		}
		if z != nil && !j.request.NoForward && b.settings.SlotShare <= 0 {
			b.spillTo(now, p, j, z)
		}
	}
}

// isNew reports whether the broker has just begun to grant the pool's slots, and may not have heard
// of the other zones yet.
func (p *pool) isNew(now time.Time) bool { return now.Sub(p.takenOverAt) < loadTimeout }

// spillFromNew forwards the requests that wait at a new broker without engines of its own, once it
// has heard of a zone with some.
func (b *Broker) spillFromNew(now time.Time, p *pool) {
	if p.hasEngines() || !p.isNew(now) {
		return
	}
	for _, j := range slices.Clone(p.waiting) {
		b.spill(now, p, j)
	}
}

// zoneWithMostFree returns the remote zone with the most free slots for j, nil if none has more than
// spillReserve.
func (p *pool) zoneWithMostFree(now time.Time, j *job) *remoteZone {
	var best *remoteZone
	for _, z := range p.freshZones(now, j) {
		if z.state.Free > spillReserve && (best == nil || z.state.Free > best.state.Free) {
			best = z
		}
	}
	return best
}

// freshZones returns the remote zones that have engines for j and whose state is no older than
// zoneStateExpiry, sorted by id.
func (p *pool) freshZones(now time.Time, j *job) []*remoteZone {
	var out []*remoteZone
	for _, id := range slices.Sorted(maps.Keys(p.remoteZones)) {
		z := p.remoteZones[id]
		if j.request.constrained() && !j.request.admitsAny(z.state.Versions) {
			continue
		}
		if now.Sub(z.receivedAt) <= zoneStateExpiry {
			out = append(out, z)
		}
	}
	return out
}
