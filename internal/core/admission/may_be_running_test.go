package admission

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// An entry abandons a stream that it cannot cancel. Until a load report of the
// engine shows that the stream has ended, its slot stays occupied, and work of a
// higher tier must not be refused with the guarantee that nothing below it runs.
func TestAbandonedWorkOccupiesSlotUntilReported(t *testing.T) {
	o, now := settledOwner(engine("e", 1))
	o.HandleReservation(now, reservation(work("low", 2)))
	if r := o.Ready(); len(r.Grants) != 1 {
		t.Fatalf("got %+v, want one grant", r)
	}
	o.HandleRelease(now, entity.Release{ID: "low", Endpoint: "e", MayBeRunning: true, Failed: true})
	for _, id := range []string{"high", "higher"} {
		r := reservation(work(id, 1))
		r.NoWait = true
		o.HandleReservation(now, r)
	}
	refusals := o.Ready().Refusals
	if len(refusals) != 2 {
		t.Fatalf("got refusals %+v, want 2", refusals)
	}
	for _, f := range refusals {
		if f.Refusal.Floor <= 1 {
			t.Fatalf("got floor %d while work of tier 2 runs, want at least 2", f.Refusal.Floor)
		}
	}
	later := now.Add(500 * time.Millisecond)
	o.HandleLoadReport(later, entity.LoadReport{Endpoint: "e", At: later, Running: 0})
	o.HandleReservation(later, reservation(work("next", 1)))
	if r := o.Ready(); len(r.Grants) != 1 || r.Grants[0].Grant.ID != "next" {
		t.Fatalf("after the load report: got %+v, want one grant for request next", r)
	}
}
