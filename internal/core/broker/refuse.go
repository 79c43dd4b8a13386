package broker

import "time"

// refuseHopeless refuses, at once, what will not be served: requests whose
// time has run out, late ones that have waited their part, and, while more
// late ones wait than the slots can serve soon, the last in order.
func (b *Broker) refuseHopeless(now time.Time, p *pool) {
	p.makeLate(now)
	var hopeless []*job
	for _, j := range p.waiting {
		fastest, ok := p.fastest(j.ask.PromptTokens)
		switch {
		case !ok || now.Add(fastest).After(j.deadline):
			hopeless = append(hopeless, j)
		case j.late && now.Sub(j.arrived) > time.Duration(b.settings.LateWaitFraction*float64(j.deadline.Sub(j.arrived))):
			hopeless = append(hopeless, j)
		}
	}
	for _, j := range hopeless {
		b.deny(now, p, j, DenyDeadline)
	}
	b.refuseBacklog(now, p)
}

// refuseBacklog keeps the late requests within what the slots can serve soon.
func (b *Broker) refuseBacklog(now time.Time, p *pool) {
	allowed := b.settings.LateBacklog * time.Duration(p.slots(now, b.settings.SlotShare))
	var work time.Duration
	var over []*job
	for _, j := range p.waiting {
		work += p.occupancy(j)
		if j.late && work > allowed {
			over = append(over, j)
		}
	}
	for _, j := range over {
		b.deny(now, p, j, DenyOverload)
	}
}

func (b *Broker) deny(now time.Time, p *pool, j *job, reason DenyReason) {
	b.forget(j)
	b.send(j.ask.From, Deny{ID: j.ask.ID, Seq: j.ask.Seq, Reason: reason, RetryAfter: b.retryAfter(now, p)})
}

// retryAfter estimates when a request could be served that comes back: when
// twice what waits now will have been served, as others arrive meanwhile.
func (b *Broker) retryAfter(now time.Time, p *pool) time.Duration {
	slots := max(1, p.slots(now, b.settings.SlotShare))
	var work time.Duration
	for _, j := range p.waiting {
		work += p.occupancy(j)
	}
	return min(max(minRetryAfter, 2*work/time.Duration(slots)), maxRetryAfter)
}
