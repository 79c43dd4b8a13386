package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// seedsPerJoinRound is how many instances of the platform list a new instance
// contacts in one probe round.
const seedsPerJoinRound = 3

// maxProbes bounds the outstanding probes: above it, PingRequests of other
// instances are ignored.
const maxProbes = 256

// probe is a Ping whose Ack is outstanding.
type probe struct {
	target   entity.InstanceID
	seq      uint64
	sent     time.Time
	indirect bool
	// relayTo and relaySeq are set when the probe is made on behalf of another
	// instance: its ID and the sequence number of its PingRequest.
	relayTo  entity.InstanceID
	relaySeq uint64
}

func compareIDs(a, b entity.InstanceID) int { return strings.Compare(string(a), string(b)) }

func compareInstances(a, b entity.Instance) int { return compareIDs(a.ID, b.ID) }

// PeerFailed records that an exchange with an instance made no progress or
// that its connection failed. The instance is probed at once, directly and
// indirectly.
func (c *Core) PeerFailed(now time.Time, to entity.InstanceID) {
	r := c.table.byID[to]
	if r == nil || r.Zone != c.zone || r.State != Alive || to == c.self {
		return
	}
	i := slices.IndexFunc(c.probes, func(p probe) bool { return p.target == to && p.relayTo == "" })
	if i < 0 {
		c.startProbe(now, to)
		i = len(c.probes) - 1
	}
	c.probeIndirectly(i)
}

// probeRound starts the probes of one interval: alternately of the successor on
// the ring and of a random member, and at times of instances that are new or
// recorded as dead.
func (c *Core) probeRound(now time.Time) {
	c.probeCount++
	var target *row
	if c.probeCount%2 == 0 {
		target = c.successor()
	} else {
		target = c.randomLive(c.zone)
	}
	if target != nil {
		c.startProbe(now, target.ID)
	}
	c.probeSeeds()
	c.probeDead()
}

// successor returns the next member on the zone's ring that is alive and not
// suspected, nil if there is none.
func (c *Core) successor() *row {
	rows := c.table.zone(c.zone).rows
	self := slices.Index(rows, c.table.byID[c.self])
	for i := 1; i < len(rows); i++ {
		if r := rows[(self+i)%len(rows)]; r.State == Alive {
			return r
		}
	}
	return nil
}

// randomLive returns a random live instance of a zone, never this instance;
// nil if there is none.
func (c *Core) randomLive(zone entity.ZoneID) *row {
	return c.randomRow(zone, func(r *row) bool { return r.live() && r.ID != c.self })
}

