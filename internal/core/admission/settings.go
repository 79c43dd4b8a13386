package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/prefix"
)

// TickInterval is the maximum time between two calls of Tick.
const TickInterval = 20 * time.Millisecond

// NoFloor is the Floor of a Refusal that guarantees nothing.
const NoFloor = entity.Tier(1 << 20)

const (
	// minRetryAfter and maxRetryAfter bound the RetryAfter of refusals.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Minute
	// retryMargin is how long before its latest feasible start queued work is
	// refused, so that its entry can still try other owners.
	retryMargin = 500 * time.Millisecond
	// hardQueueFactor is the multiple of its limit above which the queue is shed
	// even if lower tiers may still be running.
	hardQueueFactor = 4
)

// Settings of an Owner.
type Settings struct {
	// Tiers is the number of tiers. Work of a tier below the last one counts as work of
	// the last one.
	Tiers int
	// QueuePerEndpoint is the limit of a pool's queue per owned endpoint.
	QueuePerEndpoint int
	// FloorFor is how long the guarantee of a Refusal holds.
	FloorFor time.Duration
	// RestrictedFor is how long a newly gained endpoint is granted to the highest
	// tier only: its previous owner may not know yet that it lost the endpoint,
	// and may still guarantee floors for it. A previous owner that is leaving
	// does know; then FloorFor is enough.
	RestrictedFor time.Duration
	// Zone is the local availability zone. RemoteRestrictedFor is RestrictedFor
	// for the endpoints of remote zones, whose members may not all be known yet.
	Zone                entity.ZoneID
	RemoteRestrictedFor time.Duration
	// MaxPrefillBacklog is the maximum estimated time that an engine still needs
	// for the prompts already granted to it when it is granted another one.
	MaxPrefillBacklog time.Duration
	// SettleFor is how long an endpoint must have been owned before its owner
	// gives guarantees for it: until then a previous owner, and entries that
	// still use that owner, may run work there that the new one does not know.
	SettleFor time.Duration
	// RemoteSettleFor is SettleFor for the endpoints of remote zones: members of
	// those zones that the platform list does not show yet may own them as well.
	RemoteSettleFor time.Duration
	// MaxTickGap is the time without a step after which the owner assumes that
	// its process was frozen, and treats its endpoints as newly gained.
	MaxTickGap time.Duration
	// OrphanTimeout is how long past the estimated end of its work a slot stays
	// occupied when the entry instance is lost.
	OrphanTimeout time.Duration
	// PrefixBlocks is the maximum size of an endpoint's prefix index, in blocks.
	PrefixBlocks int
	// NewEvictor creates the eviction policy of a prefix index.
	NewEvictor func(blocks int) prefix.Evictor
	// ImportTokensPerSec is the rate at which KV cache is transferred between
	// engines; zero disables imports. ImportLatency is the fixed cost of one.
	ImportTokensPerSec float64
	ImportLatency      time.Duration
}

// DefaultSettings returns the settings of an Owner for which none are given.
func DefaultSettings() Settings {
	return Settings{
		Tiers:               5,
		QueuePerEndpoint:    64,
		FloorFor:            250 * time.Millisecond,
		RestrictedFor:       1500 * time.Millisecond,
		RemoteRestrictedFor: 4 * time.Second,
		MaxPrefillBacklog:   50 * time.Millisecond,
		SettleFor:           3 * time.Second,
		RemoteSettleFor:     7 * time.Second,
		MaxTickGap:          time.Second,
		OrphanTimeout:       5 * time.Second,
		PrefixBlocks:        8192,
		NewEvictor:          func(n int) prefix.Evictor { return prefix.NewLRU(n) },
	}
}
