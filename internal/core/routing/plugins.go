package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/speed"
)

// slowWeight is the factor on the weight of a slow endpoint.
const slowWeight = 0.25

// EndpointView is the state of one endpoint that filters, scorers and deprioritisers see.
type EndpointView struct {
	Endpoint *entity.Endpoint
	// Hash is the hash of the endpoint's ID.
	Hash uint64
	// Reachable is set if the endpoint has an owner that answers.
	Reachable bool
	// Weight is its relative share of work, by slots and configured speed.
	Weight float64
	// Running counts this entry's requests on it.
	Running int
}

// Filter excludes endpoints that can't serve the work.
type Filter interface {
	Keep(v *EndpointView, w *entity.Work) bool
}

// Scorer scores an endpoint for the work; higher is better.
type Scorer interface {
	Score(v *EndpointView, w *entity.Work) float64
}

// Deprioritiser moves endpoints that would be overloaded by their scores alone to
// the end of the order.
type Deprioritiser interface {
	// Deprioritise reports whether v comes after all endpoints that are not
	// deprioritised. The totals are over all endpoints that the filters kept.
	Deprioritise(v *EndpointView, totalWeight float64, totalRunning int) bool
}

// ranked is a candidate with the keys of its position in the order.
type ranked struct {
	*candidate
	view          EndpointView
	score         float64
	deprioritised bool
}

// rank returns the endpoints of p that could serve w, the best first.
func (r *Router) rank(now time.Time, p *pool, w *entity.Work) []ranked {
	order := r.order[:0]
	for _, c := range p.candidates {
		order = r.appendRanked(now, order, c, w)
	}
	return r.sortRanked(order)
}

// appendRanked appends c with its score if it could serve w. The plugins get a
// pointer into the scratch slice, so that no EndpointView escapes to the heap.
func (r *Router) appendRanked(now time.Time, order []ranked, c *candidate, w *entity.Work) []ranked {
	order = append(order, ranked{candidate: c, view: r.view(now, c)})
	x := &order[len(order)-1]
	if !r.keep(&x.view, w) {
		return order[:len(order)-1]
	}
	x.score = r.scorer.Score(&x.view, w)
	return order
}

// sortRanked sorts order: the best first, deprioritised endpoints last.
func (r *Router) sortRanked(order []ranked) []ranked {
	weight, running := 0.0, 0
	for i := range order {
		weight += order[i].view.Weight
		running += order[i].view.Running
	}
	for i := range order {
		order[i].deprioritised = r.deprioritiser.Deprioritise(&order[i].view, weight, running)
	}
	slices.SortFunc(order, compareRanked)
	r.order = order
	return order
}

func (r *Router) keep(v *EndpointView, w *entity.Work) bool {
	for _, f := range r.filters {
		if !f.Keep(v, w) {
			return false
		}
	}
	return true
}

func (r *Router) view(now time.Time, c *candidate) EndpointView {
	return EndpointView{
		Endpoint:  &c.Endpoint,
		Hash:      c.hash,
		Reachable: c.Owner != "" && r.owner(c.Owner).reachable(now),
		Weight:    r.weight(&c.Endpoint),
		Running:   c.running,
	}
}

// weight returns an endpoint's relative share of work. It depends on configured
// values because entries must agree on it: otherwise each would send the same
// prompt to a different endpoint. Only an endpoint that was observed to be slow
// gets less.
func (r *Router) weight(ep *entity.Endpoint) float64 {
	w := float64(max(ep.Slots, 1)) * speed.Configured(ep).Prefill
	if r.speeds.Slow(ep) {
		w *= slowWeight
	}
	return w
}

// compareRanked orders by deprioritised, then falling score, then endpoint ID.
func compareRanked(a, b ranked) int {
	if a.deprioritised != b.deprioritised {
		if a.deprioritised {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID)
}
