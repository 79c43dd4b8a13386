package admission

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// An owner whose process was frozen may have missed that an endpoint is leaving.
// It grants nothing, whatever the tier, until it has had time to learn of that.
func TestOwnerGrantsNothingRightAfterFreeze(t *testing.T) {
	o, now := settledOwner(engine("e", 1))
	o.Tick(now)
	now = now.Add(DefaultSettings().MaxTickGap + time.Second)
	o.HandleReservation(now, reservation(work("r", 0)))
	if r := o.Ready(); len(r.Grants) != 0 {
		t.Fatalf("right after the freeze: got grants %+v, want none", r.Grants)
	}
	var granted []GrantTo
	for end := now.Add(2 * DefaultSettings().RestrictedFor); now.Before(end); now = now.Add(TickInterval) {
		o.Tick(now)
		granted = append(granted, o.Ready().Grants...)
	}
	if len(granted) != 1 || granted[0].Grant.ID != entity.RequestID("r") {
		t.Fatalf("later: got grants %+v, want one for request r", granted)
	}
}
