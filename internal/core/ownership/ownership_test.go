package ownership

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// TestMain pins the seed so that every run is the same.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// world is a random fleet.
type world struct {
	members   Members
	endpoints []entity.Endpoint
}

func drawWorld(t *rapid.T) world {
	w := world{members: Members{}}
	zones := rapid.IntRange(1, 5).Draw(t, "zones")
	for z := range zones {
		zone := entity.ZoneID(fmt.Sprintf("z%d", z))
		for i := range rapid.IntRange(0, 6).Draw(t, "members") {
			w.members[zone] = append(w.members[zone], entity.Instance{
				ID: entity.InstanceID(fmt.Sprintf("i%d-%d", z, i)), Zone: zone,
				Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
			})
		}
		for i := range rapid.IntRange(0, 12).Draw(t, "endpoints") {
			w.endpoints = append(w.endpoints, entity.Endpoint{ID: entity.EndpointID(fmt.Sprintf("e%d-%d", z, i)), Zone: zone})
		}
	}
	return w
}

// usable returns the members of a zone that are not leaving.
func (w *world) usable(zone entity.ZoneID) []entity.InstanceID {
	var out []entity.InstanceID
	for _, m := range w.members[zone] {
		if !m.Leaving {
			out = append(out, m.ID)
		}
	}
	return out
}

func (w *world) anyUsable() bool {
	for z := range w.members {
		if len(w.usable(z)) > 0 {
			return true
		}
	}
	return false
}

// change makes one random change to the members.
func (w *world) change(t *rapid.T) entity.ZoneID {
	zone := entity.ZoneID(fmt.Sprintf("z%d", rapid.IntRange(0, 4).Draw(t, "zone")))
	members := slices.Clone(w.members[zone])
	pick := func() int { return rapid.IntRange(0, len(members)-1).Draw(t, "which") }
	switch op := rapid.IntRange(0, 2).Draw(t, "op"); {
	case op == 0 || len(members) == 0:
		id := entity.InstanceID(fmt.Sprintf("n%d", rapid.IntRange(0, 1<<30).Draw(t, "new")))
		members = append(members, entity.Instance{ID: id, Zone: zone})
	case op == 1:
		i := pick()
		members = slices.Delete(members, i, i+1)
	default:
		members[pick()].Leaving = true
	}
	w.members[zone] = members
	return zone
}

// naiveOwner is the plain argmax over the members of a zone.
func naiveOwner(key uint64, members []entity.Instance) entity.InstanceID {
	scores := map[uint64]entity.InstanceID{}
	var all []uint64
	for _, c := range candidates(members) {
		s := score(c.hash, key)
		scores[s] = c.id
		all = append(all, s)
	}
	if len(all) == 0 {
		return ""
	}
	return scores[slices.Max(all)]
}

func TestOwnersAgreeWithArgmax(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		owners := Owners(w.members, w.endpoints)
		for _, e := range w.endpoints {
			switch {
			case len(w.usable(e.Zone)) > 0:
				if want := naiveOwner(endpointKey(e.ID), w.members[e.Zone]); owners[e.ID] != want {
					t.Fatalf("%s: got %s, want %s", e.ID, owners[e.ID], want)
				}
			case w.anyUsable():
				if owners[e.ID] == "" {
					t.Fatalf("%s has no owner though a zone has members", e.ID)
				}
			case owners[e.ID] != "":
				t.Fatalf("%s is owned by %s, who is not there", e.ID, owners[e.ID])
			}
		}
	})
}

func TestTableAgreesWithOwnersAndMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		table := NewTable()
		table.SetEndpoints(w.endpoints)
		table.SetMembers(w.members)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			before := Owners(w.members, w.endpoints)
			usableBefore := map[entity.ZoneID][]entity.InstanceID{}
			for z := range w.members {
				usableBefore[z] = w.usable(z)
			}
			zone := w.change(t)
			diff := table.SetMembers(w.members)
			after := Owners(w.members, w.endpoints)
			checkTable(t, table, &w, after, diff, before)
			if len(usableBefore[zone]) > 0 && len(w.usable(zone)) > 0 {
				checkMinimalMoves(t, &w, diff, zone, usableBefore[zone])
			}
		}
	})
}

