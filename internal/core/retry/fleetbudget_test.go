package retry

import (
	"testing"
	"time"
)

// In every window the retries of all instances together stay within the ratio
// of the requests plus the allowance, even if every request fails.
func TestFleetBudgetStaysWithinLimit(t *testing.T) {
	const (
		instances = 15
		ratio     = 0.2
		allowance = 116.0
		window    = 10 * time.Second
		perSecond = 150 // requests over all instances
	)
	now := time.Unix(1_700_000_000, 0)
	var budgets []*FleetBudget
	for range instances {
		budgets = append(budgets, NewFleetBudget(ratio, allowance, window, instances))
	}
	var retries []time.Time
	for i := range 60 * perSecond { // every attempt fails, so each request is retried while the budget allows it
		now = now.Add(time.Second / perSecond)
		b := budgets[i%instances]
		b.Request()
		for b.Take(now, instances) {
			retries = append(retries, now)
		}
	}
	maxRetries, first := 0, 0
	for i, at := range retries {
		for retries[first].Before(at.Add(-window)) {
			first++
		}
		maxRetries = max(maxRetries, i-first+1)
	}
	if limit := ratio*perSecond*window.Seconds() + allowance; float64(maxRetries) > limit {
		t.Errorf("got %d retries within %v, want at most %.0f", maxRetries, window, limit)
	}
	if maxRetries < 100 {
		t.Errorf("got %d retries within %v, want at least 100: the budget is hardly used", maxRetries, window)
	}
}
