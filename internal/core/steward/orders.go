package steward

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/placement"
)

// tellAgain is when a report is sent once more that says nothing new.
const tellAgain = time.Minute

// told is the last report of an endpoint that was sent, and to whom.
type told struct {
	report placement.Report
	to     []entity.InstanceID
	at     time.Time
}

// stands says whether a report would say nothing new.
func (t *told) stands(now time.Time, r *placement.Report, to []entity.InstanceID) bool {
	return now.Sub(t.at) < tellAgain && slices.Equal(t.to, to) &&
		slices.Equal(t.report.Ready, r.Ready) && slices.Equal(t.report.Loading, r.Loading) && slices.Equal(t.report.InUse, r.InUse)
}

// ForwardReport passes on what an endpoint that this instance owns says that it holds,
// if that has changed, or the candidates have.
func (s *Steward) ForwardReport(now time.Time, r placement.Report) {
	if t, ok := s.told[r.Endpoint]; ok && t.stands(now, &r, s.orders.candidates) {
		return
	}
	s.told[r.Endpoint] = told{report: r, to: s.orders.candidates, at: now}
	for _, to := range s.orders.candidates {
		s.ready.Reports = append(s.ready.Reports, ReportTo{To: to, Report: r})
	}
}

// HandleReport takes in what an endpoint of the zone says that it holds.
func (s *Steward) HandleReport(now time.Time, r placement.Report) {
	s.reports[r.Endpoint] = r
	if s.planner != nil {
		s.planner.HandleReport(now, r)
	}
}

// tickPlanner runs the planner while the order lease is held. A new holder
// starts with a new one, which adopts what the endpoints report.
func (s *Steward) tickPlanner(now time.Time) {
	if !s.orders.held {
		s.planner = nil
		return
	}
	if s.planner == nil {
		s.planner = placement.New(s.settings.Placement)
		s.plan(now)
	}
	total := s.totalDemand(now)
	slots := s.slotsPerEndpoint()
	for m := range s.state.Models() {
		s.planner.SetDemand(now, m.Name, float64(total[m.Name])/slots)
	}
	s.planner.Tick(now)
	s.ready.Orders = append(s.ready.Orders, s.planner.Ready().Orders...)
}

// plan tells the planner what is configured. Only endpoints with memory for
// weights are planned; the others hold what the configuration says.
func (s *Steward) plan(now time.Time) {
	if s.planner == nil {
		return
	}
	s.planner.SetModels(now, s.plannedModels())
	s.planner.SetEndpoints(now, s.plannedEndpoints())
	for _, id := range slices.Sorted(maps.Keys(s.reports)) {
		s.planner.HandleReport(now, s.reports[id])
	}
}

// plannedModels returns the models whose size is known.
func (s *Steward) plannedModels() []placement.Model {
	var models []placement.Model
	for m := range s.state.Models() {
		bytes, known := s.sizes[m.Weights]
		if !known {
			continue
		}
		models = append(models, placement.Model{ID: m.Name, Version: m.Version, Bytes: bytes, MinCopies: m.MinCopies, Adapters: m.Adapters})
	}
	return models
}

func (s *Steward) plannedEndpoints() []placement.Endpoint {
	var out []placement.Endpoint
	for _, e := range s.state.AllEndpoints() {
		if e.Zone == s.settings.Self.Zone && e.WeightBytes > 0 {
			out = append(out, placement.Endpoint{ID: e.ID, MemoryBytes: e.WeightBytes, Leaving: e.Leaving})
		}
	}
	return out
}

// slotsPerEndpoint is the mean number of slots of the planned endpoints.
func (s *Steward) slotsPerEndpoint() float64 {
	slots, n := 0, 0
	for _, e := range s.state.AllEndpoints() {
		if e.Zone == s.settings.Self.Zone && e.WeightBytes > 0 {
			slots += e.Slots
			n++
		}
	}
	if n == 0 || slots == 0 {
		return 1
	}
	return float64(slots) / float64(n)
}
