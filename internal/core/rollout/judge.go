package rollout

import (
	"maps"
	"math"
	"slices"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// A version is tested against two kinds of badness on each route: a part of the answers are
// failures, or a part come several times slower than the old version's on that route in the same
// seconds. The evidence is the likelihood ratio to the hypothesis that it is good, over the answers since some
// period. If it is good, and its answers independent, the ratio exceeds exp(threshold) at any time with a
// probability of at most exp(-threshold) (Ville's inequality), for each period and route to start from.

// falseRollback is the probability with which a good version is rolled back, at most, if its
// answers are independent and like those of the old version. A bad version that is kept does more harm
// than a good one that is rolled back.
const falseRollback = 0.01

const (
	// minReference is the number of answers of the old version that tell how long answers take, and
	// how many fail.
	minReference = 20
	// enoughReference is the number from which earlier answers aren't used.
	enoughReference = 100
	// maxStep limits what one answer adds to the evidence, so that a few can't decide.
	maxStep = 2
	// failureMargin is added to the share of failures of the old version.
	failureMargin = 0.01
	// maxFailing is the largest share of failures that the old version is taken to have.
	maxFailing = 0.9
	// tailShare is the share of the reference that is spread evenly over all classes: any time may
	// occur once.
	tailShare = 0.05
	// goodShifts is one more than the number of classes by which a good version may be slower: new
	// endpoints begin with empty caches.
	goodShifts = 2
	// endpointPart is the part of the threshold that one endpoint can contribute if the target has
	// several, pairPart if it has two: a single bad endpoint is not a bad version.
	endpointPart = 0.37
	pairPart     = 0.6
)

// Kind is a way in which a version is bad.
type Kind string

// The kinds of badness.
const (
	KindFails Kind = "fails"
	KindSlow  Kind = "is slow"
)

// Parts of the answers that are assumed to fail, and to be slow by a number of classes (3.4 and 7.6
// times), by the alternatives that are tested.
var (
	failingParts = [...]float64{0.05, 0.15, 0.5}
	slowParts    = [...]slowPart{{0.25, 3}, {0.25, 5}, {0.9, 3}, {0.9, 5}}
)

type slowPart struct {
	part  float64
	shift int
}

// scores holds the logarithms of the likelihood ratios for one endpoint: of each alternative, and for
// slowness against each way of being good.
type scores struct {
	fails [len(failingParts)]float64
	slow  [len(slowParts)][goodShifts]float64
}

// tests holds what each answer of one route and period adds to the scores.
type tests struct {
	failed, served [len(failingParts)]float64
	// slow is not used if the reference is too small.
	slow    [len(slowParts)][goodShifts][timeClasses]float64
	hasSlow bool
}

// newTests returns the tests against the old version's answers at the same time, or at all times if
// these are few. Times are tested if timed is set.
func newTests(near, all tally, timed bool) *tests {
	t := &tests{}
	failures := near
	if near.failed+near.served() < minReference {
		failures = all
	}
	t.testFailures(&failures)
	if timed && near.served() >= minReference {
		t.testTimes(near.distribution())
	}
	return t
}

// testFailures prepares the tests for failures.
func (t *tests) testFailures(old *tally) {
	n := float64(old.failed+old.served()) + 1
	rate := (float64(old.failed) + 0.5) / n
	good := min(maxFailing, rate+2*math.Sqrt(rate*(1-rate)/n)+failureMargin)
	for i, part := range failingParts {
		bad := good + (1-good)*part
		t.failed[i], t.served[i] = min(maxStep, math.Log(bad/good)), math.Log((1-bad)/(1-good))
	}
}

// testTimes prepares the tests for slowness.
func (t *tests) testTimes(old distribution) {
	t.hasSlow = true
	for i, a := range slowParts {
		bad := mix(old, old.shifted(a.shift), a.part)
		for shift := range goodShifts {
			good := old.shifted(shift)
			for c := range timeClasses {
				t.slow[i][shift][c] = min(maxStep, math.Log(bad[c]/good[c]))
			}
		}
	}
}

// addTo adds the answers of an endpoint to its scores.
func (t *tests) addTo(s *scores, counts *tally) {
	failed, served := float64(counts.failed), float64(counts.served())
	for i := range failingParts {
		s.fails[i] += failed*t.failed[i] + served*t.served[i]
	}
	if !t.hasSlow {
		return
	}
	for c, n := range counts.times {
		if n == 0 {
			continue
		}
		for i := range slowParts {
			for shift := range goodShifts {
				s.slow[i][shift] += float64(n) * t.slow[i][shift][c]
			}
		}
	}
}

// combine returns the evidence of all endpoints, and for what kind of badness it is. Each endpoint
// contributes no more than a limit.
func combine(by map[entity.EndpointID]*scores, limit float64) (float64, Kind) {
	if len(by) == 0 {
		return 0, ""
	}
	fails, slow := alternatives(by, limit)
	failing, slowness := mixture(fails), mixture(slow)
	if slowness > failing {
		return slowness, KindSlow
	}
	return failing, KindFails
}

// withoutWorst returns the scores without those of the endpoint that speaks most against the target.
func withoutWorst(by map[entity.EndpointID]*scores) map[entity.EndpointID]*scores {
	var worst entity.EndpointID
	highest := math.Inf(-1)
	for _, id := range slices.Sorted(maps.Keys(by)) {
		fails, slow := alternatives(map[entity.EndpointID]*scores{id: by[id]}, math.Inf(1))
		if s := max(slices.Max(fails), slices.Max(slow)); s > highest {
			worst, highest = id, s
		}
	}
	rest := maps.Clone(by)
	delete(rest, worst)
	return rest
}

// alternatives returns the evidence for each alternative.
func alternatives(by map[entity.EndpointID]*scores, limit float64) (fails, slow []float64) {
	ids := slices.Sorted(maps.Keys(by))
	sum := func(of func(*scores) float64) (total float64) {
		for _, id := range ids {
			total += min(limit, of(by[id]))
		}
		return total
	}
	for i := range failingParts {
		fails = append(fails, sum(func(s *scores) float64 { return s.fails[i] }))
	}
	for i := range slowParts {
		lowest := math.Inf(1)
		for shift := range goodShifts {
			lowest = min(lowest, sum(func(s *scores) float64 { return s.slow[i][shift] }))
		}
		slow = append(slow, lowest)
	}
	return fails, slow
}

// endpointLimit returns what one endpoint can contribute, given the threshold, the number of the
// target's endpoints, and of those that have answered.
func endpointLimit(threshold float64, endpoints, answering int) float64 {
	switch {
	case endpoints <= 1:
		return math.Inf(1)
	case answering <= 2:
		return pairPart * threshold
	}
	return endpointPart * threshold
}

// mixture returns the logarithm of the mean of likelihood ratios.
func mixture(logs []float64) float64 {
	highest := slices.Max(logs)
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - highest)
	}
	return highest + math.Log(sum/float64(len(logs)))
}

// distribution is the probability of each class of times.
type distribution [timeClasses]float64

// distribution returns the smoothed distribution of the times.
func (t *tally) distribution() (d distribution) {
	n := float64(t.served())
	tail := tailShare + 2/(n+10) // a small reference says little of what is rare
	for c, count := range t.times {
		p := (1 - tail) * float64(count) / n
		d[c] += p / 2
		d[max(0, c-1)] += p / 4
		d[min(timeClasses-1, c+1)] += p / 4
		d[c] += tail / timeClasses
	}
	return d
}

// shifted returns the distribution of times that are longer by a number of classes. No class is
// impossible in it.
func (d *distribution) shifted(by int) (out distribution) {
	if by == 0 {
		return *d
	}
	for c, p := range d {
		out[min(timeClasses-1, c+by)] += (1 - tailShare) * p
		out[c] += tailShare / timeClasses
	}
	return out
}

func mix(a, b distribution, part float64) (out distribution) {
	for c := range out {
		out[c] = (1-part)*a[c] + part*b[c]
	}
	return out
}
