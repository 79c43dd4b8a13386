package membership

import "time"

// Settings holds the timing and the bounds of the protocol.
type Settings struct {
	// ProbeInterval is the time between two probes that one instance starts.
	// Each second one goes to its successor on the ring of the zone, so that
	// each instance has one prober that never forgets it.
	ProbeInterval time.Duration
	// PingTimeout is how long a direct probe may take before others are asked.
	PingTimeout time.Duration
	// ProbeTimeout is how long direct and indirect probes may take in all.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect has to refute.
	SuspicionTimeout time.Duration
	// IndirectProbes is how many others are asked to probe.
	IndirectProbes int
	// LinkInterval is the time between two exchanges of a link with its zone.
	LinkInterval time.Duration
	// LinkTimeout is how long a link may go unanswered before it calls its zone unreachable.
	LinkTimeout time.Duration
	// LinksPerZonePair is how many instances of a zone keep the link to another zone.
	LinksPerZonePair int
	// SyncInterval is the least time between two comparisons that one
	// instance asks for because digests differ.
	SyncInterval time.Duration
	// UnsettledSyncInterval is the same while rows keep changing.
	UnsettledSyncInterval time.Duration
	// JoinTimeout is how long a new instance waits for a peer of its zone to
	// answer before it takes itself for the first.
	JoinTimeout time.Duration
	// LeaveRepeat is the time between repeats of an unanswered leave notice.
	LeaveRepeat time.Duration
	// LeaveWindow is how long an unanswered leave notice is repeated.
	LeaveWindow time.Duration
	// MaxTickGap is the time without a Tick after which the instance takes
	// itself, not its peers, to have been away.
	MaxTickGap time.Duration
	// RemoveZoneAfter is how long a zone must be unreachable, and absent from
	// the platform's list, to be forgotten.
	RemoveZoneAfter time.Duration
	// TombstoneTTL is how long a dead instance is remembered.
	TombstoneTTL time.Duration
	// ConfirmDeathAfter is the least time after which a death counts as
	// confirmed; it takes the platform's list as well, see Core.Fleet.
	ConfirmDeathAfter time.Duration
	// PiggybackBytes bounds the updates that ride on one probe or answer.
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
