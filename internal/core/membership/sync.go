package membership

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// maxSyncRows bounds the rows of one Sync message.
const maxSyncRows = 64

// digestSettleTime is how long a digest must be unchanged before it counts as
// settled: the time that piggybacked updates need to reach the whole zone.
const digestSettleTime = 2 * time.Second

// digestAge records since when a digest has been unchanged.
type digestAge struct {
	digest uint64
	since  time.Time
}

// settled records the current digest and reports whether it has been unchanged
// for digestSettleTime.
func (d *digestAge) settled(now time.Time, digest uint64) bool {
	if d.digest != digest || d.since.IsZero() {
		*d = digestAge{digest: digest, since: now}
	}
	return now.Sub(d.since) >= digestSettleTime
}

// requestSyncIfNeeded sends a SyncRequest to the sender of a message if the
// sender is unknown, or if its digest differs and the last request is long
// enough ago. Agreement with other peers does not replace this comparison: the
// zone may be split into groups that agree only among themselves.
func (c *Core) requestSyncIfNeeded(now time.Time, from entity.InstanceID, m Message) {
	r := c.table.byID[from]
	if r == nil {
		if m.Kind != Sync {
			c.sendSyncRequest(from)
		}
		return
	}
	if r.Zone != c.zone || m.Kind == Sync {
		return
	}
	if m.Digest == c.table.digest {
		c.gossip.countMatchingPeer(c.table)
		return
	}
	peerSettled, ownSettled := r.announcedDigest.settled(now, m.Digest), c.localDigest.settled(now, c.table.digest)
	wait := c.settings.SyncInterval
	if !peerSettled || !ownSettled {
		wait = c.settings.UnsettledSyncInterval
	}
	if now.Sub(c.lastSync) >= wait {
		c.lastSync = now
		c.sendSyncRequest(from)
	}
}

// sendSyncRequest sends a SyncRequest with the digests of all zones.
func (c *Core) sendSyncRequest(to entity.InstanceID) {
	m := Message{Kind: Sync, Round: SyncRequest, Updates: []Update{c.table.byID[c.self].Update}}
	for _, z := range c.table.zones {
		m.Digests = append(m.Digests, ZoneDigest{Zone: z.zone, Digest: z.digest})
	}
	c.send(to, m)
}

// handleSync processes a Sync whose rows are merged already.
func (c *Core) handleSync(now time.Time, from entity.InstanceID, m Message) {
	switch m.Round {
	case SyncRequest:
		if c.compareDigests(now, from, c.withMissingZones(m.Digests), SyncReply) {
			// The requester needs an answer even without rows: it is how a new instance joins.
			c.send(from, Message{Kind: Sync, Round: SyncReply})
		}
	case SyncReply:
		if r := c.table.byID[from]; r != nil && r.Zone == c.zone {
			c.join()
		}
		if c.compareDigests(now, from, m.Digests, SyncRows) {
			c.recordAgreement(now, from)
		}
	case SyncRows:
	}
}

// withMissingZones returns the digests of a SyncRequest, with zero digests
// added for the zones that the requester doesn't know.
func (c *Core) withMissingZones(digests []ZoneDigest) []ZoneDigest {
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
// whether there were digests and none differed.
func (c *Core) compareDigests(now time.Time, to entity.InstanceID, digests []ZoneDigest, round SyncRound) bool {
	var rows []Update
	var differing []ZoneDigest
	for _, d := range digests {
		local := c.table.zoneDigest(d.Zone)
		if local == d.Digest {
			continue
		}
		differing = append(differing, ZoneDigest{Zone: d.Zone, Digest: local, Age: d.Age})
		rows = append(rows, c.table.zoneRows(d.Zone, rowsSince(now, d.Age))...)
	}
	if len(differing) > 0 {
		c.sendRows(to, rows, differing, round)
	}
	return len(digests) > 0 && len(differing) == 0
}

// rowsSince returns the time from which on changed rows are sent to a peer that
// requested the given age in seconds. For an age that no link requests it
// returns the zero time, which means all rows.
func rowsSince(now time.Time, age int) time.Time {
	if age <= 0 || time.Duration(age)*time.Second > agreementLimit+agreementMargin {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Second)
}

// sendRows sends rows in messages of at most maxSyncRows. The digests go with
// the last message of a SyncReply.
func (c *Core) sendRows(to entity.InstanceID, rows []Update, digests []ZoneDigest, round SyncRound) {
	if round == SyncRows && len(rows) == 0 {
		return
	}
	for len(rows) > maxSyncRows {
		c.send(to, Message{Kind: Sync, Round: SyncRows, Updates: rows[:maxSyncRows:maxSyncRows]})
		rows = rows[maxSyncRows:]
	}
	m := Message{Kind: Sync, Round: round, Updates: rows}
	if round == SyncReply {
		m.Digests = digests
	}
	c.send(to, m)
}
