package balance

import (
	"math"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/concurrency"
)

// Endpoints of one service may differ in speed and share their hardware with others. Where one of the
// candidates states its slowdown, the load of each counts as many times as its answers are
// expected to take longer than those of the fastest one. This answers the load of a service some of
// whose endpoints are several times slower than the others, all the time or by moments.

const (
	// timeWeight is the weight of a call in the mean time of an endpoint; the first ones weigh more.
	timeWeight = 0.1
	// timeHalfLife is the half-life of what is known of the times of an endpoint that isn't used. It
	// is used again before long, and shows whether it is still slow.
	timeHalfLife = 5 * time.Second
	// maxTimes bounds how many times longer an endpoint's answers are taken to be, so that suspended and
	// avoided endpoints remain behind all others.
	maxTimes = 20
)

// answers is what is known of the times of an endpoint since its last start.
type answers struct {
	incarnation int64
	// seconds is the mean time of a call at the usual speed, 0 if unknown, as of learnedAt.
	seconds   float64
	samples   int
	learnedAt time.Time
	slowdown  concurrency.Slowdown
}

// observe makes the row learn the times of an endpoint, anew if it has restarted.
func (r *row) observe(e *catalog.Endpoint) {
	if r.answers == nil || r.answers.incarnation != e.Incarnation {
		r.answers = &answers{incarnation: e.Incarnation}
	}
}

// learn records the time of a call and what the endpoint stated in its response.
func (r *row) learn(now time.Time, res Result) {
	a := r.answers
	if a == nil || res.Failed || res.Took <= 0 {
		return
	}
	took := res.Took
	if res.Slowdown > 0 {
		a.slowdown.State(now, res.Slowdown)
		a.slowdown.Learn(took.Seconds(), a.slowdown.Stated())
		took = a.slowdown.Normal(took, a.slowdown.Stated())
	}
	a.samples++
	a.learnedAt = now
	a.seconds += max(timeWeight, 1/float64(a.samples)) * (took.Seconds() - a.seconds)
}

// states reports whether the endpoint has stated its slowdown.
func (a *answers) states() bool { return a != nil && a.slowdown.States() }

// timesLonger returns, for each candidate, how many times longer its answers are expected to take than
// those of the fastest. It returns nil if no candidate has stated its slowdown.
func (t *Table) timesLonger(now time.Time, candidates []*catalog.Endpoint) []float64 {
	if !slices.ContainsFunc(candidates, func(e *catalog.Endpoint) bool { return t.row(e.ID).answers.states() }) {
		return nil
	}
	fastest := math.Inf(1)
	for _, e := range candidates {
		if a := t.row(e.ID).answers; a != nil && a.seconds > 0 && !e.Leaving {
			fastest = min(fastest, a.seconds)
		}
	}
	times := make([]float64, len(candidates))
	for i, e := range candidates {
		times[i] = t.row(e.ID).answers.longerThan(now, fastest)
	}
	return times
}

// longerThan returns how many times longer than the given seconds an answer is expected to take.
func (a *answers) longerThan(now time.Time, seconds float64) float64 {
	if a == nil || a.seconds == 0 {
		return 1
	}
	memory := math.Exp2(-float64(now.Sub(a.learnedAt)) / float64(timeHalfLife))
	longer := math.Pow(a.seconds/seconds, memory)
	return min(longer*a.slowdown.Expected(now), maxTimes)
}
