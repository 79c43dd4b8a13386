package fleet

import (
	"fmt"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/history"
)

// Fault names a kind of fault.
type Fault string

// The kinds of fault.
const (
	FaultKill              Fault = "kill"
	FaultKillZone          Fault = "kill_zone"
	FaultFreeze            Fault = "freeze"
	FaultCutZones          Fault = "cut_zones"
	FaultCutPlatform       Fault = "cut_platform"
	FaultOneWayLoss        Fault = "silent_one_way"
	FaultLossyLinks        Fault = "lossy_links"
	FaultDelayedMessages   Fault = "late_messages"
	FaultLogRefuses        Fault = "log_refuses"
	FaultLogUnresponsive   Fault = "log_silent"
	FaultLogSlow           Fault = "log_slow"
	FaultLostAppendAnswers Fault = "lost_append_answers"
	FaultStaleList         Fault = "list_late"
	FaultOperatorsRace     Fault = "operators_race"
	FaultEndpointLeaves    Fault = "endpoint_leaves"
	FaultEndpointSlow      Fault = "endpoint_slow"
	FaultEndpointRefuses   Fault = "endpoint_refuses"
	FaultEndpointDrops     Fault = "endpoint_drops_streams"
	FaultPlannedStop       Fault = "planned_stop"
	FaultInstanceAdded     Fault = "instance_added"
)

// faults lists how each kind of fault is injected. begin returns the function that
// ends the fault, or nil if there is nothing to undo.
var faults = []struct {
	kind  Fault
	begin func(f *Fleet) func()
}{
	{FaultKill, (*Fleet).killOne},
	{FaultKillZone, (*Fleet).killZone},
	{FaultFreeze, (*Fleet).freezeOne},
	{FaultCutZones, (*Fleet).cutZones},
	{FaultCutPlatform, (*Fleet).cutPlatform},
	{FaultOneWayLoss, (*Fleet).loseOneWay},
	{FaultLossyLinks, func(f *Fleet) func() { f.net.loss = 0.03; return func() { f.net.loss = 0 } }},
	{FaultDelayedMessages, func(f *Fleet) func() { f.net.delayed = 0.2; return func() { f.net.delayed = 0 } }},
	{FaultLogRefuses, func(f *Fleet) func() { return f.failLog(&f.platform.refusing) }},
	{FaultLogUnresponsive, func(f *Fleet) func() { return f.failLog(&f.platform.unresponsive) }},
	{FaultLogSlow, func(f *Fleet) func() { return increment(&f.platform.slow) }},
	{FaultLostAppendAnswers, func(f *Fleet) func() { f.platform.answerLoss = 0.4; return func() { f.platform.answerLoss = 0 } }},
	{FaultStaleList, func(f *Fleet) func() { f.platform.freezeList(); return func() { f.platform.listFreezes-- } }},
	{FaultOperatorsRace, func(f *Fleet) func() { f.raceOperators(); return nil }},
	{FaultEndpointLeaves, (*Fleet).endpointLeaves},
	{FaultEndpointSlow, (*Fleet).endpointSlow},
	{FaultEndpointRefuses, func(f *Fleet) func() { return increment(&f.endpoint(pick(f.clock, f.endpoints)).refusing) }},
	{FaultEndpointDrops, func(f *Fleet) func() { return increment(&f.endpoint(pick(f.clock, f.endpoints)).dropping) }},
	{FaultPlannedStop, (*Fleet).stopOne},
	{FaultInstanceAdded, func(f *Fleet) func() { f.start(pick(f.clock, f.zones)); return nil }},
}

// increment increments a counter and returns the function that decrements it again.
func increment(n *int) func() {
	*n++
	return func() { *n-- }
}

// scheduledFault is one fault of a simulation: its start time, its duration and its
// index in faults.
type scheduledFault struct {
	at, duration time.Duration
	index        int
}

// String returns the kind of the fault with its times.
func (s scheduledFault) String() string {
	return fmt.Sprintf("%s at %v for %v", faults[s.index].kind, s.at, s.duration)
}

// planFaults draws the faults of a simulation: single faults, two at the same time,
// or the same fault twice.
func (f *Fleet) planFaults(from, to time.Duration) []scheduledFault {
	var out []scheduledFault
	for range 1 + f.rng.Intn(3) {
		s := scheduledFault{at: f.between(from, to), duration: f.between(200*time.Millisecond, 6*time.Second), index: f.rng.Intn(len(faults))}
		out = append(out, s)
		switch f.rng.Intn(4) {
		case 0: // another fault at the same time
			out = append(out, scheduledFault{at: s.at, duration: f.between(200*time.Millisecond, 6*time.Second), index: f.rng.Intn(len(faults))})
		case 1: // the same fault again
			out = append(out, scheduledFault{at: s.at + f.between(0, 2*time.Second), duration: s.duration, index: s.index})
		}
	}
	return out
}

