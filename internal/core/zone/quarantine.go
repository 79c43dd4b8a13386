package zone

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quarantine"
)

// quarantineFor returns the records that a receiver lacks, nil if none.
func (c *Core) quarantineFor(now time.Time, to entity.InstanceID) *quarantine.State {
	known, lacks := c.quarantineKnown.update(to, c.state.QuarantineVersion(), c.zoneSize)
	if !lacks {
		return nil
	}
	return c.state.QuarantineSince(now, known)
}

// mergeQuarantine adds the records of another instance. They are not sent back to it.
func (c *Core) mergeQuarantine(now time.Time, from entity.InstanceID, s *quarantine.State) {
	if s == nil {
		return
	}
	before := c.state.QuarantineVersion()
	c.state.MergeQuarantine(now, s)
	c.quarantineKnown.advance(from, before, c.state.QuarantineVersion())
}
