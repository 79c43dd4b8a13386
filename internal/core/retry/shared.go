package retry

import "time"

// safetyPart is kept free of what a deployment may repeat, since the window of
// its rule slides and instances count apart.
const safetyPart = 0.75

// FleetBudget bounds one instance's repeats so that those of all instances stay
// within a ratio of the requests and an allowance, over a window. Each instance
// keeps to the ratio of its own requests and to its part of the allowance, so
// no message is needed.
type FleetBudget struct {
	ratio, allowance float64
	window           time.Duration
	tokens           float64
	at               time.Time
}

// NewFleetBudget returns the budget of one of so many instances.
func NewFleetBudget(ratio, allowance float64, window time.Duration, instances int) *FleetBudget {
	s := &FleetBudget{ratio: safetyPart * ratio, allowance: safetyPart * allowance, window: window}
	s.tokens = s.size(instances)
	return s
}

// size is what may be saved up: this instance's part of the allowance.
func (s *FleetBudget) size(instances int) float64 { return s.allowance / float64(max(1, instances)) }

// Request records a first try.
func (s *FleetBudget) Request() { s.tokens += s.ratio }

// Take takes one repeat from the budget. What is saved up beyond the
// instance's part of the allowance decays over the window.
func (s *FleetBudget) Take(now time.Time, instances int) bool {
	size := s.size(instances)
	if !s.at.IsZero() && s.window > 0 {
		elapsed := now.Sub(s.at).Seconds() / s.window.Seconds()
		s.tokens += size * elapsed / 2 // the allowance comes back over two windows
	}
	s.at = now
	s.tokens = min(s.tokens, size)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
