package routing

import (
	"fmt"
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// zonedFleet returns a router in zone "near" with n endpoints there and n in
// "far", each with an owner of its own, every third one with the model "m".
func zonedFleet(n int) *Router {
	s := DefaultSettings()
	s.Zone = "near"
	r := New(s)
	var rows []OwnedEndpoint
	for i := range 2 * n {
		zone, model := entity.ZoneID("near"), entity.ModelID("other")
		if i >= n {
			zone = "far"
		}
		if i%3 == 0 {
			model = "m"
		}
		rows = append(rows, OwnedEndpoint{Owner: entity.InstanceID(fmt.Sprintf("%s-%d", zone, i)), Endpoint: entity.Endpoint{
			ID: entity.EndpointID(fmt.Sprintf("e%d", i)), Pool: "p", Zone: zone, Models: []entity.ModelID{model}, Slots: 8,
		}})
	}
	r.SetPool("p", rows)
	return r
}

func zoneOf(r *Router, c Choice) entity.ZoneID { return r.endpoints[c.Endpoint].Endpoint.Zone }

func TestLargePoolIsTriedInTheLocalZoneFirst(t *testing.T) {
	r := zonedFleet(300)
	used := make(map[entity.EndpointID]bool)
	for head := range 500 {
		w := work("a", entity.BlockHash(head+1), 0)
		c, ok := r.Next(epoch, w, nil)
		if !ok || zoneOf(r, c) != "near" || !c.NoWait {
			t.Fatalf("head %d: got %+v, want a probe in the local zone", head, c)
		}
		if again, _ := r.Next(epoch, work("b", entity.BlockHash(head+1), 0), nil); again != c {
			t.Fatalf("head %d went to %v and then to %v", head, c, again)
		}
		used[c.Endpoint] = true
	}
	if len(used) < 60 {
		t.Errorf("500 heads went to %d of 100 endpoints, want at least 60", len(used))
	}
}

// A request that waits in a queue may ask every other owner that could serve it,
// also those that are not in the shortlist.
func TestLargePoolIsTriedCompletely(t *testing.T) {
	r := zonedFleet(300)
	w := work("a", 7, 0)
	tried := []Choice{{Owner: "near-0", Endpoint: "e0"}}
	zones := make(map[entity.ZoneID]int)
	for {
		c, ok := r.Next(epoch, w, tried)
		if !ok {
			break
		}
		if zoneOf(r, c) != "near" && len(tried) < r.settings.ShortlistSize {
			t.Fatalf("got %v of a remote zone after %d choices, want the local zone", c, len(tried))
		}
		zones[zoneOf(r, c)]++
		tried = append(tried, c)
	}
	if zones["near"] != 99 || zones["far"] != 100 {
		t.Errorf("got choices per zone %v, want near 99 and far 100", zones)
	}
}
