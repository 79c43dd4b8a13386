package membership

import (
	"math/rand"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// convergeWithin is the stated bound for views to equal the truth after the
// last fault, at up to 10% loss.
const convergeWithin = 20 * time.Second

func TestAllStartTogether(t *testing.T) {
	c := newCluster(t, 1)
	c.fill(3, 5)
	c.mustAgree(convergeWithin)
	for _, n := range c.nodes {
		if v := n.core.View(); !v.Joined || len(v.Zones) != 3 {
			t.Fatalf("%s: joined %v, %d zones", n.self.ID, v.Joined, len(v.Zones))
		}
	}
}

func TestKilledInstanceIsGivenUp(t *testing.T) {
	c := newCluster(t, 2)
	c.fill(2, 5)
	c.mustAgree(convergeWithin)
	c.nodes[3].dead = true
	c.mustAgree(convergeWithin)
}

func TestLeavingIsHeardWithin2s(t *testing.T) {
	c := newCluster(t, 3)
	c.fill(2, 5)
	c.mustAgree(convergeWithin)
	c.loss = 0.2
	n := c.nodes[2]
	n.leaving = c.now
	n.core.Leave(c.now)
	c.run(2*time.Second, nil)
	for _, o := range c.nodes[:5] {
		v := o.core.View()
		z, _ := v.Zone("z0")
		for _, m := range z.Members {
			if m.ID == n.self.ID && !m.Leaving {
				t.Errorf("%s does not know that %s leaves", o.self.ID, m.ID)
			}
		}
	}
	if !n.core.LeaveAcknowledged() {
		t.Error("the leaver was not answered by all")
	}
}

func TestThawedInstanceRejoins(t *testing.T) {
	c := newCluster(t, 4)
	c.fill(1, 5)
	c.mustAgree(convergeWithin)
	n := c.nodes[0]
	n.frozen = true
	c.run(convergeWithin, nil)
	v := c.nodes[1].core.View()
	if z, _ := v.Zone("z0"); len(z.Members) != 4 {
		t.Fatalf("frozen instance still believed live: %d members", len(z.Members))
	}
	n.frozen = false
	c.mustAgree(convergeWithin)
	if n.core.View().Self.Incarnation == 0 {
		t.Error("rejoined without a higher incarnation")
	}
}

func TestZoneCutOff(t *testing.T) {
	c := newCluster(t, 5)
	c.fill(3, 4)
	c.mustAgree(convergeWithin)
	c.cut = func(a, b *node) bool {
		return a.self.Zone != b.self.Zone && (a.self.Zone == "z0" || b.self.Zone == "z0")
	}
	c.run(convergeWithin, nil)
	for _, n := range c.nodes {
		v := n.core.View()
		if got := v.ReachableMembers(); (len(got["z0"]) == 4) != (n.self.Zone == "z0") || len(got[n.self.Zone]) != 4 {
			t.Errorf("%s reaches %v", n.self.ID, got)
		}
		for _, z := range v.Zones {
			reach := z.Zone == n.self.Zone || (z.Zone != "z0" && n.self.Zone != "z0")
			if z.Reachable != reach || len(z.Members) != 4 {
				t.Errorf("%s sees %s reachable=%v with %d members", n.self.ID, z.Zone, z.Reachable, len(z.Members))
			}
		}
	}
	c.cut = func(_, _ *node) bool { return false }
	c.run(convergeWithin, nil)
	c.mustAgree(testStep)
	for _, n := range c.nodes {
		for _, z := range n.core.View().Zones {
			if !z.Reachable {
				t.Errorf("%s: %s still unreachable", n.self.ID, z.Zone)
			}
		}
	}
}

func TestRevisionOfPeers(t *testing.T) {
	c := newCluster(t, 6)
	c.fill(1, 3)
	c.nodes[1].core.SetRevision(7)
	c.run(convergeWithin, nil)
	in, rev, ok := c.nodes[0].core.NewestRevisionPeer()
	if !ok || rev != 7 || in.ID != c.nodes[1].self.ID {
		t.Fatalf("got %v %d %v", in.ID, rev, ok)
	}
}

func TestMessageFromUnknownInstanceIsHarmless(t *testing.T) {
	c := newCluster(t, 7)
	c.fill(1, 2)
	n := c.nodes[0].core
	n.Step(c.now, "stranger", Message{Kind: 99, Updates: []Update{{ID: "x"}, {Zone: "y"}, {ID: "x", Zone: "y", State: 9}}})
	if _, ok := n.table.byID[entity.InstanceID("x")]; ok {
		t.Error("took in a row that is not valid")
	}
}

func TestAllRestartedAtOnce(t *testing.T) {
	c := newCluster(t, 8)
	c.fill(3, 4)
	c.mustAgree(convergeWithin)
	for _, n := range c.nodes[:12] {
		n.dead = true
	}
	for _, n := range c.nodes[:12] {
		// The list shows only those that are gone.
		c.add(n.self.Zone).core.SetPlatformList(c.now, c.listed)
	}
	c.mustAgree(convergeWithin)
}

func TestFleetCountsUnconfirmedDeaths(t *testing.T) {
	c := newCluster(t, 9)
	c.fill(1, 4)
	c.mustAgree(convergeWithin)
	c.nodes[1].dead = true
	c.nodes[2].core.Leave(c.now)
	c.nodes[2].leaving = c.now
	c.run(3*time.Second, nil)
	c.nodes[2].dead = true
	c.run(convergeWithin, nil)
	if got := c.nodes[0].core.FleetSize(c.now); got != 3 {
		t.Errorf("got %d while one death is not confirmed", got)
	}
	c.run(time.Minute, nil)
	if got := c.nodes[0].core.FleetSize(c.now); got != 2 {
		t.Errorf("got %d after both deaths are confirmed", got)
	}
}

func TestTooManyRowsAreRefused(t *testing.T) {
	s := DefaultSettings()
	s.MaxRows = 10
	c := New(s, entity.Instance{ID: "a", Zone: "z"}, nil)
	for i := range 100 {
		c.Step(time.Unix(1, 0), "b", Message{Kind: Sync, Round: SyncRows, Updates: []Update{{ID: entity.InstanceID(rune('A' + i)), Zone: "z"}}})
	}
	if n := len(c.table.byID); n > 10 {
		t.Errorf("%d rows", n)
	}
}

func TestFrozenInstanceBlamesNoOne(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(DefaultSettings(), entity.Instance{ID: "a", Zone: "z"}, rand.New(rand.NewSource(1)))
	c.Step(now, "b", Message{Kind: Sync, Round: SyncRows, Updates: []Update{{ID: "b", Zone: "z"}, {ID: "c", Zone: "z", State: Suspect}}})
	c.Tick(now)
	c.Tick(now.Add(DefaultSettings().ProbeInterval))
	if len(c.probes) == 0 {
		t.Fatal("no probe under way")
	}
	thawed := now.Add(time.Minute)
	c.Tick(thawed)
	if b, suspect := c.table.byID["b"], c.table.byID["c"]; b.State != Alive || suspect.State != Suspect {
		t.Errorf("b is %d, c is %d after the thaw", b.State, suspect.State)
	}
	for range 80 {
		thawed = thawed.Add(testStep)
		c.Tick(thawed)
	}
	if c.table.byID["c"].State != Dead {
		t.Error("the suspect was never given up")
	}
}

// A new instance that has not seen the platform's list can't have asked
// anybody. It must not take itself for the only one.
func TestNewcomerWaitsForTheList(t *testing.T) {
	set := DefaultSettings()
	steps := []struct {
		name   string
		listAt time.Duration // negative for never
		alone  time.Duration
	}{
		{"list at once", 0, set.JoinTimeout},
		{"list late", 2 * set.JoinTimeout, 3 * set.JoinTimeout},
		{"no list", -1, listWaitFactor * set.JoinTimeout},
	}
	for _, tt := range steps {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			core := New(set, entity.Instance{ID: "new", Zone: "z"}, rand.New(rand.NewSource(1)))
			for d := time.Duration(0); d <= tt.alone; d += testStep {
				if d == tt.listAt {
					core.SetPlatformList(now.Add(d), nil)
				}
				core.Tick(now.Add(d))
				if v := core.View(); v.Joined != (d >= tt.alone) {
					t.Fatalf("after %v joined is %v, want it after %v", d, v.Joined, tt.alone)
				}
			}
		})
	}
}

