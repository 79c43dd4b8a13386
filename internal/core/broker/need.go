package broker

import (
	"slices"
	"time"
)

// An engine that fails some of its requests is paused, so that others serve them. If many
// engines fail at the same time, the others can't: requests would wait for engines that
// serve more than half of what they get. So a request that is about to become late may use
// an engine that is paused because of failures, if that engine still runs most requests.
// This answers the load of a pool most of whose engines fail a part of their requests.

const (
	// needMargin is how long before a request becomes late it may use such an engine.
	needMargin = 2 * TickInterval
	// maxFailureInNeed is the share of failed requests up to which an engine is used.
	maxFailureInNeed = 0.6
)

// freeInNeed returns the number of slots of an engine that is paused because of failures,
// and may be used by requests that would be late otherwise.
func (e *engine) freeInNeed(now time.Time, slotShare float64) int {
	if !now.Before(e.pausedUntil) || now.Before(e.refusals.all.until) || e.limitWait(now) > 0 || e.endpoint.Leaving || e.unresponsive {
		return 0
	}
	if e.failureEstimate > maxFailureInNeed {
		return 0
	}
	return e.unoccupied(slotShare)
}

// grantInNeed grants slots of paused engines to requests that are about to become late.
func (b *Broker) grantInNeed(now time.Time, p *pool) {
	if !p.anyInNeed(now, b.settings.SlotShare) {
		return
	}
	for _, j := range slices.Clone(p.waiting) {
		if j.late {
			return // late requests are last
		}
		fastest, ok := p.fastestFirstEvent(j.request.PromptTokens)
		if !ok || j.target.Sub(now)-fastest > needMargin {
			continue
		}
		if e := b.leastFailing(now, p, j); e != nil {
			b.grant(now, p, j, e)
		}
	}
}

// anyInNeed reports whether an engine has a slot that may be used in need.
func (p *pool) anyInNeed(now time.Time, slotShare float64) bool {
	return slices.ContainsFunc(p.engines, func(e *engine) bool { return e.freeInNeed(now, slotShare) > 0 })
}

// leastFailing returns the engine that fails least among those that may be used in need
// and are expected to begin and end j's answer on time, nil if there is none.
func (b *Broker) leastFailing(now time.Time, p *pool, j *job) *engine {
	var best *engine
	for _, e := range p.engines {
		if e.freeInNeed(now, b.settings.SlotShare) == 0 || e.avoids(now, &j.request) || !e.fits(now, j) {
			continue
		}
		if now.Add(e.firstEventIn(now, j.request.PromptTokens)).After(j.target) {
			continue
		}
		if best == nil || e.failureEstimate < best.failureEstimate {
			best = e
		}
	}
	return best
}
