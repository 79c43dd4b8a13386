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

func TestLargePoolIsTriedInTheOwnZoneFirst(t *testing.T) {
	r := zonedFleet(300)
	used := make(map[entity.EndpointID]bool)
	for head := range 500 {
		w := work("a", entity.BlockHash(head+1), 0)
		c, ok := r.Next(epoch, w, nil)
		if !ok || zoneOf(r, c) != "near" || !c.NoWait {
			t.Fatalf("head %d: %+v", head, c)
		}
		if again, _ := r.Next(epoch, work("b", entity.BlockHash(head+1), 0), nil); again != c {
			t.Fatalf("head %d goes to %v and to %v", head, c, again)
		}
		used[c.Endpoint] = true
	}
	if len(used) < 60 {
		t.Errorf("500 heads use %d of 100 endpoints", len(used))
	}
}

// TestLargePoolIsTriedWhole has a request that waits in a queue look on until
// every owner that could serve it was asked.
func TestLargePoolIsTriedWhole(t *testing.T) {
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
			t.Fatalf("%v is asked after %d", c, len(tried))
		}
		zones[zoneOf(r, c)]++
		tried = append(tried, c)
	}
	if zones["near"] != 99 || zones["far"] != 100 {
		t.Errorf("asked %v", zones)
	}
}
