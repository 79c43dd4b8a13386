package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// joinSeeds is how many seeds a new instance asks in one round.
const joinSeeds = 3

// maxProbes bounds the probes under way, above which none is made for others.
const maxProbes = 256

// probe is a Ping that waits for its Ack.
type probe struct {
	target   entity.InstanceID
	seq      uint64
	sent     time.Time
	indirect bool
	// relayTo and relaySeq are set when the probe is made for another instance.
	relayTo  entity.InstanceID
	relaySeq uint64
}

func compareIDs(a, b entity.InstanceID) int { return strings.Compare(string(a), string(b)) }

func compareInstances(a, b entity.Instance) int { return compareIDs(a.ID, b.ID) }

// ProbeFailed says that an exchange with an instance made no progress, or that
// its connection died. The instance is probed at once, through others too.
func (c *Core) ProbeFailed(now time.Time, to entity.InstanceID) {
	r := c.table.byID[to]
	if r == nil || r.Zone != c.zone || r.State != Alive || to == c.self {
		return
	}
	i := slices.IndexFunc(c.probes, func(p probe) bool { return p.target == to && p.relayTo == "" })
	if i < 0 {
		c.startProbe(now, to)
		i = len(c.probes) - 1
	}
	c.probeThroughOthers(i)
}

// probeRound starts the probes of one interval: in turn the successor on the
// ring and a random member; besides, now and then, one that may have come back.
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

// successor returns the next live and unsuspected member on the ring.
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

// randomLive returns a random live instance of a zone other than this one.
func (c *Core) randomLive(zone entity.ZoneID) *row {
	return c.randomRow(zone, func(r *row) bool { return r.live() && r.ID != c.self })
}

// randomRow returns a random row of a zone among those that match.
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

// probeSeeds speaks to instances of the zone that only the platform knows of.
// Once joined, all instances of the zone together do so about once per interval.
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
	ask := 1
	if !c.joined {
		ask = joinSeeds
	}
	for _, in := range c.seeds {
		if !c.unknownSeed(in) {
			continue
		}
		if c.rng.Intn(unknown) < ask {
			ask--
			c.sendSyncAsk(in.ID)
		}
		unknown--
	}
}

func (c *Core) unknownSeed(in entity.Instance) bool {
	return in.Zone == c.zone && c.table.byID[in.ID] == nil
}

// probeDead speaks to an instance believed dead. All instances of the zone
// together do so about once per interval.
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

// probeThroughOthers asks a few other members to probe the target.
func (c *Core) probeThroughOthers(i int) {
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

// acked takes in an Ack, direct or passed on.
func (c *Core) acked(now time.Time, from entity.InstanceID, m Message) {
	c.leave.acked(from, m.Seq)
	if m.Agreed {
		c.linkAgreed(now, from)
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

// expireProbes asks others about probes that are late, and suspects the
// targets of those that no one could answer.
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
			c.probeThroughOthers(i)
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
	// The suspect itself must hear of it first.
	c.send(id, Message{Kind: Ping, Seq: c.nextSeq()})
}

// expireSuspects declares those suspects dead that did not refute in time.
func (c *Core) expireSuspects(now time.Time) {
	for _, r := range c.table.zone(c.zone).rows {
		if r.State == Suspect && now.Sub(r.since) >= c.settings.SuspicionTimeout {
			u := r.Update
			u.State = Dead
			c.merge(now, u, true)
		}
	}
}
