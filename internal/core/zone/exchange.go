package zone

import (
	"fmt"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quota"
)

// otherZone is what was heard of another zone's coordinator.
type otherZone struct {
	from    entity.InstanceID
	number  uint64
	version int64
	// behindSince is since when it has had an older configuration than this one.
	behindSince time.Time
}

// exchange is what the coordinator of another zone is told.
func (c *Core) exchange(at Moment, z entity.ZoneID) Exchange {
	x := Exchange{
		Zone: c.self.Zone, LedgerSeq: c.ledgers, Seq: c.next(at), ProofAge: c.proofAge(at), ConfigVersion: versionOf(c.knows.Config()),
		Used: c.ledger.ZoneTotals(), Instances: c.zoneSize, StoreUptime: c.knows.StoreUptime(at.Now), StoreAnswerAge: c.knows.StoreAnswerAge(at.Now),
	}
	if o := c.exchanged[z]; o != nil && o.from == c.others[z] {
		x.AckSeq = o.number
		if o.isBehind(at.Now, x.ConfigVersion) && c.configs.due(at.Now, o.from, uint64(x.ConfigVersion)) {
			x.Config = c.packed.bytes(c.knows.Config())
		}
	}
	return x
}

// isBehind says that a zone has had an older version for long enough to be sent
// the newer one.
func (o *otherZone) isBehind(now time.Time, version int64) bool {
	switch {
	case o.version >= version:
		o.behindSince = time.Time{}
	case o.behindSince.IsZero():
		o.behindSince = now
	}
	return o.version < version && now.Sub(o.behindSince) >= behindFor
}

// HandleExchange takes in what another zone's coordinator says.
func (c *Core) HandleExchange(at Moment, from entity.InstanceID, x Exchange) {
	if x.Zone == c.self.Zone {
		return
	}
	c.knows.RecordPeerStoreUptime(at.Now, x.StoreUptime)
	c.noteAnswered(at.Now, x.StoreAnswerAge)
	o := c.exchanged[x.Zone]
	if o == nil || o.from != from {
		o = &otherZone{from: from}
		c.exchanged[x.Zone] = o
	}
	o.number, o.version = x.Seq, x.ConfigVersion
	n := Update{From: from}
	n.Config, n.DecodeErr = unpack(x.Config)
	if has := versionOf(c.knows.Config()); x.ConfigVersion == has || (x.ConfigVersion > has && n.Config != nil) {
		n.ProvedAt = c.provedAt(x.AckSeq, x.ProofAge)
	}
	c.news = append(c.news, n)
	if c.ledger != nil {
		c.limited().HandleZoneReport(at.Now, quota.Reporter{Name: string(x.Zone), Process: ledgerName(from, x.LedgerSeq), Instances: max(1, x.Instances)}, x.Used)
	}
}

// ledgerName tells the ledgers of an instance apart.
func ledgerName(of entity.InstanceID, number int) entity.InstanceID {
	return entity.InstanceID(fmt.Sprintf("%s/%d", of, number))
}
