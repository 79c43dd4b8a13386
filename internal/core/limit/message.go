package limit

import "github.com/medlarhold/medlarhold/internal/core/entity"

// Limit is what a contract allows an organisation over all instances.
type Limit struct {
	// Rate is in requests a second; Burst is how many may come at once.
	Rate  float64
	Burst int
	// Concurrent bounds the requests in flight.
	Concurrent int
}

// Contracts looks up the limit of an organisation.
type Contracts func(entity.OrgID) (Limit, bool)

// Demand is what a borrower asks of a home.
type Demand struct {
	// Seq numbers the demands of a borrower.
	Seq uint64 `json:"s"`
	// MembersDigest is the digest of the zone's members as the borrower sees them.
	MembersDigest uint32 `json:"m"`
	// Complete says that the borrower holds no share of this home but the listed ones.
	Complete bool        `json:"c,omitempty"`
	Orgs     []OrgDemand `json:"o,omitempty"`
}

// OrgDemand is the demand for one organisation.
type OrgDemand struct {
	Org entity.OrgID `json:"o"`
	// ShareSeq is the number of the newest share that is in force at the borrower.
	ShareSeq uint64 `json:"s,omitempty"`
	// Rate is the rate in use or wanted, beyond the base.
	Rate float64 `json:"r,omitempty"`
	// Waiting is how many requests wait for the answer.
	Waiting  int `json:"w,omitempty"`
	InFlight int `json:"f,omitempty"`
	// PeakExcess is how many more were in flight at the peak of late.
	PeakExcess int `json:"p,omitempty"`
	// HeldRate and HoldConcurrent are the share in force at the borrower.
	HeldRate       float64 `json:"h,omitempty"`
	HeldConcurrent int     `json:"k,omitempty"`
}

// sanitise replaces values that make no sense.
func (d *OrgDemand) sanitise() {
	d.Rate, d.HeldRate = max(d.Rate, 0), max(d.HeldRate, 0)
	d.Waiting, d.InFlight, d.PeakExcess = bounded(d.Waiting), bounded(d.InFlight), bounded(d.PeakExcess)
	d.HeldConcurrent = bounded(d.HeldConcurrent)
}

// maxCount bounds the counts that messages may name.
const maxCount = 1 << 30

func bounded(n int) int { return min(max(n, 0), maxCount) }

// sanitise replaces values that make no sense.
func (s *OrgShare) sanitise() {
	s.Rate = max(s.Rate, 0)
	s.Tokens, s.Concurrent = bounded(s.Tokens), bounded(s.Concurrent)
}

// Share is what a home lends.
type Share struct {
	// Seq numbers the shares of a home.
	Seq uint64 `json:"s"`
	// DemandSeq is the demand that the share answers. A share that answers none
	// changes the amount but not the lease.
	DemandSeq uint64 `json:"a,omitempty"`
	// RequestComplete asks for a complete demand, since the home does not know what the
	// borrower holds.
	RequestComplete bool       `json:"t,omitempty"`
	Orgs            []OrgShare `json:"o,omitempty"`
}

// OrgShare is the share of one organisation.
type OrgShare struct {
	Org  entity.OrgID `json:"o"`
	Rate float64      `json:"r,omitempty"`
	// Tokens may be taken at once, besides what the rate brings.
	Tokens     int `json:"t,omitempty"`
	Concurrent int `json:"k,omitempty"`
}

// Outgoing is a message to be sent; one of Demand and Share is set.
type Outgoing struct {
	To     entity.InstanceID
	Demand *Demand
	Share  *Share
}

// Ready is what is to be done after a step. The caller owns it.
type Ready struct {
	Messages []Outgoing
	// Answered lists organisations for which a waiting Take can now be decided.
	Answered []entity.OrgID
}

// Zone is what lending needs to know of the membership view.
type Zone struct {
	// Members are the live instances of the own zone.
	Members []entity.Instance
	// FleetSize is the number of instances in all zones that may be admitting
	// requests: live ones, those of unreachable zones, and those believed dead
	// whose end is not confirmed. What is theirs is not lent elsewhere.
	FleetSize int
}
