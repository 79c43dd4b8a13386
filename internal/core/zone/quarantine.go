package zone

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quarantine"
)

// Members and coordinators send each other the records of the quarantine that have changed
// since their last message. A message that may not have arrived is followed by all records.

// minKnownReceivers is the number of receivers up to which all are remembered; beyond twice
// the zone's size most have left.
const minKnownReceivers = 64

// quarantineFor returns the records that a receiver lacks, nil if none.
func (c *Core) quarantineFor(now time.Time, to entity.InstanceID) *quarantine.State {
	version, known := c.state.QuarantineVersion(), c.quarantineKnown[to]
	if version == known {
		return nil
	}
	if len(c.quarantineKnown) > max(minKnownReceivers, 2*c.zoneSize) {
		clear(c.quarantineKnown)
	}
	c.quarantineKnown[to] = version
	return c.state.QuarantineSince(now, known)
}

// mergeQuarantine adds the records of another instance. They are not sent back to it.
func (c *Core) mergeQuarantine(now time.Time, from entity.InstanceID, s *quarantine.State) {
	if s == nil {
		return
	}
	before := c.state.QuarantineVersion()
	c.state.MergeQuarantine(now, s)
	if c.quarantineKnown[from] == before {
		c.quarantineKnown[from] = c.state.QuarantineVersion()
	}
}
