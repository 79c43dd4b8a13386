package membership

import (
	"math/rand"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// maxConvergence is the guaranteed bound for all views to be correct after the
// last fault, at up to 10% message loss.
const maxConvergence = 20 * time.Second

func TestAllStartTogether(t *testing.T) {
	c := newCluster(t, 1)
	c.fill(3, 5)
	c.requireAgreement(maxConvergence)
	for _, n := range c.nodes {
		if v := n.core.View(); !v.Joined || len(v.Zones) != 3 {
			t.Fatalf("%s: got joined %v and %d zones, want joined and 3 zones", n.self.ID, v.Joined, len(v.Zones))
		}
	}
}

func TestKilledInstanceIsDeclaredDead(t *testing.T) {
	c := newCluster(t, 2)
	c.fill(2, 5)
	c.requireAgreement(maxConvergence)
	c.nodes[3].dead = true
	c.requireAgreement(maxConvergence)
}

func TestLeaveIsKnownWithin2s(t *testing.T) {
	c := newCluster(t, 3)
	c.fill(2, 5)
	c.requireAgreement(maxConvergence)
	c.loss = 0.2
	n := c.nodes[2]
	n.leavingSince = c.now
	n.core.Leave(c.now)
	c.run(2*time.Second, nil)
	for _, o := range c.nodes[:5] {
		v := o.core.View()
		z, _ := v.Zone("z0")
		for _, m := range z.Members {
			if m.ID == n.self.ID && !m.Leaving {
				t.Errorf("%s does not see %s as leaving", o.self.ID, m.ID)
			}
		}
	}
	if !n.core.LeaveAcknowledged() {
		t.Error("the leave was not acknowledged by all members")
	}
}

func TestInstanceRejoinsAfterFreeze(t *testing.T) {
	c := newCluster(t, 4)
	c.fill(1, 5)
	c.requireAgreement(maxConvergence)
	n := c.nodes[0]
	n.frozen = true
	c.run(maxConvergence, nil)
	v := c.nodes[1].core.View()
	if z, _ := v.Zone("z0"); len(z.Members) != 4 {
		t.Fatalf("got %d members, want 4 without the frozen instance", len(z.Members))
	}
	n.frozen = false
	c.requireAgreement(maxConvergence)
	if n.core.View().Self.Incarnation == 0 {
		t.Error("got incarnation 0 after the rejoin, want a higher one")
	}
}

func TestZoneCutOff(t *testing.T) {
	c := newCluster(t, 5)
	c.fill(3, 4)
	c.requireAgreement(maxConvergence)
	c.blocked = func(a, b *node) bool {
		return a.self.Zone != b.self.Zone && (a.self.Zone == "z0" || b.self.Zone == "z0")
	}
	c.run(maxConvergence, nil)
	for _, n := range c.nodes {
		v := n.core.View()
		if got := v.ReachableMembers(); (len(got["z0"]) == 4) != (n.self.Zone == "z0") || len(got[n.self.Zone]) != 4 {
			t.Errorf("%s: got wrong reachable members %v", n.self.ID, got)
		}
		for _, z := range v.Zones {
			reachable := z.Zone == n.self.Zone || (z.Zone != "z0" && n.self.Zone != "z0")
			if z.Reachable != reachable || len(z.Members) != 4 {
				t.Errorf("%s: zone %s: got reachable=%v with %d members, want 4, and reachable unless just one of the zones is z0",
					n.self.ID, z.Zone, z.Reachable, len(z.Members))
			}
		}
	}
	c.blocked = func(_, _ *node) bool { return false }
	c.run(maxConvergence, nil)
	c.requireAgreement(testStep)
	for _, n := range c.nodes {
		for _, z := range n.core.View().Zones {
			if !z.Reachable {
				t.Errorf("%s: zone %s is still unreachable", n.self.ID, z.Zone)
			}
		}
	}
}

func TestRevisionOfPeers(t *testing.T) {
	c := newCluster(t, 6)
	c.fill(1, 3)
	c.nodes[1].core.SetRevision(7)
	c.run(maxConvergence, nil)
	in, rev, ok := c.nodes[0].core.NewestRevisionPeer()
	if !ok || rev != 7 || in.ID != c.nodes[1].self.ID {
		t.Fatalf("got %v with revision %d (%v), want the second instance with revision 7", in.ID, rev, ok)
	}
}

func TestInvalidRowsAreRejected(t *testing.T) {
	c := newCluster(t, 7)
	c.fill(1, 2)
	n := c.nodes[0].core
	n.Step(c.now, "stranger", Message{Kind: 99, Updates: []Update{{ID: "x"}, {Zone: "y"}, {ID: "x", Zone: "y", State: 9}}})
	if _, ok := n.table.byID[entity.InstanceID("x")]; ok {
		t.Error("merged an invalid row")
	}
}

// Instances that all restart at once must find each other although the platform
// list they start with contains only dead instances.
func TestAllRestartedAtOnce(t *testing.T) {
	c := newCluster(t, 8)
	c.fill(3, 4)
	c.requireAgreement(maxConvergence)
	for _, n := range c.nodes[:12] {
		n.dead = true
	}
	for _, n := range c.nodes[:12] {
		// The platform list contains only the instances that have died.
		c.add(n.self.Zone).core.SetPlatformList(c.now, c.platformList)
	}
	c.requireAgreement(maxConvergence)
}

func TestFleetCountsUnconfirmedDeaths(t *testing.T) {
	c := newCluster(t, 9)
	c.fill(1, 4)
	c.requireAgreement(maxConvergence)
	c.nodes[1].dead = true
	c.nodes[2].core.Leave(c.now)
	c.nodes[2].leavingSince = c.now
	c.run(3*time.Second, nil)
	c.nodes[2].dead = true
	c.run(maxConvergence, nil)
	if got := c.nodes[0].core.FleetSize(c.now); got != 3 {
		t.Errorf("got a fleet size of %d while one death is not confirmed, want 3", got)
	}
	c.run(time.Minute, nil)
	if got := c.nodes[0].core.FleetSize(c.now); got != 2 {
		t.Errorf("got a fleet size of %d after both deaths are confirmed, want 2", got)
	}
}

func TestRowLimit(t *testing.T) {
	s := DefaultSettings()
	s.MaxRows = 10
	c := New(s, entity.Instance{ID: "a", Zone: "z"}, nil)
	for i := range 100 {
		c.Step(time.Unix(1, 0), "b", Message{Kind: Sync, Round: SyncRows, Updates: []Update{{ID: entity.InstanceID(rune('A' + i)), Zone: "z"}}})
	}
	if n := len(c.table.byID); n > 10 {
		t.Errorf("got %d rows, want at most 10", n)
	}
}

// After a freeze of its own process an instance must not suspect or declare dead
// the peers whose answers it missed. Suspicions from before the freeze stay and
// expire later.
func TestFrozenInstanceSuspectsNoPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(DefaultSettings(), entity.Instance{ID: "a", Zone: "z"}, rand.New(rand.NewSource(1)))
	c.Step(now, "b", Message{Kind: Sync, Round: SyncRows, Updates: []Update{{ID: "b", Zone: "z"}, {ID: "c", Zone: "z", State: Suspect}}})
	c.Tick(now)
	c.Tick(now.Add(DefaultSettings().ProbeInterval))
	if len(c.probes) == 0 {
		t.Fatal("no probe is outstanding")
	}
	resumed := now.Add(time.Minute)
	c.Tick(resumed)
	if b, suspect := c.table.byID["b"], c.table.byID["c"]; b.State != Alive || suspect.State != Suspect {
		t.Errorf("got states %d of b and %d of c after the freeze, want Alive and Suspect", b.State, suspect.State)
	}
	for range 80 {
		resumed = resumed.Add(testStep)
		c.Tick(resumed)
	}
	if c.table.byID["c"].State != Dead {
		t.Error("the suspect was not declared dead")
	}
}

