package zone

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// VersionLag tracks whether another instance has a newer configuration than the one in force, and for how long
// nothing has been done about it. The zero value knows of no other instance.
type VersionLag struct {
	// Newest is the newest version that another instance is known to have, From the first one known to have it.
	Newest int64
	From   entity.InstanceID
	since  time.Time
}

// Observe processes the version that another instance has, given the one in force here.
func (l *VersionLag) Observe(now time.Time, from entity.InstanceID, version, inForce int64) {
	if version > l.Newest {
		l.Newest, l.From = version, from
	}
	switch {
	case l.Newest <= inForce:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since = now
	}
}

// Applied records that a newer version was put into force.
func (l *VersionLag) Applied(now time.Time, version int64) {
	l.since = time.Time{}
	l.Observe(now, "", 0, version)
}

// For returns for how long the version in force has been too old without becoming newer, 0 if it is not too old.
func (l *VersionLag) For(now time.Time) time.Duration {
	if l.since.IsZero() {
		return 0
	}
	return now.Sub(l.since)
}

// IsBehind reports whether another instance is known to have a newer version.
func (l *VersionLag) IsBehind() bool { return !l.since.IsZero() }
