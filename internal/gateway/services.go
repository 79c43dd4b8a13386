package gateway

import (
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/balance"
	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/edge"
)

// services chooses endpoints of plain services for the goroutines of requests.
type services struct {
	mu    sync.Mutex
	table *balance.Table
	zone  entity.ZoneID
}

func (s *services) acquire(candidates []*catalog.Endpoint, w edge.SlotRequest, avoid []entity.EndpointID) (edge.Slot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.table.Pick(time.Now(), candidates, s.zone, avoid, w.ID)
	if !ok {
		return edge.Slot{}, false
	}
	return edge.Slot{Endpoint: e, Release: func(o edge.Outcome) { s.release(e.ID, o) }}, true
}

func (s *services) release(id entity.EndpointID, o edge.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Done(time.Now(), id, balance.Result{
		Failed: o.Failed, HasLoad: o.Load.HasLoad, Running: o.Load.Running, Waiting: o.Load.Waiting,
	})
}

func (s *services) forget(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RemoveIdle(before)
}
