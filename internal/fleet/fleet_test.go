package fleet

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// ciHistories is how many histories every test run plays, always the same.
const ciHistories = 2000

// TestHistories plays the histories of the fixed seeds. Each is deterministic,
// so they run side by side.
func TestHistories(t *testing.T) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for seed := next.Add(1); seed <= ciHistories; seed = next.Add(1) {
				if r := Run(seed, Options{}); len(r.Violations) > 0 {
					t.Errorf("%s", r)
				}
			}
		})
	}
	wg.Wait()
}

// The same seed gives the same history.
func TestSeedDecidesTheHistory(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		a, b := Run(seed, Options{}), Run(seed, Options{})
		if diff := cmp.Diff(a.Events, b.Events); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// The histories do what they are for: every kind of fault comes about, and
// requests end in many ways.
func TestHistoriesCoverFaultsAndOutcomes(t *testing.T) {
	kinds, outcomes := make(map[Fault]int), make(map[string]int)
	for seed := int64(1); seed <= 200; seed++ {
		r := Run(seed, Options{})
		for _, k := range r.Kinds {
			kinds[k]++
		}
		for reason, n := range r.Outcomes {
			outcomes[fmt.Sprintf("%q", reason)] += n
		}
	}
	for _, x := range faults {
		if kinds[x.kind] == 0 {
			t.Errorf("no %s in 200 histories", x.kind)
		}
	}
	for _, reason := range []string{`""`, `"overload"`, `"deadline"`, `"connection_lost"`, `"key_in_progress"`, `"log_unavailable"`} {
		if outcomes[reason] == 0 {
			t.Errorf("no answer with reason %s in 200 histories; got %v", reason, outcomes)
		}
	}
}
