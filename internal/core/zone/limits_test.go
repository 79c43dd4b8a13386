package zone

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/endpointlimit"
)

// keeps reports whether a member holds a limit of endpoint e.
func keeps(m *member, perSecond float64) bool {
	got, ok := m.limits.Asks("e", 1)
	return ok && got.PerSecond == perSecond
}

// untilAll returns after how long a condition holds for all members, up to most.
func (f *fleet) untilAll(most time.Duration, holds func(m *member) bool) time.Duration {
	for passed := time.Duration(0); ; passed += tick {
		all := true
		for _, m := range f.members {
			all = all && holds(m)
		}
		if all || passed >= most {
			return passed
		}
		f.advance(func(int) int { return 0 })
	}
}

// One member hears a limit, another one that it is lower, a third one that it has ended: all
// members keep the newest.
func TestEndpointLimitReachesAllMembers(t *testing.T) {
	for _, tt := range []struct {
		perZone int
		loss    float64
		most    time.Duration
	}{{5, 0, 500 * time.Millisecond}, {50, 0, 500 * time.Millisecond}, {5, 0.2, 3 * time.Second}} {
		f := newFleet(3, tt.perZone)
		f.loss = tt.loss
		f.steps(time.Second)
		for n, r := range []endpointlimit.Reading{{Limited: true, PerSecond: 5}, {Limited: true, PerSecond: 2}, {}} {
			m := f.members[n*tt.perZone+1]
			m.limits.Record(f.boot, "e", 1, r)
			took := f.untilAll(tt.most+tick, func(m *member) bool {
				if !r.Limited {
					_, ok := m.limits.Asks("e", 1)
					return !ok
				}
				return keeps(m, r.PerSecond)
			})
			if took > tt.most {
				t.Errorf("%d members in 3 zones, loss %v, statement %d: known after more than %v", 3*tt.perZone, tt.loss, n, tt.most)
			}
			f.steps(time.Second)
		}
	}
}