func TestCapacityIsHeardEverywhere(t *testing.T) {
	c := newCluster(t, 12)
	c.fill(2, 12)
	c.mustAgree(convergeWithin)
	n := c.nodes[2]
	n.core.SetCapacity(c.now, 7)
	c.run(convergeWithin, nil)
	for _, o := range c.nodes {
		v := o.core.View()
		z, _ := v.Zone("z0")
		for _, m := range z.Members {
			if m.ID == n.self.ID && m.Capacity != 7 {
				t.Errorf("%s takes the capacity of %s to be %d, want 7", o.self.ID, m.ID, m.Capacity)
			}
		}
	}
}

func TestLeaveIsRepeatedToThoseWhoMissedIt(t *testing.T) {
	c := newCluster(t, 10)
	c.fill(1, 12)
	c.mustAgree(convergeWithin)
	c.loss = 1
	n := c.nodes[0]
	n.leaving = c.now
	n.core.Leave(c.now)
	c.run(250*time.Millisecond, nil)
	c.loss = 0
	c.run(1750*time.Millisecond, nil)
	if w := c.wrong(); w != "" {
		t.Error(w)
	}
	if !n.core.LeaveAcknowledged() {
		t.Error("the leaver was not answered by all")
	}
}

func TestBrokenPathBetweenTwoMembersHarmsNoOne(t *testing.T) {
	c := newCluster(t, 11)
	c.fill(1, 4)
	c.mustAgree(convergeWithin)
	a, b := c.nodes[0], c.nodes[1]
	c.cut = func(x, y *node) bool { return (x == a && y == b) || (x == b && y == a) }
	c.run(time.Minute, func() {
		if w := c.wrong(); w != "" {
			t.Fatal(w)
		}
	})
	for _, n := range c.nodes {
		if i := n.core.View().Self.Incarnation; i != 0 {
			t.Errorf("%s had to refute %d times", n.self.ID, i)
		}
	}
}

