package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/speed"
)

// slowWeight is the share of its usual work that a slow endpoint gets.
const slowWeight = 0.25

// View is what plugins may know of one endpoint.
type View struct {
	Endpoint *entity.Endpoint
	// Hash names the endpoint as a number.
	Hash uint64
	// Reachable says that its owner answers.
	Reachable bool
	// Weight is its share of work, by slots and estimated speed.
	Weight float64
	// Running counts this entry's own requests on it.
	Running int
}

// Filter leaves out endpoints that can't serve the work.
type Filter interface {
	Keep(v *View, w *entity.Work) bool
}

// Scorer values an endpoint for the work; more is better.
type Scorer interface {
	Score(v *View, w *entity.Work) float64
}

// Deprioritiser may put off endpoints that the scores alone would load too much.
type Deprioritiser interface {
	// Deprioritise says that v is to come after all that are not put off. The totals
	// are over all endpoints that the filters kept.
	Deprioritise(v *View, totalWeight float64, totalRunning int) bool
}

// ranked is a candidate with its place in the order.
type ranked struct {
	*candidate
	view   View
	score  float64
	putOff bool
}

// rank orders all endpoints of p for w, the best first.
func (r *Router) rank(now time.Time, p *pool, w *entity.Work) []ranked {
	order := r.order[:0]
	for _, c := range p.candidates {
		order = r.keepRanked(now, order, c, w)
	}
	return r.sortRanked(order)
}

// keepRanked appends c with its score if it could serve w. Plugins see the row
// in the scratch table, so that none escapes to the heap.
func (r *Router) keepRanked(now time.Time, order []ranked, c *candidate, w *entity.Work) []ranked {
	order = append(order, ranked{candidate: c, view: r.view(now, c)})
	x := &order[len(order)-1]
	if !r.keep(&x.view, w) {
		return order[:len(order)-1]
	}
	x.score = r.scorer.Score(&x.view, w)
	return order
}

// sortRanked puts the best first, and those last that have more than their
// share of the work.
func (r *Router) sortRanked(order []ranked) []ranked {
	weight, running := 0.0, 0
	for i := range order {
		weight += order[i].view.Weight
		running += order[i].view.Running
	}
	for i := range order {
		order[i].putOff = r.picker.Deprioritise(&order[i].view, weight, running)
	}
	slices.SortFunc(order, compare)
	r.order = order
	return order
}

func (r *Router) keep(v *View, w *entity.Work) bool {
	for _, f := range r.filters {
		if !f.Keep(v, w) {
			return false
		}
	}
	return true
}

func (r *Router) view(now time.Time, c *candidate) View {
	return View{
		Endpoint:  &c.Endpoint,
		Hash:      c.hash,
		Reachable: c.Owner != "" && r.owner(c.Owner).reachable(now),
		Weight:    r.weight(&c.Endpoint),
		Running:   c.running,
	}
}

// weight is an endpoint's share of work, by what is configured: entries must
// agree on it, or each sends the same prompt elsewhere. Only an endpoint that
// is found to be slow gets less.
func (r *Router) weight(ep *entity.Endpoint) float64 {
	w := float64(max(ep.Slots, 1)) * speed.Configured(ep).Prefill
	if r.speeds.Slow(ep) {
		w *= slowWeight
	}
	return w
}

func compare(a, b ranked) int {
	if a.putOff != b.putOff {
		if a.putOff {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID)
}
