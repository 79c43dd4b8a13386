package admission

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// TestOwnerThatWasAwayGrantsNothingAtOnce: an owner that was frozen may have
// missed that an endpoint leaves. It grants nothing, whatever the tier, until
// there was time to hear of it.
func TestOwnerThatWasAwayGrantsNothingAtOnce(t *testing.T) {
	o, now := settled(engine("e", 1))
	o.Tick(now)
	now = now.Add(DefaultSettings().MaxTickGap + time.Second)
	o.Reserve(now, ask(work("r", 0)))
	if r := o.Ready(); len(r.Grants) != 0 {
		t.Fatalf("granted at once: %+v", r.Grants)
	}
	var granted []GrantTo
	for end := now.Add(2 * DefaultSettings().RestrictedFor); now.Before(end); now = now.Add(TickInterval) {
		o.Tick(now)
		granted = append(granted, o.Ready().Grants...)
	}
	if len(granted) != 1 || granted[0].Grant.ID != entity.RequestID("r") {
		t.Fatalf("not granted afterwards: %+v", granted)
	}
}
