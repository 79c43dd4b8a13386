package steward

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// demandValidIntervals is the number of report intervals after which a demand
// report that was not renewed is no longer counted.
const demandValidIntervals = 3

// Demand is the message in which an instance reports to the lease candidates how
// many requests per model it has in flight. When no requests are left, the
// instance sends one empty report and then none until it has requests again.
type Demand struct {
	Models []ModelDemand `json:"m,omitempty"`
}

// ModelDemand is the demand for one model.
type ModelDemand struct {
	Model    entity.ModelID `json:"n"`
	InFlight int            `json:"f"`
}

// receivedDemand is the last demand report of an instance.
type receivedDemand struct {
	at     time.Time
	demand Demand
}

// DemandDue reports whether the next Tick sends this instance's demand, in which
// case SetLocalDemand should be called first.
func (s *Steward) DemandDue(now time.Time) bool {
	return now.Sub(s.demandSentAt) >= s.settings.DemandInterval
}

// SetLocalDemand sets how many requests per model this instance has in flight.
func (s *Steward) SetLocalDemand(inFlight map[entity.ModelID]int) { s.localDemand = inFlight }

// HandleDemand processes the demand report of an instance.
func (s *Steward) HandleDemand(now time.Time, from entity.InstanceID, d Demand) {
	s.demand[from] = receivedDemand{at: now, demand: d}
}

// sendDemand sends this instance's demand to the candidates when it is due.
func (s *Steward) sendDemand(now time.Time) {
	if !s.DemandDue(now) {
		return
	}
	s.demandSentAt = now
	d := Demand{}
	for _, m := range slices.Sorted(maps.Keys(s.localDemand)) {
		if n := s.localDemand[m]; n > 0 {
			d.Models = append(d.Models, ModelDemand{Model: m, InFlight: n})
		}
	}
	if len(d.Models) == 0 && s.demandModelsSent == 0 {
		return
	}
	s.demandModelsSent = len(d.Models)
	for _, to := range s.orders.candidates {
		s.ready.Demands = append(s.ready.Demands, DemandTo{To: to, Demand: d})
	}
}

// totalDemand returns the requests in flight per model over all instances and
// discards reports that have expired.
func (s *Steward) totalDemand(now time.Time) map[entity.ModelID]int {
	total := make(map[entity.ModelID]int)
	for id, r := range s.demand {
		if now.Sub(r.at) > demandValidIntervals*s.settings.DemandInterval {
			delete(s.demand, id)
			continue
		}
		for _, m := range r.demand.Models {
			total[m.Model] += m.InFlight
		}
	}
	return total
}
