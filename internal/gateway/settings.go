package gateway

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quota"
)

// Settings of an instance that serves transparent routes.
type Settings struct {
	// Name is the instance's name; its id is this and a part of its own per start.
	Name   string
	Zone   entity.ZoneID
	Region entity.RegionID
	// Callers, Ready, Peers and Metrics are the addresses to listen on, host:port.
	Callers, Ready, Peers, Metrics string
	// Store is the address of the platform's store, host:port.
	Store string
	// SeedAddresses are peer addresses of instances that may be there.
	SeedAddresses []string
	// FirstStart is true when the whole deployment starts for the first time.
	FirstStart bool
	// MaxMemory is what the process may use, in bytes.
	MaxMemory int64
	// Cores is the processor time that the process may use, in cores.
	Cores float64
	// GracePeriod is how long a process lives on after it was told to stop.
	GracePeriod time.Duration
	// RevokeWithin is how long after its removal a key may still be accepted,
	// binding where StrictKeys is set.
	RevokeWithin time.Duration
	StrictKeys   bool
	// RetryRatio is the share of requests, over RetryWindow, that may be sent
	// to an endpoint once more; RetryAllowed is added to it. Both are for the
	// whole deployment.
	RetryRatio   float64
	RetryWindow  time.Duration
	RetryAllowed float64
	// LimitExcessRatio and LimitSlack are by how much an organisation's use over all
	// instances may exceed its limit: a share of it, and an amount.
	LimitExcessRatio, LimitSlack float64
}

// An organisation is lent a part of the tolerance that operators leave for
// what instances can't know of each other. The rest covers that.
const (
	excessShare = 0.2
	slackShare  = 0.25
	// maxBurstIncrease bounds what is lent at once, as a share of the burst.
	maxBurstIncrease = 0.5
)

// effectiveLimit is the effectiveLimit that instances together keep for an organisation.
func (s *Settings) effectiveLimit(o *catalog.Organisation) quota.Limit {
	return quota.Limit{
		Rate:  o.Rate * (1 + excessShare*s.LimitExcessRatio),
		Burst: o.Burst + min(slackShare*s.LimitSlack, maxBurstIncrease*o.Burst),
	}
}
