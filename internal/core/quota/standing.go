package quota

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Standing is what decides whether an instance admits a request of an organisation, as of one
// moment: it explains a refusal.
type Standing struct {
	// Limit is the limit in force over all instances.
	Limit Limit
	// Level is this instance's estimate of the bucket's level, Spendable the part of it that
	// this instance may spend, Required what the request needs of it.
	Level, Spendable, Required float64
	// RefillRate is the rate per second at which the bucket refills.
	RefillRate float64
	// Share is this instance's fraction of the use by all reachable instances.
	Share float64
	// Uncounted is what this instance has admitted and the coordinator has not counted yet.
	Uncounted float64
	// AccountsAge is the age of the coordinator's last accounts, negative before the first.
	AccountsAge time.Duration
	// Isolated is set if the accounts are too old to be relied on.
	Isolated bool
}

// Standing returns what decides on a request of the given cost that must leave reserve.
func (m *Meter) Standing(now time.Time, org entity.OrgID, l Limit, cost, reserve float64) Standing {
	a, isolated := m.account(now, org, l), m.isolated(now)
	a.refill(now, isolated, m.instances)
	a.rate.decay(now)
	s := Standing{
		Limit: l, Level: a.level, Required: m.required(now, a, cost, reserve), Spendable: a.spendable(now.Sub(m.lastAccountsAt), isolated),
		RefillRate: min(a.received.RefillRate, l.Rate+l.extraRate()), Share: a.share(), Uncounted: a.total - a.counted, AccountsAge: -1, Isolated: isolated,
	}
	if !m.lastAccountsAt.IsZero() {
		s.AccountsAge = now.Sub(m.lastAccountsAt)
	}
	return s
}
