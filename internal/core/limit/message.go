package limit

import "github.com/medlarhold/medlarhold/internal/core/entity"

// Limit is what a contract allows an organisation over all instances.
type Limit struct {
	// Rate is in requests per second; Burst is how many may arrive at once.
	Rate  float64
	Burst int
	// Concurrent bounds the requests in flight.
	Concurrent int
}

// Contracts returns the limit of an organisation, and false for an unknown one.
type Contracts func(entity.OrgID) (Limit, bool)

// Demand is a borrower's message to a home: what it needs and what it holds.
type Demand struct {
	// Seq numbers the demands of a borrower.
	Seq uint64 `json:"s"`
	// MembersDigest identifies the members of the zone in the borrower's view.
	MembersDigest uint32 `json:"m"`
	// Complete is set when Orgs lists every share of this home that the borrower holds.
	Complete bool        `json:"c,omitempty"`
	Orgs     []OrgDemand `json:"o,omitempty"`
}

// OrgDemand is the demand for one organisation.
type OrgDemand struct {
	Org entity.OrgID `json:"o"`
	// ShareSeq is the Seq of the newest share that the borrower has applied.
	ShareSeq uint64 `json:"s,omitempty"`
	// Rate is the rate in use or wanted, beyond the base.
	Rate float64 `json:"r,omitempty"`
	// Waiting is how many tokens are wanted for requests that wait for the
	// answer, 0 if none waits.
	Waiting  int `json:"w,omitempty"`
	InFlight int `json:"f,omitempty"`
	// PeakExcess is by how much the recent peak of requests in flight exceeds InFlight.
	PeakExcess int `json:"p,omitempty"`
	// HeldRate and HeldConcurrent are the share in force at the borrower.
	HeldRate       float64 `json:"h,omitempty"`
	HeldConcurrent int     `json:"k,omitempty"`
}

// sanitise clamps values that are out of range.
func (d *OrgDemand) sanitise() {
	d.Rate, d.HeldRate = max(d.Rate, 0), max(d.HeldRate, 0)
	d.Waiting, d.InFlight, d.PeakExcess = bounded(d.Waiting), bounded(d.InFlight), bounded(d.PeakExcess)
	d.HeldConcurrent = bounded(d.HeldConcurrent)
}

// maxCount bounds the counts in messages.
const maxCount = 1 << 30

func bounded(n int) int { return min(max(n, 0), maxCount) }

// sanitise clamps values that are out of range.
func (s *OrgShare) sanitise() {
	s.Rate = max(s.Rate, 0)
	s.Tokens, s.Concurrent = bounded(s.Tokens), bounded(s.Concurrent)
}

// Share is a home's message to a borrower: the shares that it lends.
type Share struct {
	// Seq numbers the shares of a home.
	Seq uint64 `json:"s"`
	// DemandSeq is the Seq of the demand that the share answers, 0 if none. A
	// share that answers none changes the amount but not the lease.
	DemandSeq uint64 `json:"a,omitempty"`
	// RequestComplete asks for a complete demand, because the home does not
	// know what the borrower holds.
	RequestComplete bool       `json:"t,omitempty"`
	Orgs            []OrgShare `json:"o,omitempty"`
}

// OrgShare is the share of one organisation.
type OrgShare struct {
	Org  entity.OrgID `json:"o"`
	Rate float64      `json:"r,omitempty"`
	// Tokens is the number of requests that may be admitted at once, in addition to Rate.
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
	// Answered lists the organisations for which a waiting Admit can now be decided.
	Answered []entity.OrgID
}

// Zone is the part of the membership view that lending depends on.
type Zone struct {
	// Members are the live instances of the local zone.
	Members []entity.Instance
	// FleetSize is the number of instances in all zones that may be admitting
	// requests: live ones, those of unreachable zones, and those that are
	// suspected dead but not confirmed to be. Their part of a contract is not
	// lent to others.
	FleetSize int
}
