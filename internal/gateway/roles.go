package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/membership"
	"github.com/medlarhold/medlarhold/internal/core/ownership"
	"github.com/medlarhold/medlarhold/internal/core/reserve"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// coordinatorRole is the key by which the coordinator of a zone is elected.
const coordinatorRole = "coordinator"

// memberCounts are the numbers of reachable members, of the local zone and of all.
type memberCounts struct{ zone, all int }

// updateMembers applies a changed membership view: it updates the peer addresses,
// discards the state of members that have left, and assigns the roles again.
func (c *control) updateMembers(now time.Time) {
	before := c.addresses
	c.view = c.members.View()
	c.addresses = make(map[entity.InstanceID]string, len(before))
	members := 0
	for _, z := range c.view.Zones {
		if !z.Reachable {
			continue
		}
		for _, m := range z.Members {
			c.addresses[m.ID] = m.PeerAddress
		}
		members += len(z.Members)
	}
	for id := range before {
		if _, ok := c.addresses[id]; !ok {
			c.elected.EntryLost(now, id)
			c.g.transport.RemovePeer(id)
		}
	}
	c.g.links.setRelays(c.self.ID, &c.view)
	localZone, _ := c.view.Zone(c.self.Zone)
	c.local.SetSlotShare(localShare / float64(max(1, len(localZone.Members))))
	c.g.metrics.Members.Update(int64(len(localZone.Members)))
	c.g.origins.setMembers(now, c.addresses)
	if counts := (memberCounts{zone: len(localZone.Members), all: members}); counts != c.loggedCounts {
		c.loggedCounts = counts
		telemetry.Log(c.g.log, telemetry.EventMembersChanged, "zone_members", counts.zone, "members", counts.all, "version", c.view.Version)
	}
	c.chooseRoles(now)
}

// refresh applies the pools and endpoints in force.
func (c *control) refresh(now time.Time) {
	pools := c.g.brokerPools()
	t := c.g.state.endpoints.Load()
	memory := c.g.engineMemory()
	c.elected.SetMemory(memory)
	c.local.SetMemory(memory)
	c.elected.SetEndpoints(now, pools, t)
	c.local.SetEndpoints(now, pools, t)
	c.chooseRoles(now)
}

// chooseRoles elects the brokers and coordinators from the membership view and the
// pools in force.
func (c *control) chooseRoles(now time.Time) {
	pools := c.g.brokerPools()
	brokers := make(map[entity.PoolID]entity.InstanceID, len(pools))
	byZonePool := make(map[reserve.ZonePool]entity.InstanceID)
	for _, p := range pools {
		for _, z := range c.view.Zones {
			if id := c.brokerOf(z.Zone, p); id != "" {
				byZonePool[reserve.ZonePool{Pool: p, Zone: z.Zone}] = id
			}
		}
		if id, ok := byZonePool[reserve.ZonePool{Pool: p, Zone: c.self.Zone}]; ok {
			brokers[p] = id
		}
	}
	c.logBrokers(brokers)
	before := c.brokers
	c.brokers, c.brokersByZonePool = brokers, byZonePool
	c.setCoordinators()
	c.entry.SetBrokers(now, byZonePool)
	c.handOver(now, before)
}

// handOver forwards the requests that are queued here to the new broker, for each
// pool of which this instance is no longer the broker, and takes over the others.
func (c *control) handOver(now time.Time, before map[entity.PoolID]entity.InstanceID) {
	for p, id := range c.brokers {
		switch {
		case before[p] == c.self.ID && id != c.self.ID:
			c.elected.HandOver(now, p, id)
		case before[p] != c.self.ID && id == c.self.ID:
			c.elected.TakeOver(now, p)
		}
	}
}

// setCoordinators passes the coordinators of all reachable zones to the zone core.
func (c *control) setCoordinators() {
	remote := make(map[entity.ZoneID]entity.InstanceID)
	for _, z := range c.view.Zones {
		if id := c.roleHolder(z.Zone, coordinatorRole); id != "" && z.Zone != c.self.Zone {
			remote[z.Zone] = id
		}
	}
	c.g.quarantine.setTrials(c.coordinatesFirstZone(remote))
	c.g.rollouts.setDecides(c.coordinatesFirstZone(remote))
	c.g.follower.marks.Store(c.coordinatesFirstZone(remote))
	c.setOriginKeepers(remote)
	localZone, _ := c.view.Zone(c.self.Zone)
	local := c.roleHolder(c.self.Zone, coordinatorRole)
	if before := c.g.newest.setCoordinator(local); before != local {
		telemetry.Log(c.g.log, telemetry.EventCoordinatorChanged, "coordinator", local, "before", before, "remote", len(remote), "view", c.view.Version)
	}
	c.zone.SetCoordinators(local, remote, len(localZone.Members))
	c.zone.SetReadRank(slices.IndexFunc(localZone.Members, func(m membership.Member) bool { return m.ID == c.self.ID }))
}

