package membership

import (
	"math/rand"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// listWaitFactor times JoinTimeout is how long a new instance waits for the
// platform list before it assumes that it is the only instance of its zone.
const listWaitFactor = 4

// Core is the membership state of one instance.
type Core struct {
	settings Settings
	rng      *rand.Rand
	self     entity.InstanceID
	zone     entity.ZoneID
	revision int64

	table  *table
	gossip gossip
	probes []probe
	links  []link
	// seeds is the platform list without this instance, sorted by ID.
	seeds []entity.Instance
	leave leaveNotice
	seq   uint64

	started     time.Time
	lastTick    time.Time
	nextProbe   time.Time
	nextPrune   time.Time
	lastSync    time.Time
	localDigest digestAge
	probeCount  uint64
	joined      bool
	// platformListAt is when the first platform list was received.
	platformListAt time.Time

	ready     Ready
	view      View
	version   uint64
	viewStale bool
}

// New returns the state of an instance that knows of no other instance.
func New(s Settings, self entity.Instance, rng *rand.Rand) *Core {
	c := &Core{settings: s, rng: rng, self: self.ID, zone: self.Zone, table: newTable()}
	c.table.insert(Update{
		ID: self.ID, Zone: self.Zone, Region: self.Region, PeerAddress: self.PeerAddress, Leaving: self.Leaving, Capacity: self.Capacity,
	}, time.Time{})
	c.gossip.add(self.ID)
	c.markChanged()
	return c
}

// SetRevision sets the configuration revision announced in every message.
func (c *Core) SetRevision(revision int64) { c.revision = revision }

// NewestRevisionPeer returns the live peer that has announced the newest
// configuration revision, and that revision; false if no peer has announced one.
func (c *Core) NewestRevisionPeer() (entity.Instance, int64, bool) {
	var best *row
	for _, z := range c.table.zones {
		for _, r := range z.rows {
			if r.live() && r.ID != c.self && r.revision > 0 && (best == nil || r.revision > best.revision) {
				best = r
			}
		}
	}
	if best == nil {
		return entity.Instance{}, 0, false
	}
	return memberOf(best).Instance, best.revision, true
}

// Ready returns the pending output and starts a new batch.
func (c *Core) Ready() Ready {
	r := c.ready
	c.ready = Ready{}
	return r
}

// Step processes a message from another instance.
func (c *Core) Step(now time.Time, from entity.InstanceID, m Message) {
	if from == c.self {
		return
	}
	gossipAll := c.gossipsAllRows(from, m)
	for i := range m.Updates {
		u := m.Updates[i]
		c.merge(now, u, gossipAll || u.Zone == c.zone)
	}
	c.recordContact(now, from, m.Revision)
	switch m.Kind {
	case Ping:
		agreed := c.compareDigests(now, from, m.Digests, SyncReply)
		c.send(from, Message{Kind: Ack, Seq: m.Seq, Agreed: agreed})
	case PingRequest:
		c.startRelay(now, from, m)
	case Ack:
		c.handleAck(now, from, m)
	case Sync:
		c.handleSync(now, from, m)
	}
	c.requestSyncIfNeeded(now, from, m)
}

// SetPlatformList sets the platform list. Its instances are candidates to
// contact; being listed does not make an instance live.
func (c *Core) SetPlatformList(now time.Time, list []entity.Instance) {
	if c.platformListAt.IsZero() {
		c.platformListAt = now
	}
	c.seeds = c.seeds[:0]
	for _, in := range list {
		if in.ID != c.self {
			c.seeds = append(c.seeds, in)
		}
	}
	slices.SortFunc(c.seeds, compareInstances)
}

// Tick advances time to now: it expires probes and suspicions, starts the
// probes and link exchanges that are due, and removes expired rows.
func (c *Core) Tick(now time.Time) {
	if c.lastTick.IsZero() {
		c.started = now
		c.nextPrune = now.Add(c.settings.TombstoneTTL / 4)
	} else if now.Sub(c.lastTick) > c.settings.MaxTickGap {
		c.resetTimers(now)
	}
	c.lastTick = now
	c.expireProbes(now)
	c.expireSuspects(now)
	c.sendLeaveNotices(now)
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(c.settings.ProbeInterval)
		c.probeRound(now)
	}
	c.tickLinks(now)
	if !c.joined && c.isAlone(now) {
		c.join()
	}
	if !now.Before(c.nextPrune) {
		c.nextPrune = now.Add(c.settings.TombstoneTTL / 4)
		c.removeUnreachableZones(now)
		c.table.prune(now.Add(-c.settings.TombstoneTTL))
	}
}

