package broker

import "time"

// Under a standing overload, a queue that may grow until its requests are late makes everyone wait
// for the whole target, and serves no more. So once a rank has had requests waiting beyond a part of
// their target for standingInterval, those beyond are refused at once; the delay of the others stays
// short. This answers a load above what the pool serves that goes on for longer than a burst.

const (
	// standingInterval is how long a queue must have been too long to count as a standing overload.
	standingInterval = time.Second
	// maxWaitFraction is the part of the time until its target for which a request may wait in a
	// standing overload. The estimate of a wait may be wrong by a factor of two.
	maxWaitFraction = 0.4
	// filledMemory is how long after its queue was too long a rank in a standing overload still
	// counts as using all slots.
	filledMemory = 200 * time.Millisecond
)

// standingQueue tells a standing overload of a rank from a burst.
type standingQueue struct {
	// since is when the queue became too long, zero if it is not. seenAt is when it last was.
	since, seenAt time.Time
}

// observe records whether the queue is too long. A shorter queue ends a burst at once, but a
// standing overload only after standingInterval: refusals keep its queue short.
func (q *standingQueue) observe(now time.Time, tooLong bool) {
	switch {
	case tooLong:
		if q.since.IsZero() {
			q.since = now
		}
		q.seenAt = now
	case !q.overloaded(now) || now.Sub(q.seenAt) >= standingInterval:
		q.since = time.Time{}
	}
}

// overloaded reports whether the overload is a standing one.
func (q *standingQueue) overloaded(now time.Time) bool {
	return !q.since.IsZero() && now.Sub(q.since) >= standingInterval
}

// filledByOnTime reports whether the on-time requests of a rank and of higher ones use all slots, so
// that no late request of the rank gets one.
func (p *pool) filledByOnTime(now time.Time, rank int) bool {
	for other, r := range p.ranks {
		if other <= rank && r.standing.overloaded(now) && now.Sub(r.standing.seenAt) < filledMemory {
			return true
		}
	}
	return false
}

// maxWait returns how long a request may wait from now on in a standing overload.
func (j *job) maxWait() time.Duration {
	return time.Duration(maxWaitFraction * float64(j.target.Sub(j.arrived)))
}

// refuseStanding refuses the on-time requests that wait too long in a rank with a standing overload, of
// organisations that have received their share: others only wait because many came at once. It
// updates which ranks have one and which are short of room. Where all engines have limits,
// refuseBeyondLimits refuses those that exceed them.
func (b *Broker) refuseStanding(now time.Time, p *pool) {
	c := p.capacityInNeed(now, b.settings.SlotShare)
	if c.size() == 0 {
		return // no wait can be estimated
	}
	if p.allWaitShortly(now, &c) {
		p.observeQueues(now, nil)
		return
	}
	tooLong := make(map[int]bool)
	var excess []*job
	w := waitEstimate{capacity: &c}
	for j := range p.grantOrder(now) {
		r := p.rank(j.request.Rank)
		if j.late {
			r.markShort(now, !j.request.IsRetry)
			continue
		}
		if j.request.pinned() {
			w.add(p, j)
			continue
		}
		before := w.before(j.request.Rank)
		fastest, _ := p.fastestFirstEvent(j.request.PromptTokens)
		r.markShort(now, now.Add(before+fastest).After(j.target))
		if before > j.maxWait() && !j.appointed && r.shares.HasShare(j.request.Org) {
			tooLong[j.request.Rank] = true
			if r.standing.overloaded(now) && !c.allLimited {
				excess = append(excess, j)
				continue
			}
		}
		w.add(p, j)
		w.belowOverload = w.belowOverload || r.standing.overloaded(now)
	}
	p.observeQueues(now, tooLong)
	for _, j := range excess {
		p.rank(j.request.Rank).markShort(now, true)
		b.deny(now, p, j, DenyOverload)
	}
}

// capacityInNeed returns the capacity with the engines that are paused because of failures, and used
// in need.
func (p *pool) capacityInNeed(now time.Time, slotShare float64) capacity {
	c := p.capacity(now, slotShare)
	for _, e := range p.engines {
		if !e.reserved && e.pacer == nil && len(e.runs) == 0 && e.freeInNeed(now, slotShare) > 0 {
			c.slots += e.limit(slotShare)
		}
	}
	return c
}

// allWaitShortly reports whether no request is late or would wait for too long, in whatever order they
// get slots.
func (p *pool) allWaitShortly(now time.Time, c *capacity) bool {
	var wait time.Duration
	shortest := maxRetryAfter
	for _, j := range p.waiting {
		if j.late {
			return false
		}
		wait += c.serveTime(p.occupancy(j))
		if !j.request.pinned() {
			fastest, _ := p.fastestFirstEvent(j.request.PromptTokens)
			shortest = min(shortest, j.maxWait(), j.target.Sub(now)-fastest)
		}
	}
	return wait <= shortest && !p.anyOverloaded(now)
}

// anyOverloaded reports whether a rank has a standing overload.
func (p *pool) anyOverloaded(now time.Time) bool {
	for _, r := range p.ranks {
		if r.standing.overloaded(now) {
			return true
		}
	}
	return false
}

// observeQueues records which ranks have requests that wait for too long.
func (p *pool) observeQueues(now time.Time, tooLong map[int]bool) {
	for rank, r := range p.ranks {
		r.standing.observe(now, tooLong[rank])
	}
}

// markShort records that the rank is short of room now, if it is.
func (r *rankState) markShort(now time.Time, isShort bool) {
	if isShort {
		r.shortAt = now
	}
}

// waitEstimate estimates the waits of requests in the order of their grants.
type waitEstimate struct {
	capacity *capacity
	wait     time.Duration
	rank     int
	// belowOverload is set once a rank with a standing overload was passed. Lower ranks can expect
	// the slot time that is guaranteed to them, and nothing else.
	belowOverload bool
	guaranteed    bool
}

// before returns the wait of the next request.
func (w *waitEstimate) before(rank int) time.Duration {
	if w.belowOverload && !w.guaranteed && rank > w.rank {
		w.wait, w.guaranteed = 0, true
	}
	w.rank = rank
	return w.wait
}

// add adds the slot time of a request.
func (w *waitEstimate) add(p *pool, j *job) {
	d := w.capacity.serveTime(p.occupancy(j))
	if w.guaranteed {
		d = time.Duration(float64(d) / guaranteedShare)
	}
	w.wait += d
}
