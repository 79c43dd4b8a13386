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

// notice asks a peer for a comparison when it is unknown, or when the two have
// differed for longer than updates take to spread.
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
		c.differsSince = time.Time{}
		return
	}
	if c.differsSince.IsZero() {
		c.differsSince = now
	}
	if now.Sub(c.differsSince) >= differsTolerance && !now.Before(c.nextSync) {
		c.nextSync = now.Add(c.settings.SyncInterval)
		c.sendSyncAsk(from)
	}
}

// sendSyncAsk sends the digests of all zones.
func (c *Core) sendSyncAsk(to entity.InstanceID) {
	m := Message{Kind: Sync, Round: SyncAsk, Updates: []Update{c.table.byID[c.self].Update}}
	for _, z := range c.table.zones {
		m.Digests = append(m.Digests, ZoneDigest{Zone: z.zone, Digest: z.digest})
	}
	c.send(to, m)
}

// stepSync takes in a Sync; its rows are merged already.
func (c *Core) stepSync(from entity.InstanceID, m Message) {
	switch m.Round {
	case SyncAsk:
		c.compareDigests(from, c.withMissing(m.Digests), SyncAnswer)
	case SyncAnswer:
		if r := c.table.byID[from]; r != nil && r.Zone == c.zone {
			c.join()
		}
		c.compareDigests(from, m.Digests, SyncRows)
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

// compareDigests sends the rows of the zones whose digests differ.
func (c *Core) compareDigests(to entity.InstanceID, digests []ZoneDigest, round SyncRound) {
	if len(digests) == 0 {
		return
	}
	var rows []Update
	var own []ZoneDigest
	for _, d := range digests {
		mine := c.table.zoneDigest(d.Zone)
		if mine == d.Digest {
			continue
		}
		own = append(own, ZoneDigest{Zone: d.Zone, Digest: mine})
		rows = append(rows, c.table.zoneRows(d.Zone)...)
	}
	c.sendRows(to, rows, own, round)
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
	if round == SyncAnswer {
		m.Digests = own
	}
	c.send(to, m)
}
