package gateway

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/ownership"
	"github.com/medlarhold/medlarhold/internal/core/reserve"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// coordinatorRole is the name under which the coordinator of a zone is chosen.
const coordinatorRole = "coordinator"

// membersChanged takes in who is live.
func (c *control) membersChanged(now time.Time) {
	before := c.address
	c.view = c.members.View()
	c.address = make(map[entity.InstanceID]string, len(before))
	members := 0
	for _, z := range c.view.Zones {
		if !z.Reachable {
			continue
		}
		for _, m := range z.Members {
			c.address[m.ID] = m.PeerAddress
		}
		members += len(z.Members)
	}
	for id := range before {
		if _, ok := c.address[id]; !ok {
			c.elected.EntryLost(now, id)
			c.g.transport.Forget(id)
		}
	}
	own, _ := c.view.Zone(c.self.Zone)
	c.local.SetSlotShare(localPart / float64(max(1, len(own.Members))))
	c.g.metrics.Members.Update(int64(len(own.Members)))
	telemetry.Log(c.g.log, telemetry.EventMembersChanged, "zone_members", len(own.Members), "members", members, "version", c.view.Version)
	c.chooseRoles(now)
}

// refresh takes in the pools and endpoints in force.
func (c *control) refresh(now time.Time) {
	pools := c.g.enginePools()
	t := c.g.belief.endpoints.Load()
	c.elected.SetEndpoints(now, pools, t)
	c.local.SetEndpoints(now, pools, t)
	c.chooseRoles(now)
}

// chooseRoles chooses the brokers and coordinators anew.
func (c *control) chooseRoles(now time.Time) {
	pools := c.g.enginePools()
	brokers := make(map[entity.PoolID]entity.InstanceID, len(pools))
	sites := make(map[reserve.ZonePool]entity.InstanceID)
	for _, p := range pools {
		for _, z := range c.view.Zones {
			if id := c.brokerOf(z.Zone, p); id != "" {
				sites[reserve.ZonePool{Pool: p, Zone: z.Zone}] = id
			}
		}
		if id, ok := sites[reserve.ZonePool{Pool: p, Zone: c.self.Zone}]; ok {
			brokers[p] = id
		}
	}
	c.logBrokers(brokers)
	before := c.brokers
	c.brokers, c.sites = brokers, sites
	c.setCoordinators()
	c.entry.SetBrokers(now, sites)
	c.handOver(now, before)
}

// handOver passes on what waits here for pools that another instance grants from now on.
func (c *control) handOver(now time.Time, before map[entity.PoolID]entity.InstanceID) {
	for p, id := range c.brokers {
		if before[p] == c.self.ID && id != c.self.ID {
			c.elected.HandOver(now, p, id)
		}
	}
}

// setCoordinators names the coordinators of all zones in reach.
func (c *control) setCoordinators() {
	others := make(map[entity.ZoneID]entity.InstanceID)
	for _, z := range c.view.Zones {
		if id := c.chosen(z.Zone, coordinatorRole); id != "" && z.Zone != c.self.Zone {
			others[z.Zone] = id
		}
	}
	own, _ := c.view.Zone(c.self.Zone)
	c.zone.SetCoordinators(c.chosen(c.self.Zone, coordinatorRole), others, len(own.Members))
}

func (c *control) logBrokers(brokers map[entity.PoolID]entity.InstanceID) {
	for p, id := range brokers {
		if c.brokers[p] != id {
			telemetry.Log(c.g.log, telemetry.EventBrokerChanged, "pool", p, "broker", id, "before", c.brokers[p], "view", c.view.Version)
		}
	}
}

// brokerOf returns the member of a zone that grants the zone's engines of a pool.
func (c *control) brokerOf(in entity.ZoneID, pool entity.PoolID) entity.InstanceID {
	return c.chosen(in, "broker/"+string(pool))
}

// ableShare is the share of the largest capacity in a zone from which on an
// instance may have a role: a role's work comes on top of its own callers'.
const ableShare = 0.5

// able returns the instances that may have roles.
func able(candidates []entity.Instance) []entity.Instance {
	most := 0
	for _, in := range candidates {
		most = max(most, in.Capacity)
	}
	return slices.DeleteFunc(candidates, func(in entity.Instance) bool { return float64(in.Capacity) < ableShare*float64(most) })
}

// chosen returns the member of a zone that has a role: the winner of a
// rendezvous hash among those that are able, and neither suspected nor leaving.
func (c *control) chosen(in entity.ZoneID, role string) entity.InstanceID {
	z, ok := c.view.Zone(in)
	if !ok || !z.Reachable {
		return ""
	}
	var candidates []entity.Instance
	for _, m := range z.Members {
		if !m.Suspect && !m.Leaving {
			candidates = append(candidates, m.Instance)
		}
	}
	winner := ownership.Ranked(able(candidates), role, 1)
	if len(winner) == 0 {
		return ""
	}
	return winner[0]
}

// tellZones tells the brokers of other zones how many slots are free here.
func (c *control) tellZones(now time.Time) {
	for _, s := range c.elected.ZoneStates(now) {
		if c.brokers[s.Pool] != c.self.ID {
			continue
		}
		for _, z := range c.view.Zones {
			if z.Zone == c.self.Zone {
				continue
			}
			if to, ok := c.sites[reserve.ZonePool{Pool: s.Pool, Zone: z.Zone}]; ok {
				c.send(to, c.address[to], s)
			}
		}
	}
}

// enginePools returns the pools whose slots are granted.
func (g *Instance) enginePools() []entity.PoolID {
	cfg := g.belief.config.Load()
	if cfg == nil {
		return nil
	}
	return cfg.PoolsOf(entity.KindEngine)
}
