package zone

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// The store is read by the coordinator, and by members that receive nothing new from it.
// If the coordinator does answer, but has not read the store for a while, a few members try
// first: the store may be out for all. Once it has answered one of them, all read it.

const (
	// BulletinTimeout is how long a member waits for a bulletin before it reads
	// the store itself.
	BulletinTimeout = time.Second
	// maxReadDelay bounds the additional wait of each member, which differs so
	// that not all members start to read at once. A member must learn within 2 s
	// that an endpoint leaves, also if its coordinator has just been refused by
	// the store: maxReadAge, a report, this delay and a read add up to 1.7 s.
	maxReadDelay = 300 * time.Millisecond
	// maxToldReadDelay replaces maxReadDelay once the store is known to answer: of the 2 s,
	// the members that tried first have used up a part.
	maxToldReadDelay = 100 * time.Millisecond
	// triedFirst is the number of a zone's members that try to read a store that may be
	// out for all, and turnLength the time after which as many others try.
	triedFirst = 4
	turnLength = time.Second
	// answersOthersMargin is by how much the last answer of the store to a member must be
	// newer than that to the coordinator before all members read. While the store is
	// slow, reads take turns that are up to this far apart.
	answersOthersMargin = 900 * time.Millisecond
	// refusalMargin is by how much another instance's last answer from the store
	// must be newer than the coordinator's before the coordinator gives up the
	// role. It exceeds the time between two reads; otherwise coordinators would
	// give up their role in each outage.
	refusalMargin = 1300 * time.Millisecond
	// maxProofAge is the age of the proof of the configuration beyond which members read the store themselves although
	// the coordinator reads discovery: its reads of the configuration may hang, or what it tells may arrive late. A read
	// waits for up to a second and proves what was there at its beginning, so ages of 2 s are usual.
	maxProofAge = 2500 * time.Millisecond
	// catchUpAfter is how long an instance may lack a version that another one has, and make no progress, before it
	// reads the store itself: more than two reports take.
	catchUpAfter = 500 * time.Millisecond
	// maxReadAge is the age of the coordinator's last read of discovery beyond
	// which members read the store themselves: the store may refuse some
	// instances and serve others.
	maxReadAge = 1100 * time.Millisecond
)

// readDelayOf returns an instance's delay, a hash of its id between 0 and
// maxReadDelay.
func readDelayOf(id entity.InstanceID) time.Duration {
	return time.Duration(xxhash.Sum64String(string(id)) % uint64(maxReadDelay))
}

// ReadReason is why an instance reads the store itself.
type ReadReason string

// The reasons.
const (
	// ReadNot: it doesn't read the store.
	ReadNot ReadReason = ""
	// ReadAsCoordinator: it reads for its zone.
	ReadAsCoordinator ReadReason = "coordinator"
	// ReadNoCoordinator: it knows no coordinator, or has never heard from it.
	ReadNoCoordinator ReadReason = "no_coordinator"
	// ReadNoBulletin: the coordinator has been silent for too long.
	ReadNoBulletin ReadReason = "no_bulletin"
	// ReadStale: the coordinator has not read the store for a while.
	ReadStale ReadReason = "stale"
	// ReadLagging: another instance has a newer configuration, and nobody passes it on.
	ReadLagging ReadReason = "lagging"
	// ReadUnproved: the coordinator reads the store, but its proofs of the configuration are old.
	ReadUnproved ReadReason = "unproved"
	// ReadTold: the store answers others, but not the coordinator.
	ReadTold ReadReason = "told"
)

// BeginsAnew reports whether the configuration is to be read from the start and over another connection: a read that
// is under way may never be answered.
func (r ReadReason) BeginsAnew() bool { return r == ReadLagging || r == ReadUnproved }

// ShouldReadStore reports whether this instance should read the store.
func (c *Core) ShouldReadStore(now time.Time) bool { return c.ReadReason(now) != ReadNot }

// ReadReason returns why this instance should read the store, ReadNot if it should not.
func (c *Core) ReadReason(now time.Time) ReadReason {
	switch {
	case c.state.LaggingFor(now) > catchUpAfter+c.readDelay:
		return ReadLagging
	case c.firstReadSuffices(now):
	case c.IsCoordinator():
		if !c.unprovedSince.IsZero() {
			return ReadUnproved
		}
		return ReadAsCoordinator
	case c.coordinator == "", c.lastBulletinAt.IsZero():
		return ReadNoCoordinator
	case now.Sub(c.lastBulletinAt) > BulletinTimeout+c.readDelay:
		return ReadNoBulletin
	case c.staleSince.IsZero():
		if !c.unprovedSince.IsZero() && now.Sub(c.unprovedSince) > c.toldReadDelay() {
			return ReadUnproved
		}
	case !c.answersOthersSince.IsZero():
		if now.Sub(c.answersOthersSince) > c.toldReadDelay() {
			return ReadTold
		}
	case c.triesFirst(now.Sub(c.staleSince)):
		return ReadStale
	}
	return ReadNot
}

