package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// link is this instance's state of exchanging rows with a remote zone.
type link struct {
	zone entity.ZoneID
	// active is set while this instance is one of the local zone's links to the zone.
	active bool
	// lastContact is when a message from the zone last arrived.
	lastContact time.Time
	// next is when the next exchange is due.
	next time.Time
	// agreedAt is when an instance of the zone last had the same digests of both zones as this one.
	agreedAt time.Time
	// unreachableSince is when the zone became unreachable, zero while it is reachable.
	unreachableSince time.Time
}

// A link requests the rows that changed since the two zones last agreed, plus
// agreementMargin to allow for messages in flight. If the last agreement is
// older than agreementLimit, it requests all rows.
const (
	agreementMargin = 2 * time.Second
	agreementLimit  = 10 * time.Second
)

// linkState returns the link to a zone; it inserts one if there is none, in
// sorted order of zones.
func (c *Core) linkState(zone entity.ZoneID) *link {
	i, ok := slices.BinarySearchFunc(c.links, zone, func(l link, z entity.ZoneID) int { return cmp.Compare(l.zone, z) })
	if !ok {
		c.links = slices.Insert(c.links, i, link{zone: zone})
	}
	return &c.links[i]
}

func (c *Core) recordLinkContact(now time.Time, zone entity.ZoneID) {
	c.linkState(zone).lastContact = now
}

// recordAgreement records that an instance of a remote zone has the same rows.
func (c *Core) recordAgreement(now time.Time, from entity.InstanceID) {
	if r := c.table.byID[from]; r != nil && r.Zone != c.zone {
		c.linkState(r.Zone).agreedAt = now
	}
}

// age returns the maximum age of the rows to request, in seconds; zero requests
// all rows.
func (l *link) age(now time.Time) int {
	d := now.Sub(l.agreedAt)
	if d > agreementLimit {
		return 0
	}
	return int((d + agreementMargin) / time.Second)
}

// linkScore returns the rendezvous hash of an instance for a zone. The
// instances with the highest scores are the links to the zone.
func linkScore(r *row, zone uint64) uint64 {
	v := r.ring ^ zone
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// isLink reports whether a member of the local zone is a link to a remote zone.
// Leaving members are links only while there are too few others.
func (c *Core) isLink(r *row, zone entity.ZoneID) bool {
	h := xxhash.Sum64String(string(zone))
	own, better := linkScore(r, h), 0
	for _, o := range c.table.zone(c.zone).rows {
		switch {
		case !o.live() || o == r:
		case o.Leaving != r.Leaving && r.Leaving, o.Leaving == r.Leaving && linkScore(o, h) > own:
			better++
		}
	}
	return better < c.settings.LinksPerZonePair
}

// reachable reports whether a link of the local zone reaches the given zone. A
// remote zone is unreachable when all links to it report that.
func (c *Core) reachable(zone entity.ZoneID) bool {
	if zone == c.zone {
		return true
	}
	links := 0
	for _, r := range c.table.zone(c.zone).rows {
		if !r.live() || !c.isLink(r, zone) {
			continue
		}
		links++
		if !slices.Contains(r.Unreachable, zone) {
			return true
		}
	}
	return links == 0
}

// tickLinks starts the exchanges that are due with the zones to which this
// instance is a link, and updates which of them it reports as unreachable.
func (c *Core) tickLinks(now time.Time) {
	self := c.table.byID[c.self]
	for _, zone := range c.remoteZones() {
		l := c.linkState(zone)
		if now.Before(l.next) {
			continue
		}
		l.next = now.Add(c.settings.LinkInterval)
		if !c.isLink(self, zone) {
			l.active = false
			c.setZoneUnreachable(now, zone, false)
			continue
		}
		if !l.active {
			l.active, l.lastContact = true, now
		}
		c.setZoneUnreachable(now, zone, now.Sub(l.lastContact) >= c.settings.LinkTimeout)
		c.pingZone(zone, l.age(now))
	}
}

// remoteZones returns the remote zones known from live rows or from the
// platform list.
func (c *Core) remoteZones() []entity.ZoneID {
	var zones []entity.ZoneID
	for _, z := range c.table.zones {
		if z.zone != c.zone && z.live > 0 {
			zones = append(zones, z.zone)
		}
	}
	for _, in := range c.seeds {
		if in.Zone != c.zone && !slices.Contains(zones, in.Zone) {
			zones = append(zones, in.Zone)
		}
	}
	return zones
}

// pingZone sends a Ping with the digests of both zones to an instance of the
// remote zone: a live member, or, one time in four, an instance that only the
// platform list names, if there is one.
func (c *Core) pingZone(zone entity.ZoneID, age int) {
	m := Message{Kind: Ping, Seq: c.nextSeq(), Digests: []ZoneDigest{
		{Zone: c.zone, Digest: c.table.zoneDigest(c.zone), Age: age},
		{Zone: zone, Digest: c.table.zoneDigest(zone), Age: age},
	}}
	r := c.randomLive(zone)
	if seed, ok := c.randomSeed(zone); ok && (r == nil || c.rng.Intn(4) == 0) {
		c.send(seed, m)
		return
	}
	if r != nil {
		c.send(r.ID, m)
	}
}

// randomSeed returns a random instance of a zone that is in the platform list
// but not in the table.
func (c *Core) randomSeed(zone entity.ZoneID) (entity.InstanceID, bool) {
	var unknown []entity.InstanceID
	for _, in := range c.seeds {
		if in.Zone == zone && c.table.byID[in.ID] == nil {
			unknown = append(unknown, in.ID)
		}
	}
	if len(unknown) == 0 {
		return "", false
	}
	return unknown[c.rng.Intn(len(unknown))], true
}

// removeUnreachableZones removes the rows of zones that have been unreachable
// for RemoveZoneAfter and that the platform doesn't list. Without this the rows
// would stay for ever, since no instance of the zone is left to report its deaths.
func (c *Core) removeUnreachableZones(now time.Time) {
	for _, zone := range c.remoteZones() {
		l := c.linkState(zone)
		switch {
		case c.reachable(zone):
			l.unreachableSince = time.Time{}
		case l.unreachableSince.IsZero():
			l.unreachableSince = now
		case now.Sub(l.unreachableSince) >= c.settings.RemoveZoneAfter && !c.zoneInPlatformList(zone):
			c.table.removeZone(zone)
			c.markChanged()
		}
	}
}

func (c *Core) zoneInPlatformList(zone entity.ZoneID) bool {
	return slices.ContainsFunc(c.seeds, func(in entity.Instance) bool { return in.Zone == zone })
}

// setZoneUnreachable sets in this instance's row whether it reports a zone as
// unreachable.
func (c *Core) setZoneUnreachable(now time.Time, zone entity.ZoneID, unreachable bool) {
	own := c.table.byID[c.self].Update
	if slices.Contains(own.Unreachable, zone) == unreachable {
		return
	}
	zones := slices.DeleteFunc(slices.Clone(own.Unreachable), func(z entity.ZoneID) bool { return z == zone })
	if unreachable {
		zones = append(zones, zone)
	}
	own.Unreachable = zones
	own.Incarnation++
	c.setSelf(now, own)
}
