package steward

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/placement"
)

// reportResendInterval is the time after which an unchanged report is sent again,
// in case the last message was lost.
const reportResendInterval = time.Minute

// sentReport is the last report of an endpoint that was sent, with its receivers.
type sentReport struct {
	report placement.Report
	to     []entity.InstanceID
	at     time.Time
}

// isCurrent reports whether the same report was sent to the same candidates
// within reportResendInterval.
func (s *sentReport) isCurrent(now time.Time, r *placement.Report, to []entity.InstanceID) bool {
	return now.Sub(s.at) < reportResendInterval && slices.Equal(s.to, to) &&
		slices.Equal(s.report.Ready, r.Ready) && slices.Equal(s.report.Loading, r.Loading) && slices.Equal(s.report.InUse, r.InUse)
}

// ForwardReport sends the report of an endpoint that this instance owns to the
// candidates. An unchanged report is sent again only if the candidates have
// changed or reportResendInterval has passed.
func (s *Steward) ForwardReport(now time.Time, r placement.Report) {
	if last, ok := s.sentReports[r.Endpoint]; ok && last.isCurrent(now, &r, s.orders.candidates) {
		return
	}
	s.sentReports[r.Endpoint] = sentReport{report: r, to: s.orders.candidates, at: now}
	for _, to := range s.orders.candidates {
		s.ready.Reports = append(s.ready.Reports, ReportTo{To: to, Report: r})
	}
}

// HandleReport processes the report of an endpoint of the zone.
func (s *Steward) HandleReport(now time.Time, r placement.Report) {
	s.reports[r.Endpoint] = r
	if s.planner != nil {
		s.planner.HandleReport(now, r)
	}
}

// tickPlanner runs the planner while the order lease is held. A new holder
// starts with a new planner, which adopts the endpoints' reports as the plan.
func (s *Steward) tickPlanner(now time.Time) {
	if !s.orders.held {
		s.planner = nil
		return
	}
	if s.planner == nil {
		s.planner = placement.New(s.settings.Placement)
		s.updatePlanner(now)
	}
	total := s.totalDemand(now)
	slots := s.slotsPerEndpoint()
	for m := range s.state.Models() {
		s.planner.SetDemand(now, m.Name, float64(total[m.Name])/slots)
	}
	s.planner.Tick(now)
	s.ready.Orders = append(s.ready.Orders, s.planner.Ready().Orders...)
}

// updatePlanner gives the planner the configured models and endpoints, and the
// last reports. Only endpoints with a configured memory size for weights are
// planned; on the others the models are fixed by the configuration.
func (s *Steward) updatePlanner(now time.Time) {
	if s.planner == nil {
		return
	}
	s.planner.SetModels(now, s.plannedModels())
	s.planner.SetEndpoints(now, s.plannedEndpoints())
	for _, id := range slices.Sorted(maps.Keys(s.reports)) {
		s.planner.HandleReport(now, s.reports[id])
	}
}

// plannedModels returns the configured models whose weights have a known size.
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

// slotsPerEndpoint returns the mean number of slots of the planned endpoints, or
// 1 if there are none.
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
