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
		t.Fatal("nothing was chosen")
	}
	return e.ID
}

func TestOwnZoneComesFirstUntilItIsBusier(t *testing.T) {
	b, list := New(), endpoints("a", "b")
	for i := range 2 {
		if got := pick(t, b, start, list, fmt.Sprint(i)); got != "e0" {
			t.Errorf("call %d went to %s, the own zone has room", i, got)
		}
	}
	b.Pick(start, list, "a", nil, "2")
	if got := pick(t, b, start, list, "3"); got != "e1" {
		t.Errorf("with half of the own zone's slots taken the call went to %s", got)
	}
}

func TestLoadThatOthersCauseCounts(t *testing.T) {
	b, list := New(), endpoints("a", "a")
	first := pick(t, b, start, list, "x")
	b.Done(start, first, Result{HasLoad: true, Running: 6, Waiting: 4})
	if got := pick(t, b, start, list, "x"); got == first {
		t.Error("chosen though it just said that it is full")
	}
	if got := pick(t, New(), start.Add(time.Minute), list, "x"); got != first {
		t.Error("what it said a minute ago still counts")
	}
}

func TestFailingEndpointIsPassedOver(t *testing.T) {
	b, list := New(), endpoints("a", "b")
	for range failuresToSuspend {
		b.Done(start, pick(t, b, start, list[:1], "x"), Result{Failed: true})
	}
	if got := pick(t, b, start, list, "x"); got != "e1" {
		t.Errorf("chose %s, which has just failed %d times", got, failuresToSuspend)
	}
	if got := pick(t, b, start, list[:1], "x"); got != "e0" {
		t.Error("the only endpoint must be chosen, failing or not")
	}
	if got := pick(t, b, start.Add(time.Minute), list, "y"); got != "e0" {
		t.Errorf("a minute later chose %s", got)
	}
}

func TestTriedAndLeavingEndpointsAreAvoided(t *testing.T) {
	b, list := New(), endpoints("a", "a", "b")
	list[1].Leaving = true
	if got := pick(t, b, start, list, "x", "e0"); got != "e2" {
		t.Errorf("chose %s, e0 was tried and e1 is leaving", got)
	}
}

// The choice agrees with a naive one that counts calls in flight.
func TestAgainstNaiveCount(t *testing.T) {
	b, list := New(), endpoints("a", "a", "a", "a")
	inFlight := map[entity.EndpointID]int{}
	for i := range 400 {
		id := pick(t, b, start, list, fmt.Sprint(i))
		for other, n := range inFlight {
			if n < inFlight[id] {
				t.Fatalf("call %d went to %s with %d in flight, %s has %d", i, id, inFlight[id], other, n)
			}
		}
		inFlight[id]++
		if i%3 == 0 {
			b.Done(start, id, Result{})
			inFlight[id]--
		}
	}
}
