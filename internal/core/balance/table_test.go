package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

var start = time.Unix(1_700_000_000, 0)

func endpoints(zones ...entity.ZoneID) []*catalog.Endpoint {
	var out []*catalog.Endpoint
	for i, z := range zones {
		out = append(out, &catalog.Endpoint{Endpoint: entity.Endpoint{ID: entity.EndpointID(fmt.Sprint("e", i)), Zone: z, Slots: 6}})
	}
	return out
}

func pick(t *testing.T, b *Table, now time.Time, list []*catalog.Endpoint, id string, avoid ...entity.EndpointID) entity.EndpointID {
	t.Helper()
	e, ok := b.Pick(now, list, "a", avoid, entity.RequestID(id))
	if !ok {
		t.Fatal("no endpoint was chosen")
	}
	return e.ID
}

func TestLocalZoneIsPreferredUntilItIsBusier(t *testing.T) {
	b, list := New(), endpoints("a", "b")
	for i := range 2 {
		if got := pick(t, b, start, list, fmt.Sprint(i)); got != "e0" {
			t.Errorf("call %d went to %s, want e0: the local zone has free slots", i, got)
		}
	}
	b.Pick(start, list, "a", nil, "2")
	if got := pick(t, b, start, list, "3"); got != "e1" {
		t.Errorf("with half of the local zone's slots occupied the call went to %s, want e1", got)
	}
}

func TestReportedLoadCounts(t *testing.T) {
	b, list := New(), endpoints("a", "a")
	first := pick(t, b, start, list, "x")
	b.Done(start, first, Result{HasLoad: true, Running: 6, Waiting: 4})
	if got := pick(t, b, start, list, "x"); got == first {
		t.Error("chose the endpoint that has just reported more load than it has slots, want the other one")
	}
	if got := pick(t, New(), start.Add(time.Minute), list, "x"); got != first {
		t.Error("a load reported a minute ago still counts")
	}
}

func TestFailingEndpointIsSuspended(t *testing.T) {
	b, list := New(), endpoints("a", "b")
	for range failuresToSuspend {
		b.Done(start, pick(t, b, start, list[:1], "x"), Result{Failed: true})
	}
	if got := pick(t, b, start, list, "x"); got != "e1" {
		t.Errorf("chose %s, which has just failed %d times, want e1", got, failuresToSuspend)
	}
	if got := pick(t, b, start, list[:1], "x"); got != "e0" {
		t.Error("want the only endpoint to be chosen although it is suspended")
	}
	if got := pick(t, b, start.Add(time.Minute), list, "y"); got != "e0" {
		t.Errorf("a minute later chose %s, want e0", got)
	}
}

func TestTriedAndLeavingEndpointsAreAvoided(t *testing.T) {
	b, list := New(), endpoints("a", "a", "b")
	list[1].Leaving = true
	if got := pick(t, b, start, list, "x", "e0"); got != "e2" {
		t.Errorf("chose %s, want e2: e0 was tried and e1 is leaving", got)
	}
}

// Without load reports, the choice agrees with a reference that counts calls in flight.
func TestPickAgreesWithNaiveCount(t *testing.T) {
	b, list := New(), endpoints("a", "a", "a", "a")
	inFlight := map[entity.EndpointID]int{}
	for i := range 400 {
		id := pick(t, b, start, list, fmt.Sprint(i))
		for other, n := range inFlight {
			if n < inFlight[id] {
				t.Fatalf("call %d went to %s with %d in flight, want %s with %d", i, id, inFlight[id], other, n)
			}
		}
		inFlight[id]++
		if i%3 == 0 {
			b.Done(start, id, Result{})
			inFlight[id]--
		}
	}
}
