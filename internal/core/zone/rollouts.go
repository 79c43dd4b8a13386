package zone

import (
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/rollout"
)

// Members report what they count for roll-outs to their coordinator, which passes the sum on to the
// coordinator of the first zone by name: that one decides. Words about orders go the other way, to
// all coordinators and from there to the members. All words are sent each time: there are few.

// firstZone returns the first zone by name of those with a coordinator.
func (c *Core) firstZone() entity.ZoneID {
	first := c.self.Zone
	for z := range c.remoteCoordinators {
		first = min(first, z)
	}
	return first
}

// mergeRollouts adds what another instance says about roll-outs.
func (c *Core) mergeRollouts(at Moment, from entity.InstanceID, m *rollout.Message) {
	if m != nil {
		c.state.MergeRollouts(at.Boot, from, m)
	}
}

// rolloutExchange returns what the coordinator of another zone is sent.
func (c *Core) rolloutExchange(at Moment, z entity.ZoneID) *rollout.Message {
	m := rollout.Message{Words: c.state.RolloutWords(at.Boot)}
	if z == c.firstZone() {
		m.Counts, m.Traffic = c.state.DrainRollouts(at.Boot)
	}
	return m.OrNil()
}

// rolloutReport returns what the coordinator is sent.
func (c *Core) rolloutReport(at Moment) *rollout.Message {
	var m rollout.Message
	m.Counts, m.Traffic = c.state.DrainRollouts(at.Boot)
	return m.OrNil()
}

// rolloutBulletin returns what members are sent.
func (c *Core) rolloutBulletin(at Moment) *rollout.Message {
	m := rollout.Message{Words: c.state.RolloutWords(at.Boot)}
	return m.OrNil()
}