func checkTable(t *rapid.T, table *Table, w *world, after map[entity.EndpointID]entity.InstanceID, diff Diff, before map[entity.EndpointID]entity.InstanceID) {
	moved := map[entity.EndpointID]Move{}
	for _, m := range diff.Moves {
		moved[m.Endpoint] = m
	}
	for _, e := range w.endpoints {
		if table.Owner(e.ID) != after[e.ID] {
			t.Fatalf("%s: table says %s, Owners %s", e.ID, table.Owner(e.ID), after[e.ID])
		}
		m, ok := moved[e.ID]
		if ok != (before[e.ID] != after[e.ID]) || ok && (m.From != before[e.ID] || m.To != after[e.ID]) {
			t.Fatalf("%s: %s to %s, diff says %+v", e.ID, before[e.ID], after[e.ID], m)
		}
	}
}

// checkMinimalMoves fails when an endpoint moved between two members that
// were both usable before and after.
func checkMinimalMoves(t *rapid.T, w *world, diff Diff, zone entity.ZoneID, before []entity.InstanceID) {
	now := w.usable(zone)
	for _, m := range diff.Moves {
		stayed := slices.Contains(before, m.To) && slices.Contains(now, m.From)
		if stayed {
			t.Fatalf("%s moved from %s to %s for nothing", m.Endpoint, m.From, m.To)
		}
	}
}

func TestEndpointsComeAndGo(t *testing.T) {
	members := Members{"a": {{ID: "i1", Zone: "a"}, {ID: "i2", Zone: "a"}}}
	table := NewTable()
	table.SetMembers(members)
	d := table.SetEndpoints([]entity.Endpoint{{ID: "e1", Zone: "a"}, {ID: "e2", Zone: "a"}})
	if len(d.Gained("i1"))+len(d.Gained("i2")) != 2 {
		t.Fatalf("got %+v", d)
	}
	owner := table.Owner("e2")
	d = table.SetEndpoints([]entity.Endpoint{{ID: "e1", Zone: "a"}})
	if !slices.Equal(d.Lost(owner), []entity.EndpointID{"e2"}) || table.Owner("e2") != "" {
		t.Fatalf("got %+v", d)
	}
}

func TestHomesSpreadEvenly(t *testing.T) {
	var members []entity.Instance
	for i := range 31 {
		members = append(members, entity.Instance{ID: entity.InstanceID(fmt.Sprintf("01JDXY%04dABCDEF", i))})
	}
	members[7].Leaving = true
	count := map[entity.InstanceID]int{}
	const orgs = 19000
	for i := range orgs {
		count[OrgHome(members, entity.OrgID(fmt.Sprintf("org-%d", i)))]++
	}
	mean := orgs / 30
	for _, m := range members {
		if n := count[m.ID]; m.Leaving && n != 0 || !m.Leaving && (n < mean*8/10 || n > mean*12/10) {
			t.Errorf("%s is home to %d, mean %d", m.ID, n, mean)
		}
	}
	if ClaimHome(members, 1) == "" || ClaimHome(nil, 1) != "" {
		t.Error("claim home")
	}
}

func BenchmarkSetMembers(b *testing.B) {
	for _, n := range []int{6, 14, 31} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			members := Members{}
			for i := range n {
				members["a"] = append(members["a"], entity.Instance{ID: entity.InstanceID(fmt.Sprintf("01JDXY%04dABCDEF", i))})
			}
			var endpoints []entity.Endpoint
			for i := range n * 11 {
				endpoints = append(endpoints, entity.Endpoint{ID: entity.EndpointID(fmt.Sprintf("engine-%d", i)), Zone: "a"})
			}
			t := NewTable()
			t.SetEndpoints(endpoints)
			b.ReportAllocs()
			for i := range b.N {
				members["a"][0].Leaving = i%2 == 0
				t.SetMembers(members)
			}
		})
	}
}
