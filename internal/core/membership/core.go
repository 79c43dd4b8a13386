package membership

import (
	"math/rand"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// listPatience is how many times JoinTimeout a new instance waits for the
// platform's list before it takes itself for the zone's only one.
const listPatience = 4

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
	// seeds is the platform's list without this instance, sorted by ID.
	seeds []entity.Instance
	leave leaveNotice
	seq   uint64

	started    time.Time
	lastTick   time.Time
	nextProbe  time.Time
	nextPrune  time.Time
	lastSync   time.Time
	own        digestAge
	probeCount uint64
	joined     bool
	// listedAt is when the platform's list was first taken in.
	listedAt time.Time

	ready     Ready
	view      View
	version   uint64
	viewStale bool
}

// New returns the state of an instance that knows only itself.
func New(s Settings, self entity.Instance, rng *rand.Rand) *Core {
	c := &Core{settings: s, rng: rng, self: self.ID, zone: self.Zone, table: newTable()}
	c.table.insert(Update{
		ID: self.ID, Zone: self.Zone, Region: self.Region, PeerAddress: self.PeerAddress, Leaving: self.Leaving, Capacity: self.Capacity,
	}, time.Time{})
	c.gossip.add(self.ID)
	c.change()
	return c
}

// SetRevision sets the configuration revision that messages announce.
func (c *Core) SetRevision(revision int64) { c.revision = revision }

// NewestRevisionPeer returns the live peer that has announced the newest
// configuration revision, false if none has announced any.
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

// Ready hands out what is to be done and starts a new batch.
func (c *Core) Ready() Ready {
	r := c.ready
	c.ready = Ready{}
	return r
}

// Step takes in a message from another instance.
func (c *Core) Step(now time.Time, from entity.InstanceID, m Message) {
	if from == c.self {
		return
	}
	spreadAll := c.spreadsAll(from, m)
	for i := range m.Updates {
		u := m.Updates[i]
		c.merge(now, u, spreadAll || u.Zone == c.zone)
	}
	c.heard(now, from, m.Revision)
	switch m.Kind {
	case Ping:
		agreed := c.compareDigests(now, from, m.Digests, SyncReply)
		c.send(from, Message{Kind: Ack, Seq: m.Seq, Agreed: agreed})
	case PingRequest:
		c.startRelay(now, from, m)
	case Ack:
		c.acked(now, from, m)
	case Sync:
		c.stepSync(now, from, m)
	}
	c.notice(now, from, m)
}

// SetPlatformList takes in the platform's list. It is a seed for whom to probe.
func (c *Core) SetPlatformList(now time.Time, list []entity.Instance) {
	if c.listedAt.IsZero() {
		c.listedAt = now
	}
	c.seeds = c.seeds[:0]
	for _, in := range list {
		if in.ID != c.self {
			c.seeds = append(c.seeds, in)
		}
	}
	slices.SortFunc(c.seeds, compareInstances)
}

// Tick lets time pass.
func (c *Core) Tick(now time.Time) {
	if c.lastTick.IsZero() {
		c.started = now
		c.nextPrune = now.Add(c.settings.TombstoneTTL / 4)
	} else if now.Sub(c.lastTick) > c.settings.MaxTickGap {
		c.forgive(now)
	}
	c.lastTick = now
	c.expireProbes(now)
	c.expireSuspects(now)
	c.repeatLeave(now)
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
		c.forgetZones(now)
		c.table.prune(now.Add(-c.settings.TombstoneTTL))
	}
}

// isAlone says that no peer has answered though there was time for it. Without
// the platform's list no peer could be asked, so that takes longer.
func (c *Core) isAlone(now time.Time) bool {
	if c.listedAt.IsZero() {
		return now.Sub(c.started) >= listPatience*c.settings.JoinTimeout
	}
	return now.Sub(c.listedAt) >= c.settings.JoinTimeout
}

// forgive restarts all timers after this instance was away itself: what it
// did not hear meanwhile says nothing about its peers.
func (c *Core) forgive(now time.Time) {
	c.probes = c.probes[:0]
	for _, r := range c.table.zone(c.zone).rows {
		if r.State == Suspect {
			r.since = now
		}
	}
	for i := range c.links {
		c.links[i].heard = now
	}
}

// spreadsAll reports whether all rows of a message are to be passed on. Rows
// of other zones that a peer of the own zone sends in a Sync are not: the zone
// has them already, or finds the difference by its digests.
func (c *Core) spreadsAll(from entity.InstanceID, m Message) bool {
	r := c.table.byID[from]
	return m.Kind != Sync || (r != nil && r.Zone != c.zone)
}

// merge takes in one row, and passes it on if it is news and spread is set.
func (c *Core) merge(now time.Time, u Update, spread bool) {
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
	if spread {
		c.gossip.add(u.ID)
	}
	c.change()
}

// refute answers what others say of this instance with a higher incarnation.
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

// setSelf replaces the own row.
func (c *Core) setSelf(now time.Time, u Update) {
	c.table.set(c.table.byID[c.self], u, now)
	c.gossip.add(c.self)
	c.change()
}

// heard notes that an instance itself has spoken.
func (c *Core) heard(now time.Time, from entity.InstanceID, revision int64) {
	r := c.table.byID[from]
	if r == nil {
		return
	}
	r.revision = max(r.revision, revision)
	if r.Zone != c.zone {
		c.linkHeard(now, r.Zone)
	}
}

func (c *Core) change() {
	c.version++
	c.viewStale = true
	c.ready.Changed = true
}

func (c *Core) join() {
	if !c.joined {
		c.joined = true
		c.change()
	}
}

// send queues a message with the updates that ride on it.
func (c *Core) send(to entity.InstanceID, m Message) {
	m.Revision = c.revision
	m.Digest = c.table.digest
	r := c.table.byID[to]
	budget := c.settings.PiggybackBytes
	if r == nil || r.State != Alive || c.table.byID[c.self].Leaving {
		m.Updates = append(m.Updates, c.table.byID[c.self].Update)
	}
	if r != nil && r.State != Alive {
		// The receiver must learn what is believed of it, so that it can refute.
		m.Updates = append(m.Updates, r.Update)
	}
	m.Updates = c.gossip.take(c.table, m.Updates, budget, retransmits(c.table.zone(c.zone).live), to)
	c.ready.Messages = append(c.ready.Messages, Outgoing{To: to, Address: c.address(to), Message: m})
}

// address returns where an instance is reached, empty if it isn't known.
func (c *Core) address(id entity.InstanceID) string {
	if r := c.table.byID[id]; r != nil && r.PeerAddress != "" {
		return r.PeerAddress
	}
	if i, ok := c.findSeed(id); ok {
		return c.seeds[i].PeerAddress
	}
	return ""
}

// listed reports whether the platform's list shows an instance.
func (c *Core) listed(id entity.InstanceID) bool {
	_, ok := c.findSeed(id)
	return ok
}

func (c *Core) findSeed(id entity.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(c.seeds, id, func(in entity.Instance, id entity.InstanceID) int {
		return compareIDs(in.ID, id)
	})
}
