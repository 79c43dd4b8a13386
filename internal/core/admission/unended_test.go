package admission

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// TestUnendedWorkStillCounts: an entry gives up on a stream that it can't
// cancel. Until the engine's load report shows it gone, higher work is not
// refused with a promise that nothing below it runs.
func TestUnendedWorkStillCounts(t *testing.T) {
	o, now := settled(engine("e", 1))
	o.Reserve(now, ask(work("low", 2)))
	if r := o.Ready(); len(r.Grants) != 1 {
		t.Fatalf("%+v", r)
	}
	o.Release(now, entity.Release{ID: "low", Endpoint: "e", MayBeRunning: true, Failed: true})
	for _, id := range []string{"high", "higher"} {
		r := ask(work(id, 1))
		r.NoWait = true
		o.Reserve(now, r)
	}
	refusals := o.Ready().Refusals
	if len(refusals) != 2 {
		t.Fatalf("%+v", refusals)
	}
	for _, f := range refusals {
		if f.Refusal.Floor <= 1 {
			t.Fatalf("promised floor %d while work of tier 2 runs", f.Refusal.Floor)
		}
	}
	later := now.Add(500 * time.Millisecond)
	o.HandleLoadReport(later, entity.LoadReport{Endpoint: "e", At: later, Running: 0})
	o.Reserve(later, ask(work("next", 1)))
	if r := o.Ready(); len(r.Grants) != 1 || r.Grants[0].Grant.ID != "next" {
		t.Fatalf("the slot did not come back: %+v", r)
	}
}
