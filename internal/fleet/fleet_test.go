package fleet

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// ciHistories is how many histories every test run plays, always the same.
const ciHistories = 2000

// TestHistories plays the histories of the fixed seeds. Each is deterministic,
// so they run side by side. Together they do what they are for: every kind of
// fault comes about, and requests end in many ways.
func TestHistories(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	kinds, outcomes := make(map[Fault]int), make(map[verdict.Reason]int)
	add := func(r Result) {
		mu.Lock()
		defer mu.Unlock()
		for _, k := range r.Kinds {
			kinds[k]++
		}
		for reason, n := range r.Outcomes {
			outcomes[reason] += n
		}
	}
	var next atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for seed := next.Add(1); seed <= ciHistories; seed = next.Add(1) {
				r := Run(seed, Options{})
				if len(r.Violations) > 0 {
					t.Errorf("%s", r)
				}
				add(r)
			}
		})
	}
	wg.Wait()
	for _, x := range faults {
		if kinds[x.kind] == 0 {
			t.Errorf("no %s in %d histories", x.kind, ciHistories)
		}
	}
	for _, reason := range []verdict.Reason{
		verdict.ReasonNone, verdict.ReasonOverload, verdict.ReasonDeadline, verdict.ReasonConnectionLost, verdict.ReasonCallerGone,
		verdict.ReasonKeyInProgress, verdict.ReasonLogUnavailable, verdict.ReasonStopping,
	} {
		if outcomes[reason] == 0 {
			t.Errorf("no answer with reason %q in %d histories; got %v", reason, ciHistories, outcomes)
		}
	}
}

// regressionSeeds are seeds that broke a promise, with the cause.
var regressionSeeds = map[int64]string{
	1796332440368647: "a newcomer without the platform's list took itself for the only owner",
	802078:           "the same, after two kills",
	1796332440369460: "the same, after two cuts of the platform",
	900505:           "the only instances of two zones, both new, each proved by endpoints that both owned",
	700785:           "an instance proved by endpoints of a zone that had come back 140 ms before",
}

func TestSeedsThatFailedBefore(t *testing.T) {
	for seed, cause := range regressionSeeds {
		if r := Run(seed, Options{}); len(r.Violations) > 0 {
			t.Errorf("seed %d (%s): %v", seed, cause, r.Violations)
		}
	}
}

// The same seed gives the same history.
func TestSeedDecidesTheHistory(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= 20; seed++ {
		a, b := Run(seed, Options{}), Run(seed, Options{})
		if diff := cmp.Diff(a.Events, b.Events); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}
