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

// TestMain sets the seed of the rapid package, so that every run is the same.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// randomFleet is a randomly drawn set of members and endpoints.
type randomFleet struct {
	members   Members
	endpoints []entity.Endpoint
}

func drawFleet(t *rapid.T) randomFleet {
	f := randomFleet{members: Members{}}
	zones := rapid.IntRange(1, 5).Draw(t, "zones")
	for z := range zones {
		zone := entity.ZoneID(fmt.Sprintf("z%d", z))
		for i := range rapid.IntRange(0, 6).Draw(t, "members") {
			f.members[zone] = append(f.members[zone], entity.Instance{
				ID: entity.InstanceID(fmt.Sprintf("i%d-%d", z, i)), Zone: zone,
				Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
			})
		}
		for i := range rapid.IntRange(0, 12).Draw(t, "endpoints") {
			f.endpoints = append(f.endpoints, entity.Endpoint{ID: entity.EndpointID(fmt.Sprintf("e%d-%d", z, i)), Zone: zone})
		}
	}
	return f
}

// usable returns the members of a zone that are not leaving.
func (f *randomFleet) usable(zone entity.ZoneID) []entity.InstanceID {
	var out []entity.InstanceID
	for _, m := range f.members[zone] {
		if !m.Leaving {
			out = append(out, m.ID)
		}
	}
	return out
}

func (f *randomFleet) anyUsable() bool {
	for z := range f.members {
		if len(f.usable(z)) > 0 {
			return true
		}
	}
	return false
}

// change makes one random change to the members of one zone, and returns the zone.
func (f *randomFleet) change(t *rapid.T) entity.ZoneID {
	zone := entity.ZoneID(fmt.Sprintf("z%d", rapid.IntRange(0, 4).Draw(t, "zone")))
	members := slices.Clone(f.members[zone])
	pick := func() int { return rapid.IntRange(0, len(members)-1).Draw(t, "member") }
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
	f.members[zone] = members
	return zone
}

// naiveOwner returns the candidate with the highest score, computed independently
// of pick.
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

func TestOwnersHaveTheHighestScore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		owners := Owners(f.members, f.endpoints)
		for _, e := range f.endpoints {
			switch {
			case len(f.usable(e.Zone)) > 0:
				if want := naiveOwner(endpointKey(e.ID), f.members[e.Zone]); owners[e.ID] != want {
					t.Fatalf("%s: got %s, want %s", e.ID, owners[e.ID], want)
				}
			case f.anyUsable():
				if owners[e.ID] == "" {
					t.Fatalf("%s: got no owner, want one because some zone has a usable member", e.ID)
				}
			case owners[e.ID] != "":
				t.Fatalf("%s: got owner %s, want none because no zone has a usable member", e.ID, owners[e.ID])
			}
		}
	})
}

// After each change of members a Table has the same owners as Owners, reports
// exactly the changes, and moves no endpoint between two members that were
// usable before and after.
func TestTableAgreesWithOwnersAndMovesMinimally(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		table := NewTable()
		table.SetEndpoints(f.endpoints)
		table.SetMembers(f.members)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			before := Owners(f.members, f.endpoints)
			usableBefore := map[entity.ZoneID][]entity.InstanceID{}
			for z := range f.members {
				usableBefore[z] = f.usable(z)
			}
			zone := f.change(t)
			diff := table.SetMembers(f.members)
			after := Owners(f.members, f.endpoints)
			checkTable(t, table, &f, after, diff, before)
			if len(usableBefore[zone]) > 0 && len(f.usable(zone)) > 0 {
				checkMinimalMoves(t, &f, diff, zone, usableBefore[zone])
			}
		}
	})
}

// checkTable fails when the owners in the table are not those of after, or when
// diff does not list exactly the differences between before and after.
func checkTable(t *rapid.T, table *Table, f *randomFleet, after map[entity.EndpointID]entity.InstanceID, diff Diff, before map[entity.EndpointID]entity.InstanceID) {
	moved := map[entity.EndpointID]Move{}
	for _, m := range diff.Moves {
		moved[m.Endpoint] = m
	}
	for _, e := range f.endpoints {
		if table.Owner(e.ID) != after[e.ID] {
			t.Fatalf("%s: got owner %s in the table, want %s as returned by Owners", e.ID, table.Owner(e.ID), after[e.ID])
		}
		m, ok := moved[e.ID]
		if ok != (before[e.ID] != after[e.ID]) || ok && (m.From != before[e.ID] || m.To != after[e.ID]) {
			t.Fatalf("%s: owner before %s, after %s, got move %+v", e.ID, before[e.ID], after[e.ID], m)
		}
	}
}

// checkMinimalMoves fails when an endpoint moved between two members that
// were both usable before and after.
func checkMinimalMoves(t *rapid.T, f *randomFleet, diff Diff, zone entity.ZoneID, before []entity.InstanceID) {
	after := f.usable(zone)
	for _, m := range diff.Moves {
		needless := slices.Contains(before, m.To) && slices.Contains(after, m.From)
		if needless {
			t.Fatalf("%s moved from %s to %s though both were usable before and after", m.Endpoint, m.From, m.To)
		}
	}
}

func TestSetEndpointsAddsAndRemoves(t *testing.T) {
	members := Members{"a": {{ID: "i1", Zone: "a"}, {ID: "i2", Zone: "a"}}}
	table := NewTable()
	table.SetMembers(members)
	d := table.SetEndpoints([]entity.Endpoint{{ID: "e1", Zone: "a"}, {ID: "e2", Zone: "a"}})
	if len(d.Gained("i1"))+len(d.Gained("i2")) != 2 {
		t.Fatalf("got %+v, want both endpoints gained by i1 or i2", d)
	}
	owner := table.Owner("e2")
	d = table.SetEndpoints([]entity.Endpoint{{ID: "e1", Zone: "a"}})
	if !slices.Equal(d.Lost(owner), []entity.EndpointID{"e2"}) || table.Owner("e2") != "" {
		t.Fatalf("got %+v, want e2 lost by its owner and without a new one", d)
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
			t.Errorf("%s: got %d organisations, want none if leaving, else within 20%% of %d", m.ID, n, mean)
		}
	}
	if ClaimHome(members, 1) == "" || ClaimHome(nil, 1) != "" {
		t.Error("want a claim home among the members, and none without members")
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
