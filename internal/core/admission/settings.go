package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/prefix"
)

// TickInterval is the longest time between two calls of Tick.
const TickInterval = 20 * time.Millisecond

// NoFloor is the Floor of a Refusal that promises nothing.
const NoFloor = entity.Tier(1 << 20)

const (
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Minute
	// lastChance is how long before its time runs out queued work is given back,
	// so that its entry can still ask elsewhere.
	lastChance = 500 * time.Millisecond
	// hardQueueFactor bounds the queue, as a multiple of its limit, where work
	// may not be shed for lack of proof.
	hardQueueFactor = 4
)

// Settings of an Owner.
type Settings struct {
	// Tiers is the number of tiers; lower ranks count as the last.
	Tiers int
	// QueuePerEndpoint bounds a pool's queue, per endpoint owned.
	QueuePerEndpoint int
	// FloorFor is how long the promise of a Refusal holds.
	FloorFor time.Duration
	// RestrictedFor is how long a gained endpoint takes only the highest tier: an
	// earlier owner may not know yet that it is none any more, and still give
	// promises. One that is leaving does know; then FloorFor is enough.
	RestrictedFor time.Duration
	// Zone is the own availability zone. ForeignQuietFor is QuietFor for the
	// endpoints of others: their zone may have members that are not known yet.
	Zone                entity.ZoneID
	RemoteRestrictedFor time.Duration
	// MaxPrefillBacklog bounds the estimated time that an engine is still busy with
	// prompts when it is granted another one.
	MaxPrefillBacklog time.Duration
	// SettleFor is how long an endpoint must have been owned before its owner
	// proves anything by it: until then an earlier owner, or entries that still
	// ask it, may run work there that the new one has not heard of.
	SettleFor time.Duration
	// RemoteSettleFor is SettleFor for the endpoints of other zones: members of
	// theirs that the platform's list doesn't show yet may own them as well.
	RemoteSettleFor time.Duration
	// MaxTickGap is the time without a step after which the owner takes itself
	// to have been away, and its endpoints as if it had come to own them anew.
	MaxTickGap time.Duration
	// OrphanTimeout is how long past its estimated end a slot stays taken whose
	// entry instance is gone.
	OrphanTimeout time.Duration
	// PrefixBlocks bounds the prefix index, per endpoint.
	PrefixBlocks int
	// NewEvictor makes the eviction policy of a prefix index.
	NewEvictor func(blocks int) prefix.Evictor
	// ImportTokensPerSec is the rate at which KV cache moves between engines;
	// zero turns imports off. ImportLatency is the fixed cost of one.
	ImportTokensPerSec float64
	ImportLatency      time.Duration
}

// DefaultSettings returns the settings used where none are given.
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
