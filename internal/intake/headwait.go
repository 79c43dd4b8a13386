package intake

import "time"

const (
	// HeadGrace is how long the head timeout waits for bytes that have arrived and were not read yet:
	// this process may have stood still. maxHeadGraces bounds how often.
	HeadGrace     = 50 * time.Millisecond
	maxHeadGraces = 20
)

// headWait is the wait for the rest of a head that has arrived in part. Either the head becomes complete and the
// request may run, or the connection is refused and it never does.
type headWait struct {
	timer *time.Timer
	// graces counts how often the timer was extended.
	graces int
}

// end ends the wait.
func (w *headWait) end() {
	if w.timer != nil {
		w.timer.Stop()
	}
	*w = headWait{}
}

// startWait begins the wait, if it has not begun. The caller must hold c.mu.
func (c *Conn) startWait() {
	if timeout := c.listener.opts.HeadTimeout; c.wait.timer == nil && timeout != nil {
		c.wait.timer = time.AfterFunc(timeout(), c.headTimedOut)
	}
}

// headTimedOut refuses a request whose head did not arrive in time and closes the connection. A reader may
// be about to pass on what has arrived meanwhile.
func (c *Conn) headTimedOut() {
	if c.refuseLateHead() {
		_ = c.closeSocket() // the error is ignored: it has ended then
	}
}

// refuseLateHead refuses the request unless its head has arrived or is waiting to be read.
func (c *Conn) refuseLateHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &c.wait
	if c.phase != phaseHead || w.timer == nil {
		return false
	}
	if w.graces == 0 || w.graces < maxHeadGraces && (len(c.pending) > 0 || hasUnread(c.Conn)) {
		w.graces++
		w.timer.Reset(HeadGrace)
		return false
	}
	_ = c.refuse(headTooSlow, refusalWriteTimeout)
	return true
}
