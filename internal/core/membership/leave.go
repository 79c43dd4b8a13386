package membership

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// leaveNotice is a leave that is being told to the zone.
type leaveNotice struct {
	// pending lists the members that have not answered yet.
	pending []entity.InstanceID
	// firstSeq is the first sequence number used after the leave.
	firstSeq uint64
	until    time.Time
	next     time.Time
}

// Leave says that this instance is stopping. All members of the zone are told
// directly, and told again until they answer or LeaveWindow ends.
func (c *Core) Leave(now time.Time) {
	own := c.table.byID[c.self].Update
	if own.Leaving {
		return
	}
	own.Leaving = true
	own.Incarnation++
	c.setSelf(now, own)
	c.leave = leaveNotice{firstSeq: c.seq + 1, until: now.Add(c.settings.LeaveWindow), next: now}
	for _, r := range c.table.zone(c.zone).rows {
		if r.live() && r.ID != c.self {
			c.leave.pending = append(c.leave.pending, r.ID)
		}
	}
	c.repeatLeave(now)
}

// SetCapacity says how much processor time this instance has for roles.
func (c *Core) SetCapacity(now time.Time, capacity int) {
	own := c.table.byID[c.self].Update
	if own.Capacity == capacity {
		return
	}
	own.Capacity = capacity
	own.Incarnation++
	c.setSelf(now, own)
}

// LeaveAcknowledged reports whether every live member of the zone has answered the
// leave notice. A stopping instance takes no more work after that.
func (c *Core) LeaveAcknowledged() bool {
	return c.table.byID[c.self].Leaving && len(c.leave.pending) == 0
}

// repeatLeave tells those that have not answered.
func (c *Core) repeatLeave(now time.Time) {
	if len(c.leave.pending) == 0 || now.Before(c.leave.next) || now.After(c.leave.until) {
		return
	}
	c.leave.next = now.Add(c.settings.LeaveRepeat)
	c.leave.pending = slices.DeleteFunc(c.leave.pending, func(id entity.InstanceID) bool {
		r := c.table.byID[id]
		return r == nil || !r.live()
	})
	for _, id := range c.leave.pending {
		c.send(id, Message{Kind: Ping, Seq: c.nextSeq()})
	}
}

// acked notes that a member has answered a Ping sent after the leave.
func (l *leaveNotice) acked(from entity.InstanceID, seq uint64) {
	if seq < l.firstSeq {
		return
	}
	l.pending = slices.DeleteFunc(l.pending, func(id entity.InstanceID) bool { return id == from })
}
