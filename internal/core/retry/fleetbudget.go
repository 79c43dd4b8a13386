package retry

import "time"

// safetyFactor is the fraction of the ratio and of the allowance that is used.
// The rest is a reserve, because the limit holds in every sliding window while
// the instances count independently of each other.
const safetyFactor = 0.75

// FleetBudget limits the retries of one instance so that in any window the
// retries of all instances together stay within a ratio of the requests plus an
// allowance. Each instance applies the ratio to its own requests and uses an
// equal share of the allowance, so that no messages between instances are
// needed. It is not safe for concurrent use.
type FleetBudget struct {
	ratio, allowance float64
	window           time.Duration
	// tokens is the number of retries available.
	tokens float64
	// updatedAt is the time of the last Take.
	updatedAt time.Time
}

// NewFleetBudget returns the budget of one instance, out of the given number of
// instances.
func NewFleetBudget(ratio, allowance float64, window time.Duration, instances int) *FleetBudget {
	s := &FleetBudget{ratio: safetyFactor * ratio, allowance: safetyFactor * allowance, window: window}
	s.tokens = s.capacity(instances)
	return s
}

// capacity returns the maximum number of tokens: this instance's share of the
// allowance.
func (s *FleetBudget) capacity(instances int) float64 {
	return s.allowance / float64(max(1, instances))
}

// Request records the first attempt of a request.
func (s *FleetBudget) Request() { s.tokens += s.ratio }

// Take takes one retry from the budget, and returns false if the budget is
// exhausted. Tokens beyond the capacity are discarded.
func (s *FleetBudget) Take(now time.Time, instances int) bool {
	capacity := s.capacity(instances)
	if !s.updatedAt.IsZero() && s.window > 0 {
		elapsed := now.Sub(s.updatedAt).Seconds() / s.window.Seconds()
		s.tokens += capacity * elapsed / 2 // the allowance is refilled over two windows
	}
	s.updatedAt = now
	s.tokens = min(s.tokens, capacity)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
