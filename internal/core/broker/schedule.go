package broker

import (
	"slices"
	"time"
)

// schedule grants free slots in the order of the queue. A request that would be late on every
// engine with a free slot, but on time on a busy one, waits for the busy one. Late requests take
// any free slot, but leave one for each such waiting request: an engine with a free slot may soon
// be fast enough for it.
func (b *Broker) schedule(now time.Time, p *pool) {
	if len(p.waiting) == 0 {
		return
	}
	b.grantInNeed(now, p)
	if !p.freeExceeds(now, b.settings.SlotShare, 0) {
		return
	}
	p.markLate(now)
	b.grantGuaranteed(now, p)
	wanted := 0 // free slots to leave for waiting on-time requests
	onlyReserved := len(p.reserved) > 0 && !p.freeUnreserved(now, b.settings.SlotShare)
	for j := range p.grantOrder(now) {
		if onlyReserved && !j.request.meant() {
			continue
		}
		if j.late && !p.freeExceeds(now, b.settings.SlotShare, wanted) {
			return
		}
		e := b.bestEngine(now, p, j)
		if e == nil {
			if b.freeSlotFits(now, p, j) {
				wanted++
			}
			continue
		}
		b.grant(now, p, j, e)
		p.creditGuarantee(j, p.occupancy(j))
		onlyReserved = onlyReserved || len(p.reserved) > 0 && !p.freeUnreserved(now, b.settings.SlotShare)
		if !p.freeExceeds(now, b.settings.SlotShare, 0) {
			return
		}
	}
}

// maxCandidates is the number of engines with a free slot that are compared. With hundreds of
// engines, the best of a sample is about as good as the best of all.
const maxCandidates = 64

// bestEngine returns the engine with a free slot on which the first event of j is expected
// earliest, among those that are expected to end the answer on time. It returns nil if j should
// wait instead.
func (b *Broker) bestEngine(now time.Time, p *pool, j *job) *engine {
	var best *engine
	var soonest time.Duration
	seen := 0
	for i := 0; i < len(p.engines) && seen < maxCandidates; i++ {
		e := p.engines[(p.searchStart+i)%len(p.engines)]
		if e.free(now, b.settings.SlotShare) == 0 || e.avoids(now, &j.request) || !e.fits(now, j) {
			continue
		}
		seen++
		if d := e.firstEventIn(now, j.request.PromptTokens); best == nil || j.request.prefers(e, best, d < soonest) {
			best, soonest = e, d
		}
	}
	if seen == maxCandidates {
		p.searchStart += maxCandidates
	}
	if best == nil {
		return b.earliestFinish(now, p, j)
	}
	if !j.late && !j.onTime(now, soonest) && b.fasterBusy(now, p, j, soonest) {
		return nil
	}
	return best
}

// fits reports whether the engine is expected to end j's answer on time.
func (e *engine) fits(now time.Time, j *job) bool {
	return j.endsOnTime(now, e.answerIn(now, &j.request))
}

// freeSlotFits reports whether an engine with a free slot is expected to end j's answer on time,
// and would begin it on time once it has processed the prompts that it has now.
func (b *Broker) freeSlotFits(now time.Time, p *pool, j *job) bool {
	return slices.ContainsFunc(p.engines, func(e *engine) bool {
		return e.free(now, b.settings.SlotShare) > 0 && !e.avoids(now, &j.request) && e.fits(now, j) && j.onTime(now, e.promptIn(now, j.request.PromptTokens))
	})
}

// earliestFinish returns the engine with a free slot that is expected to end j's answer first,
// although after j.end: the estimate may be wrong. It returns nil if a busy engine could end the
// answer on time, unless that engine is leaving or unresponsive.
func (b *Broker) earliestFinish(now time.Time, p *pool, j *job) *engine {
	var best *engine
	var soonest time.Duration
	for _, e := range p.engines {
		if e.endpoint.Leaving || e.unresponsive || e.limitWait(now) > 0 || e.avoids(now, &j.request) {
			continue
		}
		d := e.answerIn(now, &j.request)
		if e.free(now, b.settings.SlotShare) == 0 {
			if j.endsOnTime(now, d) {
				return nil
			}
			continue
		}
		if best == nil || d < soonest {
			best, soonest = e, d
		}
	}
	return best
}

// fasterBusy reports whether a busy engine would begin j's answer on time and sooner than the given
// time if one of its slots were free now.
func (b *Broker) fasterBusy(now time.Time, p *pool, j *job, than time.Duration) bool {
	for _, e := range p.engines {
		if e.endpoint.Leaving || e.unresponsive || e.limitWait(now) > 0 || e.free(now, b.settings.SlotShare) > 0 || e.avoids(now, &j.request) {
			continue
		}
		if d := e.firstEventIn(now, j.request.PromptTokens); d < than && j.onTime(now, d) {
			return true
		}
	}
	return false
}

func (b *Broker) grant(now time.Time, p *pool, j *job, e *engine) {
	b.removeJob(j)
	r := &run{
		id: j.request.ID, from: j.request.From, seq: j.request.Seq, pool: p, rank: j.request.Rank,
		promptTokens: j.request.PromptTokens, answerTokens: j.request.AnswerTokens,
		grantedAt: now, lastConfirmed: now, expires: j.deadline.Add(runExpiry),
	}
	e.addRun(now, r)
	e.grantedAt = now
	p.charge(j, r)
	if e.pacer != nil {
		e.pacer.Take(now)
	}
	b.runs[r.id] = r
	b.send(r.from, Grant{ID: r.id, Seq: r.seq, Endpoint: e.endpoint.ID, Zone: e.endpoint.Zone})
}
