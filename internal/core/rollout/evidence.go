package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// periods is the number of periods of an order's time. Evidence is kept by period, and a test
	// starts with each.
	periods = 32
	// minPeriod is the shortest period.
	minPeriod = 500 * time.Millisecond
	// referenceBefore and referenceAfter are the numbers of periods before and after the present one
	// whose answers of the old version are compared with the target's.
	referenceBefore, referenceAfter = 4, 1
	// maxReferenceBefore is how many periods before they may be if there are no others.
	maxReferenceBefore = periods / 3
	// clearPeriods is the number of the last periods that speak for the target.
	clearPeriods = periods / 3
	// slowFrom is the period from which slowness counts: endpoints that have just started are slow.
	slowFrom = periods / 8
)

// period holds the answers of one period by route.
type period map[string]*routeCounts

// routeCounts holds the answers on one route: those of the other versions, and of the target by endpoint.
type routeCounts struct {
	old    tally
	target map[entity.EndpointID]*tally
}

// evidence is what is known about the target of one order.
type evidence struct {
	length time.Duration // of a period
	first  int           // index of the oldest period
	rows   []period
}

func newEvidence(duration time.Duration) *evidence {
	return &evidence{length: max(minPeriod, duration/periods)}
}

// add adds answers that were counted when the given time of the order had passed.
func (e *evidence) add(elapsed time.Duration, counts []Count) {
	index := int(elapsed / e.length)
	if len(e.rows) == 0 {
		e.first = index
	}
	for e.first+len(e.rows) <= index {
		e.rows = append(e.rows, make(period))
	}
	if extra := len(e.rows) - periods; extra > 0 {
		e.rows, e.first = e.rows[extra:], e.first+extra
	}
	row := e.rows[len(e.rows)-1]
	for i := range counts {
		row.route(counts[i].Route).add(&counts[i])
	}
}

func (p period) route(name string) *routeCounts {
	r := p[name]
	if r == nil {
		r = &routeCounts{target: make(map[entity.EndpointID]*tally)}
		p[name] = r
	}
	return r
}

func (r *routeCounts) add(c *Count) {
	into := &r.old
	if c.Endpoint != "" {
		into = r.of(c.Endpoint)
	}
	into.failed += c.Failed
	for _, pair := range c.Times {
		into.times[pair[0]] += pair[1]
	}
}

func (r *routeCounts) of(id entity.EndpointID) *tally {
	t := r.target[id]
	if t == nil {
		t = &tally{}
		r.target[id] = t
	}
	return t
}

func (t *tally) merge(o *tally) {
	t.failed += o.failed
	for c, n := range o.times {
		t.times[c] += n
	}
}

// served returns the number of answers that did not fail.
func (t *tally) served() (n int) {
	for _, c := range t.times {
		n += c
	}
	return n
}

// allRoutes stands for all routes together.
const allRoutes = "(all)"

// judge returns the evidence against a target with a number of endpoints.
func (e *evidence) judge(endpoints int) Summary {
	var out Summary
	sums := map[string]map[entity.EndpointID]*scores{allRoutes: {}}
	for i := len(e.rows) - 1; i >= 0; i-- {
		for _, name := range slices.Sorted(maps.Keys(e.rows[i])) {
			counts := e.rows[i][name]
			out.count(counts)
			if sums[name] == nil {
				sums[name] = make(map[entity.EndpointID]*scores)
			}
			if len(counts.target) > 0 {
				t := newTests(e.reference(i, name), e.reference(-1, name), e.first+i >= slowFrom)
				addScores(sums[name], t, counts.target)
				addScores(sums[allRoutes], t, counts.target)
			}
		}
		if testedStart(len(e.rows) - i) {
			out.raise(sums, endpoints)
		}
		if len(e.rows)-i == clearPeriods || i == 0 && out.Clear == 0 {
			out.Clear = clarity(sums[allRoutes], endpoints)
		}
	}
	return out
}

// clarity returns how strongly the evidence speaks for the target, without its worst endpoint if it has
// several.
func clarity(by map[entity.EndpointID]*scores, endpoints int) float64 {
	if endpoints > 1 {
		by = withoutWorst(by)
	}
	fails, slow := alternatives(by, math.Inf(1))
	return -max(slices.Max(fails), slices.Max(slow))
}

// raise raises the suspicion to that of the strongest evidence.
func (s *Summary) raise(sums map[string]map[entity.EndpointID]*scores, endpoints int) {
	threshold := math.Log(periods * float64(len(sums)) / falseRollback)
	limit := endpointLimit(threshold, endpoints, len(sums[allRoutes]))
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		score, kind := combine(sums[name], limit)
		if suspicion := score / threshold; suspicion > s.Suspicion {
			s.Suspicion, s.Route, s.Kind = suspicion, name, kind
		}
	}
}

// testedStart reports whether a test starts so many periods ago. Recent starts matter most; the
// others are tested in steps, which saves work.
func testedStart(ago int) bool { return ago <= 4 || ago%4 == 0 || ago == periods }

// reference returns the answers of the old version on a route around a period, of all periods if
// the index is negative. Where these are few, earlier ones are added: in the end the old version
// gets no requests.
func (e *evidence) reference(i int, route string) (out tally) {
	from, to := max(0, i-referenceBefore), min(len(e.rows)-1, i+referenceAfter)
	if i < 0 {
		from, to = 0, len(e.rows)-1
	}
	for j := to; j >= 0 && (j >= from || j >= i-maxReferenceBefore && out.served() < enoughReference); j-- {
		if r := e.rows[j][route]; r != nil {
			out.merge(&r.old)
		}
	}
	return out
}

// addScores adds the scores of one period's answers to those of later ones.
func addScores(sums map[entity.EndpointID]*scores, t *tests, target map[entity.EndpointID]*tally) {
	for id, counts := range target {
		if sums[id] == nil {
			sums[id] = &scores{}
		}
		t.addTo(sums[id], counts)
	}
}

// count adds up the answers on a route.
func (s *Summary) count(r *routeCounts) {
	s.OldFailed += r.old.failed
	s.OldAnswers += r.old.failed + r.old.served()
	for _, t := range r.target {
		s.Failed += t.failed
		s.Answers += t.failed + t.served()
	}
}
