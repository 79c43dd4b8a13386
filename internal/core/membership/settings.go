package membership

import "time"

// Settings holds the timing and the limits of the protocol.
type Settings struct {
	// ProbeInterval is the time between two probes that one instance starts.
	// Every second probe goes to its successor on the ring of the zone, so that
	// each instance is probed regularly by one other, whatever the random
	// choice of targets.
	ProbeInterval time.Duration
	// PingTimeout is how long a direct probe may take before indirect probes start.
	PingTimeout time.Duration
	// ProbeTimeout is how long direct and indirect probes may take in total.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect has to refute.
	SuspicionTimeout time.Duration
	// IndirectProbes is how many other members are asked for an indirect probe.
	IndirectProbes int
	// LinkInterval is the time between two exchanges of a link with its remote zone.
	LinkInterval time.Duration
	// LinkTimeout is the time without a message from a remote zone after which
	// a link reports the zone as unreachable.
	LinkTimeout time.Duration
	// LinksPerZonePair is how many instances of a zone are links to the same
	// remote zone.
	LinksPerZonePair int
	// SyncInterval is the minimum time between two SyncRequests that one
	// instance sends because digests differ.
	SyncInterval time.Duration
	// UnsettledSyncInterval replaces SyncInterval while one of the two digests
	// still changes.
	UnsettledSyncInterval time.Duration
	// JoinTimeout is how long a new instance waits for a peer of its zone to
	// answer before it assumes that it is the first one.
	JoinTimeout time.Duration
	// LeaveRepeat is the time between repeats of an unanswered leave notice.
	LeaveRepeat time.Duration
	// LeaveWindow is how long an unanswered leave notice is repeated.
	LeaveWindow time.Duration
	// MaxTickGap is the time between two Ticks above which the instance
	// concludes that it was frozen itself. It then restarts its timers instead
	// of suspecting the peers whose messages it missed.
	MaxTickGap time.Duration
	// RemoveZoneAfter is how long a zone must be unreachable before its rows
	// are removed; the platform list must also no longer contain it.
	RemoveZoneAfter time.Duration
	// TombstoneTTL is how long the row of a dead instance is kept.
	TombstoneTTL time.Duration
	// ConfirmDeathAfter is the minimum time after which a death counts as
	// confirmed; the instance must also be absent from the platform list, see
	// Core.FleetSize.
	ConfirmDeathAfter time.Duration
	// PiggybackBytes bounds the updates piggybacked on one message.
	PiggybackBytes int
	// MaxRows bounds the table of instances, live and dead.
	MaxRows int
}

// DefaultSettings returns the settings for zones of up to a few dozen instances.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:         500 * time.Millisecond,
		PingTimeout:           300 * time.Millisecond,
		ProbeTimeout:          900 * time.Millisecond,
		SuspicionTimeout:      3 * time.Second,
		IndirectProbes:        3,
		LinkInterval:          time.Second,
		LinkTimeout:           4 * time.Second,
		LinksPerZonePair:      2,
		SyncInterval:          2 * time.Second,
		UnsettledSyncInterval: 8 * time.Second,
		JoinTimeout:           3 * time.Second,
		LeaveRepeat:           300 * time.Millisecond,
		LeaveWindow:           2 * time.Second,
		MaxTickGap:            1500 * time.Millisecond,
		TombstoneTTL:          10 * time.Minute,
		RemoveZoneAfter:       time.Hour,
		ConfirmDeathAfter:     time.Minute,
		PiggybackBytes:        600,
		MaxRows:               4096,
	}
}