func TestZoneThatIsGoneForGoodIsForgotten(t *testing.T) {
	c := newCluster(t, 12)
	c.set.TombstoneTTL, c.set.RemoveZoneAfter = time.Minute, 5*time.Minute
	c.fill(2, 3)
	c.mustAgree(convergeWithin)
	for _, n := range c.nodes[3:] {
		n.dead = true
	}
	c.run(2*time.Minute, nil)
	n := c.nodes[0].core
	if z, ok := c.viewOf(n).Zone("z1"); !ok || z.Reachable || n.FleetSize(c.now) != 6 {
		t.Errorf("z1 known %v, reachable %v, fleet %d", ok, z.Reachable, n.FleetSize(c.now))
	}
	c.run(8*time.Minute, nil)
	for _, n := range c.nodes[:3] {
		if _, ok := c.viewOf(n.core).Zone("z1"); ok || n.core.FleetSize(c.now) != 3 {
			t.Errorf("%s: z1 known %v, fleet %d", n.self.ID, ok, n.core.FleetSize(c.now))
		}
	}
}

func TestRowsAreComparedThoughDigestsNeverSettle(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(DefaultSettings(), entity.Instance{ID: "a", Zone: "z"}, rand.New(rand.NewSource(1)))
	c.Step(now, "b", Message{Kind: Sync, Round: SyncRows, Updates: []Update{{ID: "b", Zone: "z"}}})
	c.Ready()
	asked := 0
	for i := range 40 {
		now = now.Add(500 * time.Millisecond)
		c.Step(now, "b", Message{Kind: Ping, Seq: uint64(i + 1), Digest: uint64(i + 1)})
		for _, o := range c.Ready().Messages {
			if o.Message.Kind == Sync && o.Message.Round == SyncRequest {
				asked++
			}
		}
	}
	if asked < 2 || asked > 4 {
		t.Errorf("asked %d times in 20 s", asked)
	}
}

func TestSilentMemberIsSuspectedWithoutLuck(t *testing.T) {
	s := DefaultSettings()
	bound := 2*s.ProbeInterval + s.ProbeTimeout + 4*testStep
	for seed := int64(1); seed <= 40; seed++ {
		c := newCluster(t, seed)
		c.fill(1, 31)
		c.mustAgree(convergeWithin)
		silent := c.nodes[c.rng.Intn(31)]
		silent.frozen = true
		c.run(bound, nil)
		suspected := false
		for _, n := range c.nodes {
			r := n.core.table.byID[silent.self.ID]
			suspected = suspected || (n != silent && r.State != Alive)
		}
		if !suspected {
			t.Errorf("seed %d: no one suspects it after %v", seed, bound)
		}
	}
}
