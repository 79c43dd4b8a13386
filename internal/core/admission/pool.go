package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// pool holds the owner's endpoints of one pool and the queue for them.
type pool struct {
	id        entity.PoolID
	queue     *queue
	endpoints []*endpoint // sorted by id
}

func (p *pool) sort() {
	slices.SortFunc(p.endpoints, func(a, b *endpoint) int {
		return strings.Compare(string(a.row.ID), string(b.row.ID))
	})
}

// eachEligible calls fn for each endpoint that could serve j, until fn returns
// false.
func (p *pool) eachEligible(j *job, fn func(*endpoint) bool) {
	for _, e := range p.endpoints {
		if e.couldServe(j) && !fn(e) {
			return
		}
	}
}

// lowestTier returns the lowest tier that runs on an endpoint that could serve
// j, or -1 if none does. settled is false while work unknown to the owner may
// run there.
func (p *pool) lowestTier(now time.Time, j *job) (tier int, settled bool) {
	tier, settled = -1, true
	p.eachEligible(j, func(e *endpoint) bool {
		tier = max(tier, e.lowestTier())
		settled = settled && e.unknown.count == 0 && !now.Before(e.settledAt)
		return true
	})
	return tier, settled
}
