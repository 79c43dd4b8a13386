package membership

import (
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
	if !n.core.LeaveHeard() {
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
		for _, z := range n.core.View().Zones {
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
	in, rev, ok := c.nodes[0].core.NewestPeer()
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
		c.add(n.self.Zone).core.Platform(c.now, c.listed)
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
	if got := c.nodes[0].core.Fleet(c.now); got != 3 {
		t.Errorf("got %d while one death is not confirmed", got)
	}
	c.run(time.Minute, nil)
	if got := c.nodes[0].core.Fleet(c.now); got != 2 {
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
