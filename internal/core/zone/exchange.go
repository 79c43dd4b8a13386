package zone

import (
	"fmt"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quota"
)

// remoteZone is the state of another zone's coordinator, from its last exchange.
type remoteZone struct {
	coordinator   entity.InstanceID
	seq           uint64
	configVersion int64
	// behindSince is since when its configuration has been older than the local
	// one.
	behindSince time.Time
}

// exchange returns the message to the coordinator of another zone.
func (c *Core) exchange(at Moment, z entity.ZoneID) Exchange {
	x := Exchange{
		Zone: c.self.Zone, LedgerSeq: c.ledgersOpened, Seq: c.nextSeq(at), ProofAge: c.proofAge(at), ConfigVersion: versionOf(c.state.Config()), NewestVersion: c.newestVersion(),
		Used: c.ledger.ZoneTotals(), Instances: min(c.zoneSize, c.ledger.Members(at.Now)), StoreUptime: c.state.StoreUptime(at.Now), StoreAnswerAge: c.state.StoreAnswerAge(at.Now),
		Departures: c.state.RecentDepartures(at.Now), Quarantine: c.quarantineFor(at.Now, c.remoteCoordinators[z]),
		EndpointLimits: c.limitsFor(at, c.remoteCoordinators[z]), Rollouts: c.rolloutExchange(at, z),
	}
	if r := c.remoteZones[z]; r != nil && r.coordinator == c.remoteCoordinators[z] {
		x.AckSeq = r.seq
		if r.isBehind(at.Now, x.ConfigVersion) {
			x.Config = c.configFor(at.Now, r.coordinator, r.configVersion)
		}
	}
	return x
}

// isBehind reports whether a zone has had an older version for long enough to be
// sent the newer one. It maintains behindSince.
func (r *remoteZone) isBehind(now time.Time, version int64) bool {
	switch {
	case r.configVersion >= version:
		r.behindSince = time.Time{}
	case r.behindSince.IsZero():
		r.behindSince = now
	}
	return r.configVersion < version && now.Sub(r.behindSince) >= catchUpGrace
}

// HandleExchange processes the message of another zone's coordinator.
func (c *Core) HandleExchange(at Moment, from entity.InstanceID, x Exchange) {
	c.recordVersions(at.Now, from, x.ConfigVersion, x.NewestVersion)
	c.mergeQuarantine(at.Now, from, x.Quarantine)
	c.mergeLimits(at, from, x.EndpointLimits)
	c.mergeRollouts(at, from, x.Rollouts)
	if x.Zone == c.self.Zone {
		return
	}
	c.state.RecordPeerStoreUptime(at.Now, x.StoreUptime)
	c.recordStoreAnswer(at.Now, x.StoreAnswerAge, false)
	c.state.RecordDepartures(at.Now, x.Departures)
	r := c.remoteZones[x.Zone]
	if r == nil || r.coordinator != from {
		r = &remoteZone{coordinator: from}
		c.remoteZones[x.Zone] = r
	}
	r.seq, r.configVersion = x.Seq, x.ConfigVersion
	u := Update{From: from}
	u.Config, u.DecodeErr = unpack(x.Config)
	if has := versionOf(c.state.Config()); x.ConfigVersion == has || (x.ConfigVersion > has && u.Config != nil) {
		u.ProvedAt = c.provedAt(x.AckSeq, x.ProofAge)
	}
	c.updates = append(c.updates, u)
	if c.ledger != nil {
		c.ledgerInForce(at.Now).HandleZoneReport(at.Now, quota.Reporter{Name: string(x.Zone), Process: ledgerName(from, x.LedgerSeq), Instances: max(1, x.Instances)}, x.Used)
	}
}

// ledgerName returns a name that distinguishes the ledgers of an instance.
func ledgerName(instance entity.InstanceID, seq int) entity.InstanceID {
	return entity.InstanceID(fmt.Sprintf("%s/%d", instance, seq))
}
