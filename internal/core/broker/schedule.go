package broker

import (
	"slices"
	"time"
)

// schedule gives out free slots in the order of the queue. A request that
// would be late where slots are free, but not elsewhere, waits for the other
// engine; late requests take any, but leave a slot for each request that waits
// and may still be in time: a slot that is free now is soon one where it is.
func (b *Broker) schedule(now time.Time, p *pool) {
	if len(p.waiting) == 0 || !p.freeBeyond(now, b.settings.SlotShare, 0) {
		return
	}
	p.makeLate(now)
	b.grantGuaranteed(now, p)
	wanted := 0 // slots that requests in time still wait for
	for _, j := range slices.Clone(p.waiting) {
		if j.late && !p.freeBeyond(now, b.settings.SlotShare, wanted) {
			return
		}
		e := b.best(now, p, j)
		if e == nil {
			if b.freeFits(now, p, j) {
				wanted++
			}
			continue
		}
		b.grant(now, p, j, e)
		p.passedOver(j, p.occupancy(j))
		if !p.freeBeyond(now, b.settings.SlotShare, 0) {
			return
		}
	}
}

// enoughCandidates is how many engines with a free slot are compared: where
// there are hundreds, the best of some is about as good as the best of all.
const enoughCandidates = 64

// best returns the engine with a free slot where the first event of j is
// expected soonest, among those that could end its answer in time. It returns
// nil where waiting is better.
func (b *Broker) best(now time.Time, p *pool, j *job) *engine {
	var best *engine
	var soonest time.Duration
	seen := 0
	for i := 0; i < len(p.engines) && seen < enoughCandidates; i++ {
		e := p.engines[(p.lookFrom+i)%len(p.engines)]
		if e.free(now, b.settings.SlotShare) == 0 || slices.Contains(j.ask.Avoid, e.row.ID) || !e.fits(now, j) {
			continue
		}
		seen++
		if d := e.firstEventIn(now, j.ask.PromptTokens); best == nil || d < soonest {
			best, soonest = e, d
		}
	}
	if seen == enoughCandidates {
		p.lookFrom += enoughCandidates
	}
	if best == nil {
		return b.leastUnfit(now, p, j)
	}
	if !j.late && !j.inTime(now, soonest) && b.fasterBusy(now, p, j, soonest) {
		return nil
	}
	return best
}

// fits says that the engine could end j's answer in time.
func (e *engine) fits(now time.Time, j *job) bool {
	return j.endsInTime(now, e.answerIn(now, &j.ask))
}

// freeFits says that a slot is free where j's answer could end in time.
func (b *Broker) freeFits(now time.Time, p *pool, j *job) bool {
	return slices.ContainsFunc(p.engines, func(e *engine) bool { return e.free(now, b.settings.SlotShare) > 0 && e.fits(now, j) })
}

// leastUnfit returns the engine with a free slot that would end j's answer
// first, though too late by the estimate, which may be wrong. While another
// engine in use could end it in time, it returns nil.
func (b *Broker) leastUnfit(now time.Time, p *pool, j *job) *engine {
	var best *engine
	var soonest time.Duration
	for _, e := range p.engines {
		if e.row.Leaving || e.silent || slices.Contains(j.ask.Avoid, e.row.ID) {
			continue
		}
		d := e.answerIn(now, &j.ask)
		if e.free(now, b.settings.SlotShare) == 0 {
			if j.endsInTime(now, d) {
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

// fasterBusy says that an engine whose slots are taken would be in time for j,
// were it free now.
func (b *Broker) fasterBusy(now time.Time, p *pool, j *job, than time.Duration) bool {
	for _, e := range p.engines {
		if e.row.Leaving || e.silent || e.free(now, b.settings.SlotShare) > 0 {
			continue
		}
		if d := e.firstEventIn(now, j.ask.PromptTokens); d < than && j.inTime(now, d) {
			return true
		}
	}
	return false
}

func (b *Broker) grant(now time.Time, p *pool, j *job, e *engine) {
	b.forget(j)
	r := &run{
		id: j.ask.ID, from: j.ask.From, number: j.ask.Seq, pool: p, promptTokens: j.ask.PromptTokens, answerTokens: j.ask.AnswerTokens,
		grantedAt: now, heardOf: now, expires: j.deadline.Add(runsFor),
	}
	e.take(now, r)
	b.runs[r.id] = r
	b.send(r.from, Grant{ID: r.id, Seq: r.number, Endpoint: e.row.ID, Zone: e.row.Zone})
}
