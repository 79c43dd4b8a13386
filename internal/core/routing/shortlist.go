package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// ring returns the candidates of the entry's own zone, or all where it has
// none, in the order of their hashes; nil for a pool that is ranked whole.
func (r *Router) ring(candidates []*candidate) []*candidate {
	if len(candidates) <= r.settings.ShortlistSize {
		return nil
	}
	var near []*candidate
	for _, c := range candidates {
		if c.Endpoint.Zone == r.settings.Zone {
			near = append(near, c)
		}
	}
	if len(near) == 0 {
		near = slices.Clone(candidates)
	}
	slices.SortFunc(near, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	return near
}

// shortlist ranks the first endpoints on the ring from w's head on that could
// serve w, so that requests with one head meet in one shortlist and the cost
// of a request does not grow with the pool.
func (r *Router) shortlist(now time.Time, p *pool, w *entity.Work) []ranked {
	key := mix(headKey(w, r.settings.HeadBlocks))
	at, _ := slices.BinarySearchFunc(p.ring, key, func(c *candidate, key uint64) int { return cmp.Compare(c.hash, key) })
	order := r.order[:0]
	for i := range p.ring {
		if len(order) == r.settings.ShortlistSize {
			break
		}
		order = r.keepRanked(now, order, p.ring[(at+i)%len(p.ring)], w)
	}
	return r.sortRanked(order)
}

// headKey names the head of w's prompt, or w itself where it has no prompt.
func headKey(w *entity.Work, headBlocks int) uint64 {
	if len(w.Prefix) == 0 || headBlocks <= 0 {
		return xxhash.Sum64String(string(w.ID))
	}
	return uint64(w.Prefix[min(headBlocks, len(w.Prefix))-1])
}