// isAlone reports whether this instance has waited long enough for an answer
// from a peer. The wait is longer while no platform list has been received,
// since there was no peer to contact.
func (c *Core) isAlone(now time.Time) bool {
	if c.platformListAt.IsZero() {
		return now.Sub(c.started) >= listWaitFactor*c.settings.JoinTimeout
	}
	return now.Sub(c.platformListAt) >= c.settings.JoinTimeout
}

// resetTimers discards the outstanding probes and restarts the timers of
// suspicions and links after this instance itself was frozen: the lack of
// messages in that time is no evidence about its peers.
func (c *Core) resetTimers(now time.Time) {
	c.probes = c.probes[:0]
	for _, r := range c.table.zone(c.zone).rows {
		if r.State == Suspect {
			r.since = now
		}
	}
	for i := range c.links {
		c.links[i].lastContact = now
	}
}

// gossipsAllRows reports whether all changed rows of a message are gossiped
// further. Rows of remote zones that a peer of the local zone sends in a Sync
// are not: the other members of the local zone have them already, or detect the
// difference by their digests.
func (c *Core) gossipsAllRows(from entity.InstanceID, m Message) bool {
	r := c.table.byID[from]
	return m.Kind != Sync || (r != nil && r.Zone != c.zone)
}

// merge applies one row if it supersedes the known one. An applied row is
// queued for gossip if forward is set.
func (c *Core) merge(now time.Time, u Update, forward bool) {
	if !u.valid() {
		return
	}
	if u.ID == c.self {
		c.refute(now, u)
		return
	}
	r := c.table.byID[u.ID]
	switch {
	case r == nil:
		if len(c.table.byID) >= c.settings.MaxRows {
			return
		}
		c.table.insert(u, now)
	case u.Incarnation < r.Incarnation, u.Incarnation == r.Incarnation && u.State <= r.State:
		return
	default:
		c.table.set(r, u, now)
	}
	if forward {
		c.gossip.add(u.ID)
	}
	c.markChanged()
}

// refute responds to a row about this instance that differs from its own, by
// announcing its own row with a higher incarnation.
func (c *Core) refute(now time.Time, u Update) {
	r := c.table.byID[c.self]
	if u.Incarnation < r.Incarnation || (u.Incarnation == r.Incarnation && u.State == Alive) {
		return
	}
	if u.State == Dead {
		c.ready.Rejoined = true
	}
	own := r.Update
	own.Incarnation = u.Incarnation + 1
	c.setSelf(now, own)
}

// setSelf replaces this instance's row and queues it for gossip.
func (c *Core) setSelf(now time.Time, u Update) {
	c.table.set(c.table.byID[c.self], u, now)
	c.gossip.add(c.self)
	c.markChanged()
}

// recordContact records a message received directly from an instance.
func (c *Core) recordContact(now time.Time, from entity.InstanceID, revision int64) {
	r := c.table.byID[from]
	if r == nil {
		return
	}
	r.revision = max(r.revision, revision)
	if r.Zone != c.zone {
		c.recordLinkContact(now, r.Zone)
	}
}

// markChanged marks the view as changed.
func (c *Core) markChanged() {
	c.version++
	c.viewStale = true
	c.ready.Changed = true
}

func (c *Core) join() {
	if !c.joined {
		c.joined = true
		c.markChanged()
	}
}

// send queues a message, with piggybacked updates.
func (c *Core) send(to entity.InstanceID, m Message) {
	m.Revision = c.revision
	m.Digest = c.table.digest
	r := c.table.byID[to]
	budget := c.settings.PiggybackBytes
	if r == nil || r.State != Alive || c.table.byID[c.self].Leaving {
		m.Updates = append(m.Updates, c.table.byID[c.self].Update)
	}
	if r != nil && r.State != Alive {
		// The receiver must learn its recorded state, so that it can refute it.
		m.Updates = append(m.Updates, r.Update)
	}
	m.Updates = c.gossip.take(c.table, m.Updates, budget, retransmits(c.table.zone(c.zone).live), to)
	c.ready.Messages = append(c.ready.Messages, Outgoing{To: to, Address: c.address(to), Message: m})
}

// address returns the peer address of an instance, empty if unknown.
func (c *Core) address(id entity.InstanceID) string {
	if r := c.table.byID[id]; r != nil && r.PeerAddress != "" {
		return r.PeerAddress
	}
	if i, ok := c.findSeed(id); ok {
		return c.seeds[i].PeerAddress
	}
	return ""
}

// inPlatformList reports whether the platform list contains an instance.
func (c *Core) inPlatformList(id entity.InstanceID) bool {
	_, ok := c.findSeed(id)
	return ok
}

func (c *Core) findSeed(id entity.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(c.seeds, id, func(in entity.Instance, id entity.InstanceID) int {
		return compareIDs(in.ID, id)
	})
}
