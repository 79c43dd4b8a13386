package measure

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/HdrHistogram/hdrhistogram-go"
)

func corePolicy() Policy {
	for _, p := range Policies() {
		if p.Name == CorePolicy {
			return p
		}
	}
	panic("the core is not among the policies")
}

// When an instance is killed, no request may be shed while a lower tier is served, none
// may be dispatched twice, every request must end, and the highest tier must still be
// answered.
func TestGuaranteesHoldWhenInstanceDies(t *testing.T) {
	for _, d := range Deployments() {
		res := Run(d, 0.5, KilledInstance, corePolicy(), 7)
		if res.PriorityInversions != 0 || res.Redispatched != 0 {
			t.Errorf("%s: got %d priority inversions and %d requests dispatched twice, want none", d.Name, res.PriorityInversions, res.Redispatched)
		}
		if g := res.Tiers[0].Goodput(); g < 0.99 {
			t.Errorf("%s: got goodput %.3f for the highest tier, want at least 0.99", d.Name, g)
		}
		for i := range res.Tiers {
			tier := &res.Tiers[i]
			ends := tier.Good + tier.Late
			for _, n := range tier.Refused {
				ends += n
			}
			if ends != tier.Offered || tier.Offered == 0 {
				t.Errorf("%s: tier %d: %d requests were offered, but %d ended", d.Name, i, tier.Offered, ends)
			}
		}
	}
}

// Two runs with the same seed must give the same result.
func TestRunsAreDeterministic(t *testing.T) {
	d := Deployments()[1]
	one, two := Run(d, 0.3, LostEvents, corePolicy(), 3), Run(d, 0.3, LostEvents, corePolicy(), 3)
	if diff := cmp.Diff(one, two, cmpopts.IgnoreTypes(&hdrhistogram.Histogram{})); diff != "" {
		t.Errorf("two runs with the same seed differ (-first +second):\n%s", diff)
	}
}
