package zone

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Who reads the store: the coordinator, unless the store refuses it alone, and
// members that have nothing new from it.

const (
	// BulletinTimeout is how long a member waits for a bulletin before it reads the
	// store itself.
	BulletinTimeout = time.Second
	// readSpread is how much longer members wait at most, each for another time,
	// so that not all of them read at once. A member must learn within 2 s that an
	// endpoint leaves, also from a coordinator that the store has just refused:
	// readStale, a report, this and a read add up to 1.7 s.
	readSpread = 300 * time.Millisecond
	// refusedAfter is by how much another instance's last answer from the store
	// must be newer than a coordinator's own before that one gives the role up:
	// more than the time between two reads, or each would do so in an outage.
	refusedAfter = 1300 * time.Millisecond
	// readStale is the age of the coordinator's last read of discovery from
	// which on members read for themselves: the store may refuse some instances
	// and serve others.
	readStale = 1100 * time.Millisecond
)

// lagOf spreads members over the time in which they begin to read.
func lagOf(id entity.InstanceID) time.Duration {
	return time.Duration(xxhash.Sum64String(string(id)) % uint64(readSpread))
}

// ShouldReadStore says whether this instance is to read the store.
func (c *Core) ShouldReadStore(now time.Time) bool {
	switch {
	case c.IsCoordinator(), c.coordinator == "", c.heardAt.IsZero():
		return true
	case now.Sub(c.heardAt) > BulletinTimeout+c.lag:
		return true
	}
	return !c.staleSince.IsZero() && now.Sub(c.staleSince) > c.lag
}

// RefusedByStore says that the store goes on answering others, but not this
// coordinator, so that another one should coordinate.
func (c *Core) RefusedByStore(now time.Time) bool {
	if c.coordinatesSince.IsZero() {
		return false
	}
	answered := c.coordinatesSince
	if ago := c.knows.StoreAnswerAge(now); ago >= 0 && now.Add(-ago).After(answered) {
		answered = now.Add(-ago)
	}
	return c.othersAnswered.Sub(answered) >= refusedAfter
}

// noteAnswered takes in when the store has answered another instance.
func (c *Core) noteAnswered(now time.Time, ago time.Duration) {
	if at := now.Add(-ago); ago >= 0 && at.After(c.othersAnswered) {
		c.othersAnswered = at
	}
}

// noteRole keeps since when this instance coordinates.
func (c *Core) noteRole(now time.Time) {
	switch {
	case !c.IsCoordinator():
		c.coordinatesSince = time.Time{}
	case c.coordinatesSince.IsZero():
		c.coordinatesSince = now
	}
}

// noteStale keeps since when the coordinator's own reads are out of date.
func (c *Core) noteStale(now time.Time, readAge time.Duration) {
	switch stale := readAge < 0 || readAge > readStale; {
	case !stale:
		c.staleSince = time.Time{}
	case c.staleSince.IsZero():
		c.staleSince = now
	}
}
