package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// link is this instance's part in keeping touch with another zone.
type link struct {
	zone entity.ZoneID
	// active is set while this instance is one of the zone's links.
	active bool
	heard  time.Time
	next   time.Time
	// agreed is when the two zones last had the same rows of each other.
	agreed time.Time
	// lostSince is since when the zone has been unreachable, zero if it isn't.
	lostSince time.Time
}

// A link asks for the rows that changed since the two zones last agreed, and
// agreementMargin before, to allow for messages under way; for all rows when
// that is longer than agreementLimit ago.
const (
	agreementMargin = 2 * time.Second
	agreementLimit  = 10 * time.Second
)

// linkState returns the link to a zone, in sorted order of zones.
func (c *Core) linkState(zone entity.ZoneID) *link {
	i, ok := slices.BinarySearchFunc(c.links, zone, func(l link, z entity.ZoneID) int { return cmp.Compare(l.zone, z) })
	if !ok {
		c.links = slices.Insert(c.links, i, link{zone: zone})
	}
	return &c.links[i]
}

func (c *Core) linkHeard(now time.Time, zone entity.ZoneID) { c.linkState(zone).heard = now }

// linkAgreed notes that an instance of another zone has the same rows.
func (c *Core) linkAgreed(now time.Time, from entity.InstanceID) {
	if r := c.table.byID[from]; r != nil && r.Zone != c.zone {
		c.linkState(r.Zone).agreed = now
	}
}

// age returns the age to ask for, in seconds.
func (l *link) age(now time.Time) int {
	d := now.Sub(l.agreed)
	if d > agreementLimit {
		return 0
	}
	return int((d + agreementMargin) / time.Second)
}

// linkScore ranks an instance as link to a zone; the highest are its links.
func linkScore(r *row, zone uint64) uint64 {
	v := r.ring ^ zone
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// isLink reports whether a member of the own zone is a link to another zone.
// Leaving members are links only when there are too few others.
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

// reachable reports whether a link of the own zone reaches another zone: it
// is unreachable when all links say so.
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

// tickLinks speaks to each zone that this instance keeps the link to.
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
			c.reportZone(now, zone, false)
			continue
		}
		if !l.active {
			l.active, l.heard = true, now
		}
		c.reportZone(now, zone, now.Sub(l.heard) >= c.settings.LinkTimeout)
		c.pingZone(zone, l.age(now))
	}
}

// remoteZones returns the other zones known from rows or from the platform.
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
// other zone: one of its members, or now and then one the platform names.
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

// randomSeed returns an instance of a zone that only the platform knows of.
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

// forgetZones drops the rows of zones that have been out of reach for long and
// that the platform doesn't list: no one is left to say that they are gone.
func (c *Core) forgetZones(now time.Time) {
	for _, zone := range c.remoteZones() {
		l := c.linkState(zone)
		switch {
		case c.reachable(zone):
			l.lostSince = time.Time{}
		case l.lostSince.IsZero():
			l.lostSince = now
		case now.Sub(l.lostSince) >= c.settings.RemoveZoneAfter && !c.zoneListed(zone):
			c.table.dropZone(zone)
			c.change()
		}
	}
}

func (c *Core) zoneListed(zone entity.ZoneID) bool {
	return slices.ContainsFunc(c.seeds, func(in entity.Instance) bool { return in.Zone == zone })
}

// reportZone writes into the own row whether a zone can't be reached.
func (c *Core) reportZone(now time.Time, zone entity.ZoneID, unreachable bool) {
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
