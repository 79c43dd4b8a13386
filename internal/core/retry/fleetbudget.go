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
	b := &FleetBudget{ratio: safetyFactor * ratio, allowance: safetyFactor * allowance, window: window}
	b.tokens = b.capacity(instances)
	return b
}

// capacity returns the maximum number of tokens: this instance's share of the
// allowance.
func (b *FleetBudget) capacity(instances int) float64 {
	return b.allowance / float64(max(1, instances))
}

// Request records the first attempt of a request.
func (b *FleetBudget) Request() { b.tokens += b.ratio }

// Take takes one retry from the budget, and returns false if the budget is
// exhausted. Tokens beyond the capacity are discarded.
func (b *FleetBudget) Take(now time.Time, instances int) bool {
	capacity := b.capacity(instances)
	if !b.updatedAt.IsZero() && b.window > 0 {
		elapsed := now.Sub(b.updatedAt).Seconds() / b.window.Seconds()
		b.tokens += capacity * elapsed / 2 // the allowance is refilled over two windows
	}
	b.updatedAt = now
	b.tokens = min(b.tokens, capacity)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