// A new instance that has not received the platform list knows of no peer to
// contact. It must wait longer before it assumes that it is the only instance.
func TestNewInstanceWaitsForPlatformList(t *testing.T) {
	settings := DefaultSettings()
	tests := []struct {
		name   string
		listAt time.Duration // negative for never
		alone  time.Duration // when the instance assumes that it is the only one
	}{
		{"list at once", 0, settings.JoinTimeout},
		{"list late", 2 * settings.JoinTimeout, 3 * settings.JoinTimeout},
		{"no list", -1, listWaitFactor * settings.JoinTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			core := New(settings, entity.Instance{ID: "new", Zone: "z"}, rand.New(rand.NewSource(1)))
			for d := time.Duration(0); d <= tt.alone; d += testStep {
				if d == tt.listAt {
					core.SetPlatformList(now.Add(d), nil)
				}
				core.Tick(now.Add(d))
				if v := core.View(); v.Joined != (d >= tt.alone) {
					t.Fatalf("after %v: got joined %v, want it set from %v on", d, v.Joined, tt.alone)
				}
			}
		})
	}
}

func TestCapacityReachesAllMembers(t *testing.T) {
	c := newCluster(t, 12)
	c.fill(2, 12)
	c.requireAgreement(maxConvergence)
	n := c.nodes[2]
	n.core.SetCapacity(c.now, 7)
	c.run(maxConvergence, nil)
	for _, o := range c.nodes {
		v := o.core.View()
		z, _ := v.Zone("z0")
		for _, m := range z.Members {
			if m.ID == n.self.ID && m.Capacity != 7 {
				t.Errorf("%s: got capacity of %s %d, want 7", o.self.ID, m.ID, m.Capacity)
			}
		}
	}
}

