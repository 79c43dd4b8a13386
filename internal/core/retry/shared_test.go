package retry

import (
	"testing"
	"time"
)

// The repeats of all instances stay within the ratio and the allowance in any
// window, whatever fails.
func TestSharedStaysWithinTheRule(t *testing.T) {
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
	var repeats []time.Time
	for i := range 60 * perSecond { // every request fails and would be repeated for ever
		now = now.Add(time.Second / perSecond)
		b := budgets[i%instances]
		b.Request()
		for b.Take(now, instances) {
			repeats = append(repeats, now)
		}
	}
	most, first := 0, 0
	for i, at := range repeats {
		for repeats[first].Before(at.Add(-window)) {
			first++
		}
		most = max(most, i-first+1)
	}
	if allowed := ratio*perSecond*window.Seconds() + allowance; float64(most) > allowed {
		t.Errorf("%d repeats within %v, the rule allows %.0f", most, window, allowed)
	}
	if most < 100 {
		t.Errorf("only %d repeats within %v: the budget is hardly used", most, window)
	}
}