// randomRow returns a random row of a zone among those that match, nil if none does.
func (c *Core) randomRow(zone entity.ZoneID, match func(*row) bool) *row {
	rows := c.table.zone(zone).rows
	n := 0
	for _, r := range rows {
		if match(r) {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	k := c.rng.Intn(n)
	for _, r := range rows {
		if !match(r) {
			continue
		}
		if k == 0 {
			return r
		}
		k--
	}
	return nil
}

// probeSeeds sends a SyncRequest to instances of the local zone that are only
// in the platform list. Before the join it contacts up to seedsPerJoinRound of
// them in each round. After the join, the members of the zone together contact
// about one per ProbeInterval.
func (c *Core) probeSeeds() {
	if c.joined && c.rng.Intn(c.table.zone(c.zone).live) > 0 {
		return
	}
	unknown := 0
	for _, in := range c.seeds {
		if c.unknownSeed(in) {
			unknown++
		}
	}
	count := 1
	if !c.joined {
		count = seedsPerJoinRound
	}
	for _, in := range c.seeds {
		if !c.unknownSeed(in) {
			continue
		}
		if c.rng.Intn(unknown) < count {
			count--
			c.sendSyncRequest(in.ID)
		}
		unknown--
	}
}

func (c *Core) unknownSeed(in entity.Instance) bool {
	return in.Zone == c.zone && c.table.byID[in.ID] == nil
}

// probeDead pings an instance recorded as dead, so that one that is running
// again learns of it and can refute. The members of the zone together do so
// about once per ProbeInterval.
func (c *Core) probeDead() {
	if c.rng.Intn(c.table.zone(c.zone).live) > 0 {
		return
	}
	if r := c.randomRow(c.zone, func(r *row) bool { return !r.live() }); r != nil {
		c.send(r.ID, Message{Kind: Ping, Seq: c.nextSeq()})
	}
}

func (c *Core) nextSeq() uint64 {
	c.seq++
	return c.seq
}

func (c *Core) startProbe(now time.Time, target entity.InstanceID) {
	p := probe{target: target, seq: c.nextSeq(), sent: now}
	c.probes = append(c.probes, p)
	c.send(target, Message{Kind: Ping, Seq: p.seq})
}

// startRelay probes the target of a PingRequest on behalf of its sender.
func (c *Core) startRelay(now time.Time, from entity.InstanceID, m Message) {
	if m.Target == c.self {
		c.send(from, Message{Kind: Ack, Seq: m.Seq})
		return
	}
	r := c.table.byID[m.Target]
	if r == nil || r.Zone != c.zone || len(c.probes) >= maxProbes {
		return
	}
	p := probe{target: m.Target, seq: c.nextSeq(), sent: now, relayTo: from, relaySeq: m.Seq}
	c.probes = append(c.probes, p)
	c.send(m.Target, Message{Kind: Ping, Seq: p.seq})
}

// probeIndirectly asks up to IndirectProbes other members to probe the target
// of probe i.
func (c *Core) probeIndirectly(i int) {
	if c.probes[i].indirect {
		return
	}
	c.probes[i].indirect = true
	p := c.probes[i]
	asked := make([]entity.InstanceID, 0, c.settings.IndirectProbes)
	for range c.settings.IndirectProbes {
		r := c.randomRow(c.zone, func(r *row) bool {
			return r.State == Alive && r.ID != c.self && r.ID != p.target && !slices.Contains(asked, r.ID)
		})
		if r == nil {
			return
		}
		asked = append(asked, r.ID)
		c.send(r.ID, Message{Kind: PingRequest, Seq: p.seq, Target: p.target})
	}
}

// handleAck processes an Ack, direct or forwarded.
func (c *Core) handleAck(now time.Time, from entity.InstanceID, m Message) {
	c.leave.recordAck(from, m.Seq)
	if m.Agreed {
		c.recordAgreement(now, from)
	}
	target := from
	if m.Target != "" {
		target = m.Target
	}
	i := slices.IndexFunc(c.probes, func(p probe) bool { return p.seq == m.Seq && p.target == target })
	if i < 0 {
		return
	}
	p := c.probes[i]
	c.probes = slices.Delete(c.probes, i, i+1)
	if p.relayTo != "" {
		c.send(p.relayTo, Message{Kind: Ack, Seq: p.relaySeq, Target: target})
	}
}

// expireProbes starts indirect probes for direct ones that were not answered
// within PingTimeout, and suspects the targets of those that got no answer
// within ProbeTimeout.
func (c *Core) expireProbes(now time.Time) {
	for i := 0; i < len(c.probes); {
		p := c.probes[i]
		if now.Sub(p.sent) >= c.settings.ProbeTimeout {
			c.probes = slices.Delete(c.probes, i, i+1)
			if p.relayTo == "" {
				c.suspect(now, p.target)
			}
			continue
		}
		if p.relayTo == "" && now.Sub(p.sent) >= c.settings.PingTimeout {
			c.probeIndirectly(i)
		}
		i++
	}
}

func (c *Core) suspect(now time.Time, id entity.InstanceID) {
	r := c.table.byID[id]
	if r == nil || r.State != Alive {
		return
	}
	u := r.Update
	u.State = Suspect
	c.merge(now, u, true)
	// Tell the suspect at once, so that it can refute: send adds its row.
	c.send(id, Message{Kind: Ping, Seq: c.nextSeq()})
}

// expireSuspects declares the suspects dead that did not refute within
// SuspicionTimeout.
func (c *Core) expireSuspects(now time.Time) {
	for _, r := range c.table.zone(c.zone).rows {
		if r.State == Suspect && now.Sub(r.since) >= c.settings.SuspicionTimeout {
			u := r.Update
			u.State = Dead
			c.merge(now, u, true)
		}
	}
}