// setOriginKeepers tells which instances keep the origins of streams: the coordinators, that of the
// local zone first, and the one that would follow it last.
func (c *control) setOriginKeepers(remote map[entity.ZoneID]entity.InstanceID) {
	var keepers []originKeeper
	if id := c.roleHolder(c.self.Zone, coordinatorRole); id != "" {
		keepers = append(keepers, originKeeper{id: id, address: c.addresses[id]})
	}
	for _, z := range slices.Sorted(maps.Keys(remote)) {
		keepers = append(keepers, originKeeper{id: remote[z], address: c.addresses[remote[z]]})
	}
	if next := c.roleHolders(c.self.Zone, coordinatorRole, 2); len(next) == 2 {
		keepers = append(keepers, originKeeper{id: next[1], address: c.addresses[next[1]]})
	}
	c.g.origins.setKeepers(keepers, c.coordinatesFirstZone(remote))
}

// coordinatesFirstZone reports whether this instance is the coordinator of the first zone
// by name, given the coordinators of the others. At most one instance is, unless instances
// disagree about the members.
func (c *control) coordinatesFirstZone(remote map[entity.ZoneID]entity.InstanceID) bool {
	for z := range remote {
		if z < c.self.Zone {
			return false
		}
	}
	return c.roleHolder(c.self.Zone, coordinatorRole) == c.self.ID
}

func (c *control) logBrokers(brokers map[entity.PoolID]entity.InstanceID) {
	for p, id := range brokers {
		if c.brokers[p] != id {
			telemetry.Log(c.g.log, telemetry.EventBrokerChanged, "pool", p, "broker", id, "before", c.brokers[p], "view", c.view.Version)
		}
	}
}

// brokerOf returns the member of a zone that grants the slots of a pool's engines in
// that zone, "" if there is none.
func (c *control) brokerOf(in entity.ZoneID, pool entity.PoolID) entity.InstanceID {
	return c.roleHolder(in, "broker/"+string(pool))
}

// minCapacityShare is the capacity that an instance needs for a role, as a share of
// the largest capacity in its zone. The work of a role comes in addition to serving
// the instance's own callers.
const minCapacityShare = 0.5

// eligible returns the candidates that have enough capacity for a role. It reuses
// the slice.
func eligible(candidates []entity.Instance) []entity.Instance {
	largest := 0
	for _, in := range candidates {
		largest = max(largest, in.Capacity)
	}
	return slices.DeleteFunc(candidates, func(in entity.Instance) bool { return float64(in.Capacity) < minCapacityShare*float64(largest) })
}

// roleHolder returns the member of a zone that holds a role: the winner of a
// rendezvous hash among those that are eligible, and neither suspected nor leaving.
// It returns "" if the zone is unreachable or has no such member.
func (c *control) roleHolder(in entity.ZoneID, role string) entity.InstanceID {
	first := c.roleHolders(in, role, 1)
	if len(first) == 0 {
		return ""
	}
	return first[0]
}

// roleHolders returns the first n members by that hash, or all if there are fewer.
func (c *control) roleHolders(in entity.ZoneID, role string, n int) []entity.InstanceID {
	z, ok := c.view.Zone(in)
	if !ok || !z.Reachable {
		return nil
	}
	var candidates []entity.Instance
	for _, m := range z.Members {
		if !m.Suspect && !m.Leaving {
			candidates = append(candidates, m.Instance)
		}
	}
	return ownership.Ranked(eligible(candidates), role, n)
}

// sendFreeSlots reports the free slots of the pools whose broker is this instance to
// the brokers of the other zones.
func (c *control) sendFreeSlots(now time.Time) {
	for _, s := range c.elected.ZoneStates(now) {
		if c.brokers[s.Pool] != c.self.ID {
			continue
		}
		for _, z := range c.view.Zones {
			if z.Zone == c.self.Zone {
				continue
			}
			if to, ok := c.brokersByZonePool[reserve.ZonePool{Pool: s.Pool, Zone: z.Zone}]; ok {
				c.send(to, c.addresses[to], s)
			}
		}
	}
}

// engineMemory returns how many tokens the memory of an engine holds, for the pools that state it.
func (g *Instance) engineMemory() map[entity.PoolID]int {
	out := make(map[entity.PoolID]int)
	if cfg := g.state.config.Load(); cfg != nil {
		for id, p := range cfg.Pools {
			if p.KVTokens > 0 {
				out[id] = p.KVTokens
			}
		}
	}
	return out
}

// brokerPools returns the pools with brokers: those of engines, and those of plain services
// of which an endpoint has stated a limit.
func (g *Instance) brokerPools() []entity.PoolID {
	cfg := g.state.config.Load()
	if cfg == nil {
		return nil
	}
	pools := cfg.PoolsOf(entity.KindEngine)
	endpoints := g.state.endpoints.Load()
	for _, p := range cfg.PoolsOf(entity.KindService) {
		if _, limited := g.limits.split(endpoints.Pool(p)); len(limited) > 0 {
			pools = append(pools, p)
		}
	}
	return pools
}