func (f *Fleet) inject(s scheduledFault) {
	f.at(epoch.Add(s.at), func() {
		f.tracef("fault %v", s)
		if undo := faults[s.index].begin(f); undo != nil {
			f.after(s.duration, func() {
				f.tracef("end of fault %v", s)
				undo()
			})
		}
	})
}

// live returns the instances that run and are not stopping.
func (f *Fleet) live() (in []*instance) {
	for _, i := range f.instances {
		if i.state == stateLive && !i.stopping {
			in = append(in, i)
		}
	}
	return in
}

// killOne kills an instance and later starts another one in its zone.
func (f *Fleet) killOne() func() {
	if in := pick(f.clock, f.live()); in != nil {
		in.kill()
		f.after(f.between(100*time.Millisecond, 3*time.Second), func() { f.start(in.zone) })
	}
	return nil
}

func (f *Fleet) killZone() func() {
	zone := pick(f.clock, f.zones)
	for _, in := range f.live() {
		if in.zone == zone {
			in.kill()
			f.after(f.between(100*time.Millisecond, 5*time.Second), func() { f.start(zone) })
		}
	}
	return nil
}

func (f *Fleet) freezeOne() func() {
	in := pick(f.clock, f.live())
	if in == nil {
		return nil
	}
	in.freeze()
	return in.unfreeze
}

func (f *Fleet) cutZones() func() {
	a, b := pick(f.clock, f.zones), pick(f.clock, f.zones)
	if a == b {
		return nil
	}
	f.net.adjustCut(a, b, 1)
	return func() { f.net.adjustCut(a, b, -1) }
}

func (f *Fleet) cutPlatform() func() {
	zone := pick(f.clock, f.zones)
	f.net.adjustCut(zone, platformZone, 1)
	f.recordLogAccess(history.KindDown, zone)
	return func() {
		f.net.adjustCut(zone, platformZone, -1)
		f.recordLogAccess(history.KindUp, zone)
	}
}

// failLog makes the log fail for all instances in the way that the counter stands for.
func (f *Fleet) failLog(counter *int) func() {
	undo := increment(counter)
	for _, z := range f.zones {
		f.recordLogAccess(history.KindDown, z)
	}
	return func() {
		undo()
		for _, z := range f.zones {
			f.recordLogAccess(history.KindUp, z)
		}
	}
}

// logReachable reports whether the log answers the instances of a zone.
func (f *Fleet) logReachable(zone entity.ZoneID) bool {
	return f.platform.refusing+f.platform.unresponsive == 0 && f.net.reaches(zone, platformZone)
}

// recordLogAccess records that the instances of a zone lost their access to the log
// (KindDown), or have it again (KindUp).
func (f *Fleet) recordLogAccess(kind history.Kind, zone entity.ZoneID) {
	if kind == history.KindUp && !f.logReachable(zone) {
		return
	}
	for _, in := range f.live() {
		if in.zone == zone && in.ready {
			f.record(history.Event{Kind: kind, Instance: in.id, Zone: zone})
		}
	}
}

// loseOneWay makes the connection between two instances lose all messages in one
// direction.
func (f *Fleet) loseOneWay() func() {
	a, b := pick(f.clock, f.live()), pick(f.clock, f.live())
	if a != nil && a != b {
		f.net.oneWayLoss[peerPair{a.id, b.id}] = true
	}
	return nil
}

func (f *Fleet) endpointLeaves() func() {
	id := pick(f.clock, f.endpoints)
	f.publishLeaving(id, true)
	return func() { f.publishLeaving(id, false) }
}

func (f *Fleet) endpointSlow() func() {
	e := f.endpoint(pick(f.clock, f.endpoints))
	e.slow++
	if eng := f.engines[e.row.ID]; eng != nil {
		eng.model.SetSlowdown(slowFactor)
	}
	return func() {
		if e.slow--; e.slow > 0 {
			return
		}
		if eng := f.engines[e.row.ID]; eng != nil {
			eng.model.SetSlowdown(1)
		}
	}
}

// slowFactor is the factor by which a slow engine is slower.
const slowFactor = 5

// stopOne begins the planned stop of an instance and later starts another one in its
// zone.
func (f *Fleet) stopOne() func() {
	if in := pick(f.clock, f.live()); in != nil && in.ready {
		in.stop()
		f.after(f.between(0, 2*time.Second), func() { f.start(in.zone) })
	}
	return nil
}
