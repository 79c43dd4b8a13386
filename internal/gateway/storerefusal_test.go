package gateway

import (
	"testing"
	"time"
)

// An instance that the store refuses alone has roles again when the store has
// answered it, not before, and not at once.
func TestRefusalLastsUntilTheStoreAnswers(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	const never = time.Duration(-1)
	steps := []struct {
		after    time.Duration
		found    bool
		answered time.Duration // from the start, never for never
		lasts    bool
		tries    bool
	}{
		{0, false, never, false, false},
		{time.Second, true, never, true, false},
		{2 * time.Second, false, 0, true, false}, // answered before it was refused
		{2 * minRefusalTime, false, 0, true, true},
		{2*minRefusalTime + time.Second, false, 2 * minRefusalTime, false, false},
		{2*minRefusalTime + 2*time.Second, true, 2 * minRefusalTime, true, false},
	}
	var r storeRefusal
	for _, s := range steps {
		now := start.Add(s.after)
		ago := never
		if s.answered >= 0 {
			ago = s.after - s.answered
		}
		if lasts := r.update(now, s.found, ago); lasts != s.lasts || r.retryDue(now) != s.tries {
			t.Errorf("after %v: lasts %v, tries %v, want %v and %v", s.after, lasts, r.retryDue(now), s.lasts, s.tries)
		}
	}
}
