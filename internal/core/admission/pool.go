package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// pool is the owner's part of one pool: its endpoints and the queue for them.
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

// eligible calls fn for each endpoint that could serve j, until it returns false.
func (p *pool) eligible(j *job, fn func(*endpoint) bool) {
	for _, e := range p.endpoints {
		if e.couldServe(j) && !fn(e) {
			return
		}
	}
}

// lowest returns the lowest tier that runs on an endpoint that could serve j,
// or -1; settled is false while work may run there that is not known here.
func (p *pool) lowest(now time.Time, j *job) (tier int, settled bool) {
	tier, settled = -1, true
	p.eligible(j, func(e *endpoint) bool {
		tier = max(tier, e.lowest())
		settled = settled && !e.unknown && !now.Before(e.settledAt)
		return true
	})
	return tier, settled
}
