package broker

import (
	"slices"
	"time"
)

// refuseUnservable refuses requests that will not be served, as early as possible: those that can't
// begin before their deadline, late ones that have waited for LateWaitFraction, and the last of the
// late ones while they exceed LateBacklog.
func (b *Broker) refuseUnservable(now time.Time, p *pool) {
	p.markLate(now)
	if !b.loaded {
		b.refuseUnloaded(now, p)
		return
	}
	var unservable, gone []*job
	for _, j := range p.waiting {
		fastest, ok := p.fastestFirstEvent(j.request.PromptTokens)
		switch {
		case !ok && p.isNew(now):
		case ok && !p.serves(&j.request):
			gone = append(gone, j)
		case !ok || now.Add(fastest).After(j.deadline):
			unservable = append(unservable, j)
		case j.late && now.Sub(j.arrived) > b.lateWait(j):
			unservable = append(unservable, j)
		}
	}
	for _, j := range unservable {
		b.deny(now, p, j, DenyDeadline)
	}
	for _, j := range gone {
		if !b.spill(now, p, j) && !p.isNew(now) {
			b.deny(now, p, j, DenyVersion)
		}
	}
	b.refuseForEntryEnd(now, p)
	b.refuseBeyondLimits(now, p)
	b.refuseStanding(now, p)
	b.refuseBacklog(now, p)
}

// refuseUnloaded refuses the requests that have waited for too long for this broker to learn of any
// endpoint.
func (b *Broker) refuseUnloaded(now time.Time, p *pool) {
	for _, j := range slices.Clone(p.waiting) {
		if now.Sub(j.arrived) >= loadTimeout {
			b.deny(now, p, j, DenyNoEndpoint)
		}
	}
}

// refuseBacklog refuses late requests that the engines can't serve within LateBacklog, all of them if
// no engine can serve now.
func (b *Broker) refuseBacklog(now time.Time, p *pool) {
	if len(p.waiting) == 0 || !p.waiting[len(p.waiting)-1].late {
		return // late requests are last
	}
	c := p.capacity(now, b.settings.SlotShare)
	var wait time.Duration
	var excess []*job
	for j := range p.grantOrder(now) {
		wait += c.serveTime(p.occupancy(j))
		if j.late && (wait > b.lateBacklog(now, p, j) || c.size() == 0) {
			excess = append(excess, j)
		}
	}
	reason := DenyOverload
	if c.allLimited {
		reason = DenyLimit
	}
	for _, j := range excess {
		b.deny(now, p, j, reason)
	}
}

// lateBacklog returns how long a late request may have to wait for all before it in the queue. One
// that has come back may wait for as long as it could be held: its caller won't come again. In a
// standing overload there is no end of the requests before it.
func (b *Broker) lateBacklog(now time.Time, p *pool, j *job) time.Duration {
	switch {
	case p.filledByOnTime(now, j.request.Rank):
		return 0
	case !j.request.IsRetry || j.request.Key == 0:
		return b.settings.LateBacklog
	}
	return max(b.settings.LateBacklog, b.lateWait(j))
}

// lateWait returns how long a late request is held.
func (b *Broker) lateWait(j *job) time.Duration {
	return time.Duration(b.settings.LateWaitFraction * float64(j.deadline.Sub(j.arrived)))
}

func (b *Broker) deny(now time.Time, p *pool, j *job, reason DenyReason) {
	b.removeJob(j)
	d := Deny{ID: j.request.ID, Seq: j.request.Seq, Reason: reason}
	switch {
	case reason == DenyEntryEnds:
		// Another instance may take the request at once.
	case b.mayAppoint(j, reason):
		d.RetryAfter, d.Appointed = b.returnTime(now, p, j)
	default:
		d.RetryAfter = b.retryAfter(now, p)
	}
	b.send(j.request.From, d)
}

// retryAfter estimates when a retry could be served: after twice the time needed for the requests
// that wait now, because others arrive meanwhile.
func (b *Broker) retryAfter(now time.Time, p *pool) time.Duration {
	c := p.capacity(now, b.settings.SlotShare)
	return min(max(minRetryAfter, 2*p.drainTime(&c)), maxRetryAfter)
}

// drainTime estimates the time needed for the requests that wait.
func (p *pool) drainTime(c *capacity) (wait time.Duration) {
	for _, j := range p.waiting {
		wait += c.serveTime(p.occupancy(j))
	}
	return wait
}
