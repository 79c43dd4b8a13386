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

// CandidatesPerLease is how many instances take part in a lease.
const CandidatesPerLease = 2

// SnapshotLease is the one lease for snapshots of the configuration.
const SnapshotLease lease.Name = "config-snapshot"

// OrderLease names the lease for orders to the endpoints of a zone.
func OrderLease(z entity.ZoneID) lease.Name { return lease.Name("orders/" + string(z)) }

// Settings of a Steward.
type Settings struct {
	Self      entity.Instance
	Placement placement.Settings
	// Term and RenewEvery of both leases; zero means the defaults.
	Term, RenewEvery time.Duration
	// DemandInterval is the time between two reports of demand to the candidates.
	DemandInterval time.Duration
}

// DefaultSettings returns the settings of an instance where none are given.
func DefaultSettings(self entity.Instance) Settings {
	return Settings{Self: self, DemandInterval: 5 * time.Second}
}

// Steward is one instance's part in the jobs.
type Steward struct {
	settings Settings
	view     membership.View
	state    config.State
	orders   *role
	snapshot *role
	planner  *placement.Planner // nil while the order lease isn't held
	sizes    map[string]int64   // of weights, in bytes
	reports  map[entity.EndpointID]placement.Report
	told     map[entity.EndpointID]told
	demand   map[entity.InstanceID]received
	own      map[entity.ModelID]int
	sentAt   time.Time
	sent     int // models in the last report of demand
	ready    Ready
}

// Append is one record to append for a lease, once.
type Append struct {
	Lease  lease.Name
	Stream platform.Stream
	Append lease.Append
}

// Read is one read to make for a lease.
type Read struct {
	Lease lease.Name
	Read  stream.ReadRequest
}

// DemandTo is a report of demand for a candidate.
type DemandTo struct {
	To     entity.InstanceID
	Demand Demand
}

// ReportTo is what an endpoint holds, for a candidate.
type ReportTo struct {
	To     entity.InstanceID
	Report placement.Report
}

// Ready is a batch of what is to be carried out.
type Ready struct {
	Appends []Append
	Reads   []Read
	Orders  []placement.Order
	Demands []DemandTo
	Reports []ReportTo
	// Won and Lost name leases whose holding changed.
	Won, Lost []lease.Name
}

// New returns a Steward that takes part in nothing yet.
func New(s Settings) *Steward {
	return &Steward{
		settings: s,
		orders:   newRole(OrderLease(s.Self.Zone), s),
		snapshot: newRole(SnapshotLease, s),
		sizes:    make(map[string]int64),
		reports:  make(map[entity.EndpointID]placement.Report),
		told:     make(map[entity.EndpointID]told),
		demand:   make(map[entity.InstanceID]received),
	}
}

// SetView takes a changed view of the members in.
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

// SetState takes the configuration in force in.
func (s *Steward) SetState(now time.Time, st config.State) {
	s.state = st
	s.plan(now)
}

// SetWeightSize takes in the size of weights, as the weight store tells it.
func (s *Steward) SetWeightSize(now time.Time, weights string, bytes int64) {
	s.sizes[weights] = bytes
	s.plan(now)
}

// AppendResult reports how an append ended.
func (s *Steward) AppendResult(now time.Time, name lease.Name, id lease.AppendID, st stream.AppendStatus) {
	if r := s.role(name); r != nil && r.lease != nil {
		r.lease.AppendResult(now, id, st)
	}
}

// ReadResult reports how a read ended.
func (s *Steward) ReadResult(now time.Time, name lease.Name, res platform.ReadResult, err error) {
	r := s.role(name)
	switch {
	case r == nil || r.lease == nil:
	case err != nil:
		r.lease.ReadFailed(now, err)
	default:
		r.lease.ApplyRecords(now, res.Records, res.First, res.Next)
	}
}

// Tick lets time pass.
func (s *Steward) Tick(now time.Time) {
	for _, r := range []*role{s.orders, s.snapshot} {
		r.tick(now, &s.ready)
	}
	s.tickPlanner(now)
	s.sendDemand(now)
}

// Resign gives both leases up, before a planned stop.
func (s *Steward) Resign(now time.Time) {
	s.orders.resign(now)
	s.snapshot.resign(now)
}

// MaySendOrder returns the fencing number if an order may be written now.
func (s *Steward) MaySendOrder(now time.Time, checksFencing bool) (platform.Offset, bool) {
	if s.orders.lease == nil {
		return 0, false
	}
	return s.orders.lease.MayWrite(now, checksFencing)
}

// HoldsSnapshotLease says whether this instance appends snapshots now.
func (s *Steward) HoldsSnapshotLease(now time.Time) bool {
	if s.snapshot.lease == nil {
		return false
	}
	_, held := s.snapshot.lease.StillHeld(now)
	return held
}

// Ready returns what is to be carried out, and clears the batch.
func (s *Steward) Ready() Ready {
	for _, r := range []*role{s.orders, s.snapshot} {
		r.drain(&s.ready)
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
