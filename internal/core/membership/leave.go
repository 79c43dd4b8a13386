package membership

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// leaveNotice is the state of announcing this instance's leave to its zone.
type leaveNotice struct {
	// pending lists the members that have not acknowledged the leave.
	pending []entity.InstanceID
	// firstSeq is the first sequence number used after the leave.
	firstSeq uint64
	// until is when the repeats end.
	until    time.Time
	nextSend time.Time
}

// Leave announces that this instance is stopping. It notifies all live members
// of the zone directly, and repeats this until they acknowledge it or
// LeaveWindow ends.
func (c *Core) Leave(now time.Time) {
	own := c.table.byID[c.self].Update
	if own.Leaving {
		return
	}
	own.Leaving = true
	own.Incarnation++
	c.setSelf(now, own)
	c.leave = leaveNotice{firstSeq: c.seq + 1, until: now.Add(c.settings.LeaveWindow), nextSend: now}
	for _, r := range c.table.zone(c.zone).rows {
		if r.live() && r.ID != c.self {
			c.leave.pending = append(c.leave.pending, r.ID)
		}
	}
	c.sendLeaveNotices(now)
}

// SetCapacity sets and announces the processor time that this instance has for
// roles, in thousandths of a core.
func (c *Core) SetCapacity(now time.Time, capacity int) {
	own := c.table.byID[c.self].Update
	if own.Capacity == capacity {
		return
	}
	own.Capacity = capacity
	own.Incarnation++
	c.setSelf(now, own)
}

// LeaveAcknowledged reports whether every live member of the zone has
// acknowledged the leave. A stopping instance gets no new work after that.
func (c *Core) LeaveAcknowledged() bool {
	return c.table.byID[c.self].Leaving && len(c.leave.pending) == 0
}

// sendLeaveNotices notifies, when due, the members that have not acknowledged
// the leave. The notice is a Ping: while leaving, send adds the instance's own row.
func (c *Core) sendLeaveNotices(now time.Time) {
	if len(c.leave.pending) == 0 || now.Before(c.leave.nextSend) || now.After(c.leave.until) {
		return
	}
	c.leave.nextSend = now.Add(c.settings.LeaveRepeat)
	c.leave.pending = slices.DeleteFunc(c.leave.pending, func(id entity.InstanceID) bool {
		r := c.table.byID[id]
		return r == nil || !r.live()
	})
	for _, id := range c.leave.pending {
		c.send(id, Message{Kind: Ping, Seq: c.nextSeq()})
	}
}

// recordAck records an Ack with the given sequence number. It acknowledges the
// leave only if it answers a Ping that was sent after the leave began.
func (l *leaveNotice) recordAck(from entity.InstanceID, seq uint64) {
	if seq < l.firstSeq {
		return
	}
	l.pending = slices.DeleteFunc(l.pending, func(id entity.InstanceID) bool { return id == from })
}
