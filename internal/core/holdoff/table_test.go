package holdoff

import (
	"slices"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

var start = time.Unix(1_700_000_000, 0)

func endpoint(id string, incarnation int64) *catalog.Endpoint {
	return &catalog.Endpoint{Endpoint: entity.Endpoint{ID: entity.EndpointID(id)}, Incarnation: incarnation}
}

func TestEndpointIsAvoidedForTheStatedTime(t *testing.T) {
	a, b := endpoint("a", 1), endpoint("b", 1)
	all := []*catalog.Endpoint{a, b}
	table := New()
	table.Add(start, a, 3*time.Second)
	table.Add(start.Add(time.Second), a, time.Second) // shorter, does not shorten the first
	for _, tt := range []struct {
		after   time.Duration
		avoided []entity.EndpointID
	}{{0, []entity.EndpointID{"a"}}, {2900 * time.Millisecond, []entity.EndpointID{"a"}}, {3 * time.Second, nil}} {
		now := start.Add(tt.after)
		if got := table.Avoided(now, all); !slices.Equal(got, tt.avoided) {
			t.Errorf("after %v: got %v avoided, want %v", tt.after, got, tt.avoided)
		}
		if got := len(table.Usable(now, all)); got != len(all)-len(tt.avoided) {
			t.Errorf("after %v: got %d usable, want %d", tt.after, got, len(all)-len(tt.avoided))
		}
	}
	if got := table.FirstIn(start.Add(time.Second), []*catalog.Endpoint{a}); got != 2*time.Second {
		t.Errorf("got %v until the endpoint is usable, want 2 s", got)
	}
	table.Expire(start.Add(3 * time.Second))
	if table.Len() != 0 {
		t.Errorf("got %d rows after their time, want 0", table.Len())
	}
}

func TestRestartedEndpointIsNotAvoided(t *testing.T) {
	table := New()
	table.Add(start, endpoint("a", 1), time.Minute)
	if d := table.Remaining(start, endpoint("a", 2)); d != 0 {
		t.Errorf("got %v for a later incarnation, want 0", d)
	}
}

func TestStatedTimeIsBounded(t *testing.T) {
	table := New()
	table.Add(start, endpoint("never", 1), -time.Second)
	table.Add(start, endpoint("long", 1), 1000*time.Hour)
	if d := table.Remaining(start, endpoint("never", 1)); d != 0 {
		t.Errorf("got %v for a negative time, want 0", d)
	}
	if d := table.Remaining(start, endpoint("long", 1)); d != Max {
		t.Errorf("got %v for a thousand hours, want %v", d, Max)
	}
}

// An endpoint asked for a pause just before, or long before, its restart was known.
func TestPauseAskedForByANewIncarnationIsKept(t *testing.T) {
	table := New()
	table.Add(start, endpoint("just", 1), time.Minute)
	table.Add(start.Add(-noticeTime-time.Second), endpoint("long", 1), time.Minute)
	table.Restarted(start, endpoint("just", 2))
	table.Restarted(start, endpoint("long", 2))
	if table.Remaining(start, endpoint("just", 2)) == 0 {
		t.Error("the endpoint is not avoided, although it may have asked for the pause after its restart")
	}
	if table.Remaining(start, endpoint("long", 2)) != 0 {
		t.Error("the endpoint is avoided, although only its earlier incarnation can have asked for the pause")
	}
}
