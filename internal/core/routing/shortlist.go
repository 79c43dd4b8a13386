package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// ring returns the candidates of the local zone, or all candidates if the zone
// has none, in the order of their hashes. It returns nil for a pool that is small
// enough to be ranked as a whole.
func (r *Router) ring(candidates []*candidate) []*candidate {
	if len(candidates) <= r.settings.ShortlistSize {
		return nil
	}
	var onRing []*candidate
	for _, c := range candidates {
		if c.Endpoint.Zone == r.settings.Zone {
			onRing = append(onRing, c)
		}
	}
	if len(onRing) == 0 {
		onRing = slices.Clone(candidates)
	}
	slices.SortFunc(onRing, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	return onRing
}

// shortlist ranks the first ShortlistSize endpoints that could serve w, from the
// hash of w's head onwards on the ring. Requests with the same head thus get the
// same shortlist, and the cost of ranking does not grow with the pool.
func (r *Router) shortlist(now time.Time, p *pool, w *entity.Work) []ranked {
	key := mix(headKey(w, r.settings.HeadBlocks))
	at, _ := slices.BinarySearchFunc(p.ring, key, func(c *candidate, key uint64) int { return cmp.Compare(c.hash, key) })
	order := r.order[:0]
	for i := range p.ring {
		if len(order) == r.settings.ShortlistSize {
			break
		}
		order = r.appendRanked(now, order, p.ring[(at+i)%len(p.ring)], w)
	}
	return r.sortRanked(order)
}

// headKey returns a hash of the head of w's prompt, or of w's ID if it has no prompt.
func headKey(w *entity.Work, headBlocks int) uint64 {
	if len(w.Prefix) == 0 || headBlocks <= 0 {
		return xxhash.Sum64String(string(w.ID))
	}
	return uint64(w.Prefix[min(headBlocks, len(w.Prefix))-1])
}
