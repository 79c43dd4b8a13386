package ownership

import (
	"fmt"
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// enginesPerZone and instancesPerZone are the zone sizes that the system is
// designed for.
const (
	enginesPerZone   = 353
	instancesPerZone = 31
)

// sizedFleet returns the members and the engines of a fleet with the given
// number of zones.
func sizedFleet(zones int) (Members, []entity.Endpoint) {
	m := Members{}
	var eps []entity.Endpoint
	for z := range zones {
		id := entity.ZoneID(fmt.Sprintf("zone-%02d", z))
		for i := range instancesPerZone {
			m[id] = append(m[id], entity.Instance{ID: entity.InstanceID(fmt.Sprintf("instance-%02d-%03d", z, i)), Zone: id})
		}
		for i := range enginesPerZone {
			eps = append(eps, entity.Endpoint{ID: entity.EndpointID(fmt.Sprintf("engine-%02d-%04d", z, i)), Zone: id})
		}
	}
	return m, eps
}

// BenchmarkMemberGone removes an instance and adds it again.
func BenchmarkMemberGone(b *testing.B) {
	for _, zones := range []int{1, 4, 15} {
		b.Run(fmt.Sprintf("endpoints=%d", zones*enginesPerZone), func(b *testing.B) {
			m, eps := sizedFleet(zones)
			t := NewTable()
			t.SetMembers(m)
			t.SetEndpoints(eps)
			fewer := Members{}
			for z, members := range m {
				fewer[z] = members
			}
			fewer["zone-00"] = fewer["zone-00"][1:]
			moves := 0
			b.ReportAllocs()
			for b.Loop() {
				moves = len(t.SetMembers(fewer).Moves)
				t.SetMembers(m)
			}
			b.ReportMetric(float64(moves), "moves")
		})
	}
}

// BenchmarkSetEndpoints sets the endpoints again without a change.
func BenchmarkSetEndpoints(b *testing.B) {
	for _, zones := range []int{1, 4, 15} {
		b.Run(fmt.Sprintf("endpoints=%d", zones*enginesPerZone), func(b *testing.B) {
			m, eps := sizedFleet(zones)
			t := NewTable()
			t.SetMembers(m)
			t.SetEndpoints(eps)
			b.ReportAllocs()
			for b.Loop() {
				t.SetEndpoints(eps)
			}
		})
	}
}

// BenchmarkOrgHome looks up the home of an organisation.
func BenchmarkOrgHome(b *testing.B) {
	for _, n := range []int{6, 14, 31} {
		b.Run(fmt.Sprintf("zone=%d", n), func(b *testing.B) {
			m, _ := sizedFleet(1)
			for b.Loop() {
				OrgHome(m["zone-00"][:n], "organisation-00017")
			}
		})
	}
}
