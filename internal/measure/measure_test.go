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

// The promises hold, and the highest tier is answered, when an instance dies.
func TestPromisesHoldWhenAnInstanceDies(t *testing.T) {
	for _, d := range Deployments() {
		res := Run(d, 0.5, KilledInstance, corePolicy(), 7)
		if res.PriorityInversions != 0 || res.Redispatched != 0 {
			t.Errorf("%s: %d shed above lower work, %d dispatched twice", d.Name, res.PriorityInversions, res.Redispatched)
		}
		if g := res.Tiers[0].Goodput(); g < 0.99 {
			t.Errorf("%s: goodput of the highest tier is %.3f", d.Name, g)
		}
		for i := range res.Tiers {
			tier := &res.Tiers[i]
			ends := tier.Good + tier.Late
			for _, n := range tier.Refused {
				ends += n
			}
			if ends != tier.Offered || tier.Offered == 0 {
				t.Errorf("%s: tier %d had %d requests and %d ends", d.Name, i, tier.Offered, ends)
			}
		}
	}
}

// The same seed gives the same run.
func TestRunsRepeat(t *testing.T) {
	d := Deployments()[1]
	one, two := Run(d, 0.3, LostEvents, corePolicy(), 3), Run(d, 0.3, LostEvents, corePolicy(), 3)
	if diff := cmp.Diff(one, two, cmpopts.IgnoreTypes(&hdrhistogram.Histogram{})); diff != "" {
		t.Errorf("runs differ:\n%s", diff)
	}
}
