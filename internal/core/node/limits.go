package node

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/limit"
	"github.com/medlarhold/medlarhold/internal/core/membership"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// limits holds the contract limits of this instance: what it lends as a home, what it
// has borrowed, and the requests that wait for a share.
type limits struct {
	home     *limit.Home
	borrower *limit.Borrower
	waiting  map[entity.OrgID][]request.Arrival
	retryAt  time.Time
	// zoneSetAt is when home and borrower were last given the zone and the fleet size.
	zoneSetAt time.Time
}

// newLimits returns limits that look up contracts in the configuration returned by
// state.
func newLimits(self entity.InstanceID, state func() config.State) *limits {
	contracts := func(org entity.OrgID) (limit.Limit, bool) {
		c, ok := state().Contract(org)
		if !ok {
			return limit.Limit{}, false
		}
		return limit.Limit{Rate: c.RequestsPerSec, Burst: c.Burst, Concurrent: c.MaxConcurrent}, true
	}
	return &limits{
		home:     limit.NewHome(limit.DefaultSettings(), self, contracts),
		borrower: limit.NewBorrower(limit.DefaultSettings(), contracts),
		waiting:  make(map[entity.OrgID][]request.Arrival),
	}
}

// fleetInterval is the time between two updates of the fleet size, which shrinks when
// the death of an instance is confirmed.
const fleetInterval = 5 * time.Second

// setZone gives the members of the local zone and the fleet size to home and borrower.
func (l *limits) setZone(now time.Time, view membership.View, fleetSize int) {
	l.zoneSetAt = now
	z := limit.Zone{FleetSize: fleetSize}
	for _, zone := range view.Zones {
		if zone.Zone == view.Self.Zone {
			for _, m := range zone.Members {
				z.Members = append(z.Members, m.Instance)
			}
		}
	}
	l.home.SetZone(now, z)
	l.borrower.SetZone(now, z)
}

// admit admits a request under its organisation's contract, refuses it, or has it wait
// for a share.
func (n *Node) admit(now time.Time, a request.Arrival) {
	ok, reason, after := n.limits.borrower.Admit(now, a.Work.Org)
	switch {
	case ok:
		n.retries.Request(a.Work.Pool)
		n.entry.Arrive(now, a)
	case reason == verdict.ReasonNone:
		n.limits.waiting[a.Work.Org] = append(n.limits.waiting[a.Work.Org], a)
		n.limits.retryAt = now.Add(after)
	default:
		n.entry.Reject(now, a, &verdict.Error{Verdict: verdict.NotRun, Reason: reason, RetryAfter: after,
			Message: "the organisation's contract allows no more at the moment"})
	}
}

// decideWaiting decides again on the requests of an organisation that waited for a
// share.
func (n *Node) decideWaiting(now time.Time, org entity.OrgID) {
	waiting := n.limits.waiting[org]
	delete(n.limits.waiting, org)
	for _, a := range waiting {
		n.admit(now, a)
	}
}

// tickLimits advances the limits to now.
func (n *Node) tickLimits(now time.Time) {
	if now.Sub(n.limits.zoneSetAt) >= fleetInterval {
		n.limits.setZone(now, n.view, n.members.FleetSize(now))
	}
	n.limits.home.Tick(now)
	n.limits.borrower.Tick(now)
	if len(n.limits.waiting) > 0 && !now.Before(n.limits.retryAt) {
		for _, org := range sortedKeys(n.limits.waiting) {
			n.decideWaiting(now, org)
		}
	}
}

// flushLimits sends the messages of the limits, and decides on the waiting requests
// whose share was answered.
func (n *Node) flushLimits(now time.Time) {
	for _, r := range []limit.Ready{n.limits.borrower.Ready(), n.limits.home.Ready()} {
		for _, m := range r.Messages {
			if m.Demand != nil {
				n.send(m.To, *m.Demand)
			} else {
				n.send(m.To, *m.Share)
			}
		}
		for _, org := range r.Answered {
			n.decideWaiting(now, org)
		}
	}
}
