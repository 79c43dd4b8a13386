package gateway

import (
	"testing"
	"time"
)

// An instance that the store refuses, while it answers others, stays ineligible for
// roles for at least minRefusalTime, and after that until the store has answered it.
func TestRefusalLastsUntilTheStoreAnswers(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	const never = time.Duration(-1)
	steps := []struct {
		after      time.Duration
		refused    bool
		answered   time.Duration // time of the store's last answer, or never
		ineligible bool
		retryDue   bool
	}{
		{0, false, never, false, false},
		{time.Second, true, never, true, false},
		{2 * time.Second, false, 0, true, false}, // this answer came before the refusal
		{2 * minRefusalTime, false, 0, true, true},
		{2*minRefusalTime + time.Second, false, 2 * minRefusalTime, false, false},
		{2*minRefusalTime + 2*time.Second, true, 2 * minRefusalTime, true, false},
	}
	var r storeRefusal
	for _, s := range steps {
		now := start.Add(s.after)
		age := never
		if s.answered >= 0 {
			age = s.after - s.answered
		}
		if ineligible := r.update(now, s.refused, age); ineligible != s.ineligible || r.retryDue(now) != s.retryDue {
			t.Errorf("after %v: got ineligible %v, retry due %v, want %v and %v", s.after, ineligible, r.retryDue(now), s.ineligible, s.retryDue)
		}
	}
}
