package gateway

import (
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/balance"
	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/edge"
)

// services selects the endpoints of plain services for requests. It is safe for
// concurrent use.
type services struct {
	mu    sync.Mutex
	table *balance.Table
	zone  entity.ZoneID
}

// acquire selects one of the candidates for a request, and counts the request as
// running there until the slot is released. It returns false if there is none to select.
func (s *services) acquire(candidates []*catalog.Endpoint, r edge.SlotRequest, avoid []entity.EndpointID) (edge.Slot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.table.Pick(time.Now(), candidates, s.zone, avoid, r.ID)
	if !ok {
		return edge.Slot{}, false
	}
	return edge.Slot{Endpoint: e, Release: func(o edge.Outcome) { s.release(e.ID, o) }}, true
}

// release records the end and the outcome of a request at an endpoint.
func (s *services) release(id entity.EndpointID, o edge.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Done(time.Now(), id, balance.Result{
		Failed: o.Failed, HasLoad: o.Load.HasLoad, Running: o.Load.Running, Waiting: o.Load.Waiting,
		Slowdown: o.Load.Slowdown, Took: o.TimeToFirstByte,
	})
}

// expireBefore discards the statistics of endpoints that were last used before a time.
func (s *services) expireBefore(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RemoveIdle(before)
}
