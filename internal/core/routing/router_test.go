package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

var epoch = time.Unix(1_700_000_000, 0)

// fleet returns a router with n endpoints, each with an owner of its own.
func fleet(n int) *Router {
	r := New(DefaultSettings())
	var rows []OwnedEndpoint
	for i := range n {
		rows = append(rows, OwnedEndpoint{
			Owner: entity.InstanceID(fmt.Sprintf("i%d", i)),
			Endpoint: entity.Endpoint{
				ID: entity.EndpointID(fmt.Sprintf("e%d", i)), Pool: "p", Models: []entity.ModelID{"m"}, Slots: 8,
			},
		})
	}
	r.SetPool("p", rows)
	return r
}

func work(id string, head entity.BlockHash, tier entity.Tier) *entity.Work {
	return &entity.Work{ID: entity.RequestID(id), Pool: "p", Model: "m", Tier: tier, Prefix: []entity.BlockHash{head}}
}

func TestSameHeadGoesToTheSameEndpoint(t *testing.T) {
	r := fleet(10)
	first, ok := r.Next(epoch, work("a", 7, 0), nil)
	if !ok {
		t.Fatal("got no choice")
	}
	seen := make(map[entity.EndpointID]bool)
	for i := range 50 {
		c, _ := r.Next(epoch, work(fmt.Sprint(i), 7, 0), nil)
		if c != first {
			t.Fatalf("got choice %v, want %v", c, first)
		}
		other, _ := r.Next(epoch, work(fmt.Sprint(i), entity.BlockHash(i), 0), nil)
		seen[other.Endpoint] = true
	}
	if len(seen) < 8 {
		t.Errorf("50 heads went to %d endpoints of 10, want at least 8", len(seen))
	}
}

func TestBoundedLoadDeprioritisesBusyEndpoint(t *testing.T) {
	r := fleet(4)
	r.deprioritiser = BoundedLoad{Factor: 1.25}
	w := work("a", 7, 0)
	first, _ := r.Next(epoch, w, nil)
	for i := range 2 {
		r.Granted(epoch, first.Owner, w, entity.Grant{ID: entity.RequestID(fmt.Sprint(i)), Endpoint: first.Endpoint})
	}
	if second, _ := r.Next(epoch, w, nil); second.Endpoint == first.Endpoint {
		t.Errorf("%s was chosen again although it runs all requests", first.Endpoint)
	}
}

func TestShedsOnlyWithGuaranteesOfAllOwners(t *testing.T) {
	r := fleet(2)
	w := work("a", 7, 1)
	refuse := func(i int, floor entity.Tier, digest eligible.Digest) {
		r.Refused(epoch, entity.InstanceID(fmt.Sprintf("i%d", i)), w,
			entity.Refusal{ID: w.ID, Floor: floor, FloorFor: time.Second, EndpointsDigest: uint64(digest)}, epoch)
	}
	d0, d1 := eligible.Digest(0).With("e0"), eligible.Digest(0).With("e1")
	steps := []struct {
		do   func()
		want bool
		name string
	}{
		{func() {}, false, "no guarantee"},
		{func() { refuse(0, 1, d0) }, false, "guarantee of one owner"},
		{func() { refuse(1, 2, d1) }, false, "floor of the other owner too low"},
		{func() { refuse(1, 1, d0) }, false, "guarantee of the other owner for another set of endpoints"},
		{func() { refuse(1, 1, d1) }, true, "guarantees of both owners"},
	}
	for _, s := range steps {
		s.do()
		if got := r.MayShed(epoch, w, nil); got != s.want {
			t.Fatalf("%s: got MayShed %v, want %v", s.name, got, s.want)
		}
	}
	if r.MayShed(epoch.Add(time.Second), w, nil) {
		t.Error("got MayShed true after the guarantees expired")
	}
	if r.MayShed(epoch, work("b", 7, 0), nil) {
		t.Error("got MayShed true for a higher tier than is guaranteed")
	}
}

func TestNextProbesThenQueuesThenProbesTheRest(t *testing.T) {
	r := fleet(6)
	w := work("a", 7, 1)
	var tried []Choice
	for range DefaultSettings().Probes {
		c, ok := r.Next(epoch, w, tried)
		if !ok || !c.NoWait {
			t.Fatalf("got choice %v, %v; want a probe", c, ok)
		}
		tried = append(tried, c)
	}
	c, ok := r.Next(epoch, w, tried)
	if !ok || c.NoWait {
		t.Fatalf("got choice %v, %v; want to wait in a queue", c, ok)
	}
	tried = append(tried, c)
	for range 2 {
		c, ok = r.Next(epoch, w, tried)
		if !ok || !c.NoWait {
			t.Fatalf("got choice %v, %v; want a probe of the remaining owners", c, ok)
		}
		tried = append(tried, c)
	}
	if c, ok = r.Next(epoch, w, tried); ok {
		t.Errorf("got choice %v after all were tried, want none", c)
	}
	queued := map[entity.InstanceID]bool{tried[4].Owner: true}
	tried[4].Refused = true
	for range 5 {
		c, ok = r.Next(epoch, w, tried)
		if !ok || c.NoWait || queued[c.Owner] {
			t.Fatalf("got choice %v, %v; want a reservation that may wait, at an owner that got none yet", c, ok)
		}
		queued[c.Owner] = true
		c.Refused = true
		tried = append(tried, c)
	}
	if c, ok = r.Next(epoch, w, tried); ok {
		t.Errorf("got choice %v after all have refused, want none", c)
	}
}

func TestStateOfFormerOwnersIsRemoved(t *testing.T) {
	r := fleet(3)
	w := work("a", 7, 1)
	for i := range 3 {
		id := entity.InstanceID(fmt.Sprintf("i%d", i))
		r.Refused(epoch, id, w, entity.Refusal{ID: w.ID, Floor: 1, FloorFor: time.Second}, epoch)
	}
	r.SetPool("p", []OwnedEndpoint{r.pools["p"].candidates[0].OwnedEndpoint})
	if len(r.owners) != 1 || len(r.guarantees) != 1 {
		t.Errorf("got %d owners and %d scopes with guarantees, want 1 and 1", len(r.owners), len(r.guarantees))
	}
}

func TestUnreachableOwnerIsNotAsked(t *testing.T) {
	r := fleet(1)
	w := work("a", 7, 1)
	r.Unreachable(epoch, "i0")
	if c, ok := r.Next(epoch, w, nil); ok {
		t.Errorf("got choice %v while the owner is unreachable, want none", c)
	}
	if _, ok := r.Next(epoch.Add(unreachableFor), w, nil); !ok {
		t.Error("the owner is not asked again after unreachableFor")
	}
}
