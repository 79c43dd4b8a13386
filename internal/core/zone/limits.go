package zone

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/endpointlimit"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// newLimitsFor is how long after a change of an endpoint's limit messages are sent sooner.
const newLimitsFor = time.Second

// limitsFor returns the statements about limits that a receiver lacks, nil if none.
func (c *Core) limitsFor(at Moment, to entity.InstanceID) []endpointlimit.Statement {
	known, lacks := c.limitsKnown.update(to, c.state.EndpointLimitsVersion(), c.zoneSize)
	if !lacks {
		return nil
	}
	return c.state.EndpointLimitsSince(at.Boot, known)
}

// mergeLimits adds the statements of another instance. They are not sent back to it.
func (c *Core) mergeLimits(at Moment, from entity.InstanceID, statements []endpointlimit.Statement) {
	if len(statements) == 0 {
		return
	}
	before := c.state.EndpointLimitsVersion()
	c.state.MergeEndpointLimits(at.Boot, statements)
	c.limitsKnown.advance(from, before, c.state.EndpointLimitsVersion())
}

// hasNewLimits reports whether a limit has just changed that a receiver of this instance's own
// messages lacks.
func (c *Core) hasNewLimits(now time.Time) bool {
	if v := c.state.EndpointLimitsVersion(); v != c.limitsVersion {
		c.limitsVersion, c.limitsChangedAt = v, now
	}
	if c.limitsVersion == 0 || now.Sub(c.limitsChangedAt) > newLimitsFor {
		return false
	}
	if !c.IsCoordinator() {
		return c.limitsKnown[c.coordinator] != c.limitsVersion
	}
	for _, id := range c.remoteCoordinators {
		if c.limitsKnown[id] != c.limitsVersion {
			return true
		}
	}
	return false
}
