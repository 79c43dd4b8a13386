package membership

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// maxSyncRows bounds the rows of one Sync message.
const maxSyncRows = 64

// differsTolerance is how long digests may differ before rows are compared:
// the time that updates need to reach a zone by riding on probes.
const differsTolerance = 2 * time.Second

// digestAge tells since when a digest has been the same.
type digestAge struct {
	digest uint64
	since  time.Time
}

// settled takes in the digest of now and reports whether it has stood for
// longer than updates take to spread.
func (d *digestAge) settled(now time.Time, digest uint64) bool {
	if d.digest != digest || d.since.IsZero() {
		*d = digestAge{digest: digest, since: now}
	}
	return now.Sub(d.since) >= differsTolerance
}

// notice asks a peer for a comparison when it is unknown, or when the two
// differ and updates have had time to spread. That others agree says nothing:
// there may be two camps.
func (c *Core) notice(now time.Time, from entity.InstanceID, m Message) {
	r := c.table.byID[from]
	if r == nil {
		if m.Kind != Sync {
			c.sendSyncAsk(from)
		}
		return
	}
	if r.Zone != c.zone || m.Kind == Sync {
		return
	}
	if m.Digest == c.table.digest {
		c.gossip.known(c.table)
		return
	}
	peerSettled, ownSettled := r.said.settled(now, m.Digest), c.own.settled(now, c.table.digest)
	wait := c.settings.SyncInterval
	if !peerSettled || !ownSettled {
		wait = c.settings.UnsettledSyncInterval
	}
	if now.Sub(c.lastSync) >= wait {
		c.lastSync = now
		c.sendSyncAsk(from)
	}
}

// sendSyncAsk sends the digests of all zones.
func (c *Core) sendSyncAsk(to entity.InstanceID) {
	m := Message{Kind: Sync, Round: SyncRequest, Updates: []Update{c.table.byID[c.self].Update}}
	for _, z := range c.table.zones {
		m.Digests = append(m.Digests, ZoneDigest{Zone: z.zone, Digest: z.digest})
	}
	c.send(to, m)
}

// stepSync takes in a Sync; its rows are merged already.
func (c *Core) stepSync(now time.Time, from entity.InstanceID, m Message) {
	switch m.Round {
	case SyncRequest:
		if c.compareDigests(now, from, c.withMissing(m.Digests), SyncReply) {
			// The asker waits for an answer, if only to know that it has joined.
			c.send(from, Message{Kind: Sync, Round: SyncReply})
		}
	case SyncReply:
		if r := c.table.byID[from]; r != nil && r.Zone == c.zone {
			c.join()
		}
		if c.compareDigests(now, from, m.Digests, SyncRows) {
			c.linkAgreed(now, from)
		}
	case SyncRows:
	}
}

// withMissing adds the zones that the asker knows nothing of.
func (c *Core) withMissing(digests []ZoneDigest) []ZoneDigest {
	known := make(map[entity.ZoneID]bool, len(digests))
	for _, d := range digests {
		known[d.Zone] = true
	}
	for _, z := range c.table.zones {
		if !known[z.zone] {
			digests = append(digests, ZoneDigest{Zone: z.zone})
		}
	}
	return digests
}

// compareDigests sends the rows of the zones whose digests differ, and reports
// whether there were digests and none did.
func (c *Core) compareDigests(now time.Time, to entity.InstanceID, digests []ZoneDigest, round SyncRound) bool {
	var rows []Update
	var own []ZoneDigest
	for _, d := range digests {
		mine := c.table.zoneDigest(d.Zone)
		if mine == d.Digest {
			continue
		}
		own = append(own, ZoneDigest{Zone: d.Zone, Digest: mine, Age: d.Age})
		rows = append(rows, c.table.zoneRows(d.Zone, rowsSince(now, d.Age))...)
	}
	if len(own) > 0 {
		c.sendRows(to, rows, own, round)
	}
	return len(digests) > 0 && len(own) == 0
}

// rowsSince returns from when on rows are wanted by a peer that asks for the
// given age; all rows if the age isn't one that links ask for.
func rowsSince(now time.Time, age int) time.Time {
	if age <= 0 || time.Duration(age)*time.Second > agreementLimit+agreementMargin {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Second)
}

// sendRows sends rows in parts; the digests go with the last one.
func (c *Core) sendRows(to entity.InstanceID, rows []Update, own []ZoneDigest, round SyncRound) {
	if round == SyncRows && len(rows) == 0 {
		return
	}
	for len(rows) > maxSyncRows {
		c.send(to, Message{Kind: Sync, Round: SyncRows, Updates: rows[:maxSyncRows:maxSyncRows]})
		rows = rows[maxSyncRows:]
	}
	m := Message{Kind: Sync, Round: round, Updates: rows}
	if round == SyncReply {
		m.Digests = own
	}
	c.send(to, m)
}