// SetReadRank sets this instance's place among the members of its zone, from 0, by which
// they take turns to try the store.
func (c *Core) SetReadRank(rank int) { c.readRank = rank }

// triesFirst reports whether it is this member's turn to try the store, given for how long
// the coordinator's reads have been out of date. In a small zone all members try.
func (c *Core) triesFirst(stale time.Duration) bool {
	groups := c.zoneSize / triedFirst
	if groups <= 1 {
		return stale > c.readDelay
	}
	turn := int(stale / turnLength)
	return c.readRank%groups == turn%groups && stale%turnLength > c.toldReadDelay()
}

// toldReadDelay is readDelay within maxToldReadDelay.
func (c *Core) toldReadDelay() time.Duration { return c.readDelay * maxToldReadDelay / maxReadDelay }

// hasTried reports whether the store has answered this member since its last report,
// although its coordinator has not read it for a while. The coordinator should know.
func (c *Core) hasTried(now time.Time) bool {
	age := c.state.StoreAnswerAge(now)
	return !c.staleSince.IsZero() && c.answersOthersSince.IsZero() && age >= 0 && now.Add(-age).After(c.lastSend)
}

// answersOthers reports whether the store answers members of the zone, but not this
// coordinator.
func (c *Core) answersOthers(now time.Time) bool {
	return c.zoneAnsweredAt.Sub(c.answeredAt(now)) >= answersOthersMargin
}

// answeredAt returns when the store last answered this coordinator, or since when it has
// been coordinator if that is later.
func (c *Core) answeredAt(now time.Time) time.Time {
	age := c.state.StoreAnswerAge(now)
	if age < 0 {
		return c.coordinatorSince
	}
	return latest(c.coordinatorSince, now.Add(-age))
}

// firstReadSuffices reports whether this process, just started, has read the store once and
// can wait for the bulletins of its coordinator. A coordinator that members report to can't.
// When all instances start together, each is its own coordinator until it knows the others,
// and all would go on reading.
func (c *Core) firstReadSuffices(now time.Time) bool {
	if c.startedAt.IsZero() || now.Sub(c.startedAt) >= BulletinTimeout+c.readDelay || c.membersListen {
		return false
	}
	return c.lastBulletinAt.IsZero() && c.state.ReadAge(now) >= 0 && c.state.ProvedAt() != 0
}

// RefusedByStore reports whether the store keeps answering others but not this
// coordinator, so that another instance should take over the role.
func (c *Core) RefusedByStore(now time.Time) bool {
	if c.coordinatorSince.IsZero() {
		return false
	}
	return c.othersAnsweredAt.Sub(c.answeredAt(now)) >= refusalMargin
}

// recordStoreAnswer records when the store last answered another instance, of this zone or
// not.
func (c *Core) recordStoreAnswer(now time.Time, age time.Duration, inZone bool) {
	if age < 0 {
		return
	}
	at := now.Add(-age)
	c.othersAnsweredAt = latest(c.othersAnsweredAt, at)
	if inZone {
		c.zoneAnsweredAt = latest(c.zoneAnsweredAt, at)
	}
}

func latest(x, y time.Time) time.Time {
	if y.After(x) {
		return y
	}
	return x
}

// updateRole maintains startedAt and coordinatorSince.
func (c *Core) updateRole(now time.Time) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	switch {
	case !c.IsCoordinator():
		c.coordinatorSince = time.Time{}
	case c.coordinatorSince.IsZero():
		c.coordinatorSince = now
	}
}

// updateStale maintains staleSince and answersOthersSince, given the age of the
// coordinator's last read and whether the store answers other members.
func (c *Core) updateStale(now time.Time, readAge time.Duration, answersOthers bool) {
	if readAge >= 0 && readAge <= maxReadAge {
		c.staleSince, c.answersOthersSince = time.Time{}, time.Time{}
		return
	}
	if c.staleSince.IsZero() {
		c.staleSince = now
	}
	if answersOthers && c.answersOthersSince.IsZero() {
		c.answersOthersSince = now
	}
}

// checkOwnProof has a coordinator notice that its proof is old although the store answers it.
func (c *Core) checkOwnProof(at Moment) {
	if !c.IsCoordinator() {
		return
	}
	provedAt := c.state.ProvedAt()
	if age := c.state.StoreAnswerAge(at.Now); age < 0 || age > maxReadAge {
		provedAt = 0 // the store is away
	}
	c.updateUnproved(at, provedAt)
}

// updateUnproved maintains unprovedSince, given when the configuration was proved to be the newest, 0 for never.
func (c *Core) updateUnproved(at Moment, provedAt time.Duration) {
	switch {
	case provedAt == 0 || at.Boot-provedAt <= maxProofAge:
		c.unprovedSince = time.Time{}
	case c.unprovedSince.IsZero():
		c.unprovedSince = at.Now
	}
}
