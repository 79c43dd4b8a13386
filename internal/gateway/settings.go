package gateway

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quota"
	"github.com/medlarhold/medlarhold/internal/core/rollout"
	"github.com/medlarhold/medlarhold/internal/intake"
)

// Settings configures an instance that serves transparent routes.
type Settings struct {
	// Name is the instance's name. Its id consists of the name and a random suffix,
	// which is new for each start.
	Name   string
	Zone   entity.ZoneID
	Region entity.RegionID
	// Callers, Ready, Peers and Metrics are the addresses to listen on, host:port, for
	// requests, readiness checks, other instances and scrapes.
	Callers, Ready, Peers, Metrics string
	// Store is the address of the platform's store, host:port.
	Store string
	// SeedAddresses are peer addresses of instances that may be running.
	SeedAddresses []string
	// FirstStart is set if the whole deployment starts for the first time, so that no
	// organisation has used any of its limit.
	FirstStart bool
	// MaxMemory is the memory that the process may use, in bytes.
	MaxMemory int64
	// MaxDescriptors is the number of descriptors that the process may use, 0 for what its limit allows.
	MaxDescriptors int
	// Cores is the processor time that the process may use, in cores.
	Cores float64
	// GracePeriod is the time that the process has to exit after the stop signal.
	GracePeriod time.Duration
	// ApplyWithin is how long after its acknowledgement a configuration may be unknown to an instance, 0 if that is not
	// bounded.
	ApplyWithin time.Duration
	// RevokeWithin is how long after its removal a key may still be accepted. It is
	// enforced only if StrictKeys is set.
	RevokeWithin time.Duration
	StrictKeys   bool
	// RetryRatio is the share of requests within RetryWindow that may be retried at
	// an endpoint. RetryAllowance is a number of further retries within RetryWindow.
	// Both apply to the whole deployment.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64
	// LimitExcessRatio and LimitSlack set by how much an organisation's usage over all
	// instances may exceed its limit: by a share of the limit, plus a fixed amount.
	LimitExcessRatio, LimitSlack float64
	// Exposure bounds what a bad software version may get during a roll-out. Roll-outs are used only
	// if it is set.
	Exposure rollout.Exposure
	// LimitWindow is the time over which organisations' limits are judged: in no window of
	// this length may more be used than the rate times the window plus the burst. 0 if limits
	// are judged at each moment.
	LimitWindow time.Duration
}

// Budget returns what the instance may use for its clients.
func (s *Settings) Budget() intake.Budget { return intake.NewBudget(s.MaxMemory, s.MaxDescriptors) }

// Instances can't know each other's present usage, so operators tolerate some excess
// over an organisation's limit. A part of that tolerance is added to the limit that
// the instances enforce; the rest covers what they can't know.
const (
	// excessShare is the part of LimitExcessRatio that is added to the rate.
	excessShare = 0.2
	// slackShare is the part of LimitSlack that is added to the burst.
	slackShare = 0.25
	// maxBurstIncrease bounds what is added to the burst, as a share of the burst.
	maxBurstIncrease = 0.5
)

// effectiveLimit returns the limit that the instances together enforce for an
// organisation.
func (s *Settings) effectiveLimit(o *catalog.Organisation) quota.Limit {
	l := quota.Limit{
		Rate:   o.Rate,
		Burst:  o.Burst + min(slackShare*s.LimitSlack, maxBurstIncrease*o.Burst),
		Window: s.LimitWindow,
	}
	if l.Window <= 0 {
		// With a window, the excess is left for what instances can't know of each other.
		l.Rate += excessShare * s.LimitExcessRatio * o.Rate
	}
	return l
}
