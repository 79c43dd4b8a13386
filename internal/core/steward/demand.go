package steward

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// demandFor is how many report intervals a report of demand counts.
const demandFor = 3

// Demand tells the candidates how many requests per model an instance has in
// flight. An instance without any tells it once and is then silent.
type Demand struct {
	Models []ModelDemand `json:"m,omitempty"`
}

// ModelDemand is the demand for one model.
type ModelDemand struct {
	Model    entity.ModelID `json:"n"`
	InFlight int            `json:"f"`
}

// received is the last report of an instance.
type received struct {
	at     time.Time
	demand Demand
}

// DemandDue says whether the next Tick reports this instance's demand, so that
// SetOwn should be called first.
func (s *Steward) DemandDue(now time.Time) bool {
	return now.Sub(s.sentAt) >= s.settings.DemandInterval
}

// SetLocalDemand takes in how many requests per model this instance has in flight.
func (s *Steward) SetLocalDemand(inFlight map[entity.ModelID]int) { s.own = inFlight }

// HandleDemand takes in the report of an instance.
func (s *Steward) HandleDemand(now time.Time, from entity.InstanceID, d Demand) {
	s.demand[from] = received{at: now, demand: d}
}

// sendDemand reports this instance's own demand to the candidates.
func (s *Steward) sendDemand(now time.Time) {
	if !s.DemandDue(now) {
		return
	}
	s.sentAt = now
	d := Demand{}
	for _, m := range slices.Sorted(maps.Keys(s.own)) {
		if n := s.own[m]; n > 0 {
			d.Models = append(d.Models, ModelDemand{Model: m, InFlight: n})
		}
	}
	if len(d.Models) == 0 && s.sent == 0 {
		return
	}
	s.sent = len(d.Models)
	for _, to := range s.orders.candidates {
		s.ready.Demands = append(s.ready.Demands, DemandTo{To: to, Demand: d})
	}
}

// totalDemand returns the requests in flight per model, over all instances.
func (s *Steward) totalDemand(now time.Time) map[entity.ModelID]int {
	total := make(map[entity.ModelID]int)
	for id, r := range s.demand {
		if now.Sub(r.at) > demandFor*s.settings.DemandInterval {
			delete(s.demand, id)
			continue
		}
		for _, m := range r.demand.Models {
			total[m.Model] += m.InFlight
		}
	}
	return total
}