// All messages are lost when the leave begins, so that only the repeated notices
// can inform the members within 2 s.
func TestLeaveIsRepeatedToThoseWhoMissedIt(t *testing.T) {
	c := newCluster(t, 10)
	c.fill(1, 12)
	c.requireAgreement(maxConvergence)
	c.loss = 1
	n := c.nodes[0]
	n.leavingSince = c.now
	n.core.Leave(c.now)
	c.run(250*time.Millisecond, nil)
	c.loss = 0
	c.run(1750*time.Millisecond, nil)
	if diff := c.firstDifference(); diff != "" {
		t.Error(diff)
	}
	if !n.core.LeaveAcknowledged() {
		t.Error("the leave was not acknowledged by all members")
	}
}

// Two members that can't reach each other must not suspect each other: indirect
// probes through the other members succeed.
func TestBlockedPairCausesNoSuspicion(t *testing.T) {
	c := newCluster(t, 11)
	c.fill(1, 4)
	c.requireAgreement(maxConvergence)
	a, b := c.nodes[0], c.nodes[1]
	c.blocked = func(x, y *node) bool { return (x == a && y == b) || (x == b && y == a) }
	c.run(time.Minute, func() {
		if diff := c.firstDifference(); diff != "" {
			t.Fatal(diff)
		}
	})
	for _, n := range c.nodes {
		if i := n.core.View().Self.Incarnation; i != 0 {
			t.Errorf("%s: got incarnation %d, want 0 because no one suspected it", n.self.ID, i)
		}
	}
}

// A zone whose instances have all died stays in the view as unreachable and
// counts in the fleet size, until RemoveZoneAfter has passed and the platform
// list no longer contains it.
func TestLostZoneIsRemoved(t *testing.T) {
	c := newCluster(t, 12)
	c.settings.TombstoneTTL, c.settings.RemoveZoneAfter = time.Minute, 5*time.Minute
	c.fill(2, 3)
	c.requireAgreement(maxConvergence)
	for _, n := range c.nodes[3:] {
		n.dead = true
	}
	c.run(2*time.Minute, nil)
	n := c.nodes[0].core
	if z, ok := c.viewOf(n).Zone("z1"); !ok || z.Reachable || n.FleetSize(c.now) != 6 {
		t.Errorf("got z1 known %v, reachable %v, fleet size %d, want known, not reachable, 6", ok, z.Reachable, n.FleetSize(c.now))
	}
	c.run(8*time.Minute, nil)
	for _, n := range c.nodes[:3] {
		if _, ok := c.viewOf(n.core).Zone("z1"); ok || n.core.FleetSize(c.now) != 3 {
			t.Errorf("%s: got z1 known %v, fleet size %d, want not known, 3", n.self.ID, ok, n.core.FleetSize(c.now))
		}
	}
}

// If rows were compared only once digests are stable, an instance whose peers'
// digests keep changing would never correct its own rows. It must request a
// comparison at UnsettledSyncInterval.
func TestSyncIsRequestedWhileDigestsChange(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(DefaultSettings(), entity.Instance{ID: "a", Zone: "z"}, rand.New(rand.NewSource(1)))
	c.Step(now, "b", Message{Kind: Sync, Round: SyncRows, Updates: []Update{{ID: "b", Zone: "z"}}})
	c.Ready()
	requests := 0
	for i := range 40 {
		now = now.Add(500 * time.Millisecond)
		c.Step(now, "b", Message{Kind: Ping, Seq: uint64(i + 1), Digest: uint64(i + 1)})
		for _, o := range c.Ready().Messages {
			if o.Message.Kind == Sync && o.Message.Round == SyncRequest {
				requests++
			}
		}
	}
	if requests < 2 || requests > 4 {
		t.Errorf("got %d sync requests in 20 s, want 2 to 4", requests)
	}
}

// The probes of the ring successor bound the time until an unresponsive member
// is suspected, independently of the random choice of targets.
func TestUnresponsiveMemberIsSuspectedInTime(t *testing.T) {
	s := DefaultSettings()
	bound := 2*s.ProbeInterval + s.ProbeTimeout + 4*testStep
	for seed := int64(1); seed <= 40; seed++ {
		c := newCluster(t, seed)
		c.fill(1, 31)
		c.requireAgreement(maxConvergence)
		unresponsive := c.nodes[c.rng.Intn(31)]
		unresponsive.frozen = true
		c.run(bound, nil)
		suspected := false
		for _, n := range c.nodes {
			r := n.core.table.byID[unresponsive.self.ID]
			suspected = suspected || (n != unresponsive && r.State != Alive)
		}
		if !suspected {
			t.Errorf("seed %d: no member suspects the unresponsive one after %v", seed, bound)
		}
	}
}
