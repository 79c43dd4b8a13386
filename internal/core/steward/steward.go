package steward

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/lease"
	"github.com/medlarhold/medlarhold/internal/core/membership"
	"github.com/medlarhold/medlarhold/internal/core/placement"
	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/platform"
)

// CandidatesPerLease is the number of instances that compete for a lease.
const CandidatesPerLease = 2

// SnapshotLease names the lease for configuration snapshots, one for the whole fleet.
const SnapshotLease lease.Name = "config-snapshot"

// OrderLease returns the name of the lease for orders to the endpoints of a zone.
func OrderLease(z entity.ZoneID) lease.Name { return lease.Name("orders/" + string(z)) }

// Settings of a Steward.
type Settings struct {
	Self      entity.Instance
	Placement placement.Settings
	// Term and RenewEvery apply to both leases; zero means the defaults of package lease.
	Term, RenewEvery time.Duration
	// DemandInterval is the time between two demand reports to the candidates.
	DemandInterval time.Duration
}

// DefaultSettings returns the default settings for an instance.
func DefaultSettings(self entity.Instance) Settings {
	return Settings{Self: self, DemandInterval: 5 * time.Second}
}

// Steward handles this instance's candidacy for both leases, and plans orders while
// it holds the order lease. It is not safe for concurrent use.
type Steward struct {
	settings         Settings
	view             membership.View
	state            config.State
	orders           *role
	snapshot         *role
	planner          *placement.Planner // nil while the order lease isn't held
	sizes            map[string]int64   // size in bytes by name of the weights
	reports          map[entity.EndpointID]placement.Report
	sentReports      map[entity.EndpointID]sentReport
	demand           map[entity.InstanceID]receivedDemand
	localDemand      map[entity.ModelID]int
	demandSentAt     time.Time
	demandModelsSent int // number of models in the last demand report sent
	ready            Ready
}

// Append is one record to append for a lease. It must not be retried.
type Append struct {
	Lease  lease.Name
	Stream platform.Stream
	Append lease.Append
}

// Read is one read of the log for a lease.
type Read struct {
	Lease lease.Name
	Read  stream.ReadRequest
}

// DemandTo is a demand report to be sent to a candidate.
type DemandTo struct {
	To     entity.InstanceID
	Demand Demand
}

// ReportTo is an endpoint's report to be sent to a candidate.
type ReportTo struct {
	To     entity.InstanceID
	Report placement.Report
}

// Ready is a batch of I/O for the caller to carry out.
type Ready struct {
	Appends []Append
	Reads   []Read
	Orders  []placement.Order
	Demands []DemandTo
	Reports []ReportTo
	// Won and Lost name the leases that this instance has won or lost since the
	// last batch.
	Won, Lost []lease.Name
}

// New returns a Steward that is not a candidate for any lease yet.
func New(s Settings) *Steward {
	return &Steward{
		settings:    s,
		orders:      newRole(OrderLease(s.Self.Zone), s),
		snapshot:    newRole(SnapshotLease, s),
		sizes:       make(map[string]int64),
		reports:     make(map[entity.EndpointID]placement.Report),
		sentReports: make(map[entity.EndpointID]sentReport),
		demand:      make(map[entity.InstanceID]receivedDemand),
	}
}

// SetView sets the view of the members, from which the candidates are selected.
func (s *Steward) SetView(now time.Time, v membership.View) {
	s.view = v
	var zone, all []entity.Instance
	for _, z := range v.Zones {
		if !z.Reachable {
			continue
		}
		for _, m := range z.Members {
			all = append(all, m.Instance)
			if z.Zone == s.settings.Self.Zone {
				zone = append(zone, m.Instance)
			}
		}
	}
	s.orders.setMembers(now, zone)
	s.snapshot.setMembers(now, all)
}

// SetState sets the configuration in force.
func (s *Steward) SetState(now time.Time, st config.State) {
	s.state = st
	s.updatePlanner(now)
}

// SetWeightSize sets the size of weights in bytes, as the weight store reports it.
func (s *Steward) SetWeightSize(now time.Time, weights string, bytes int64) {
	s.sizes[weights] = bytes
	s.updatePlanner(now)
}

// HandleAppendResult processes the result of an append that Ready returned.
func (s *Steward) HandleAppendResult(now time.Time, name lease.Name, id lease.AppendID, st stream.AppendStatus) {
	if r := s.role(name); r != nil && r.lease != nil {
		r.lease.HandleAppendResult(now, id, st)
	}
}

// HandleReadResult processes the result of a read that Ready returned.
func (s *Steward) HandleReadResult(now time.Time, name lease.Name, res platform.ReadResult, err error) {
	r := s.role(name)
	switch {
	case r == nil || r.lease == nil:
	case err != nil:
		r.lease.ReadFailed(now, err)
	default:
		r.lease.ApplyRecords(now, res.Records, res.First, res.Next)
	}
}

// Tick advances time to now: it renews or loses leases, runs the planner and
// sends demand reports that are due.
func (s *Steward) Tick(now time.Time) {
	for _, r := range []*role{s.orders, s.snapshot} {
		r.tick(now, &s.ready)
	}
	s.tickPlanner(now)
	s.sendDemand(now)
}

// Resign gives up both leases before a planned stop. The instance does not
// campaign again.
func (s *Steward) Resign(now time.Time) {
	s.orders.resign(now)
	s.snapshot.resign(now)
}

// MaySendOrder returns the fencing number to send with an order, and whether an
// order may be sent now. If the endpoint doesn't check fencing numbers, a new
// holder must first wait until the orders of earlier holders are over.
func (s *Steward) MaySendOrder(now time.Time, checksFencing bool) (platform.Offset, bool) {
	if s.orders.lease == nil {
		return 0, false
	}
	return s.orders.lease.MaySendOrder(now, checksFencing)
}

// HoldsSnapshotLease reports whether this instance holds the lease for
// configuration snapshots.
func (s *Steward) HoldsSnapshotLease(now time.Time) bool {
	if s.snapshot.lease == nil {
		return false
	}
	_, held := s.snapshot.lease.StillHeld(now)
	return held
}

// Ready returns the current batch and starts a new one.
func (s *Steward) Ready() Ready {
	for _, r := range []*role{s.orders, s.snapshot} {
		r.collect(&s.ready)
	}
	out := s.ready
	s.ready = Ready{}
	return out
}

func (s *Steward) role(name lease.Name) *role {
	switch name {
	case s.orders.name:
		return s.orders
	case s.snapshot.name:
		return s.snapshot
	}
	return nil
}
