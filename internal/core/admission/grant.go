package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// loadPenalty is the relative increase of the estimated running time on an
// endpoint whose slots are all occupied, compared with an idle one.
const loadPenalty = 0.05

// grantAll grants free slots to queued jobs, in the queue's order.
func (o *Owner) grantAll(now time.Time, p *pool) {
	for _, e := range p.endpoints {
		for e.available(now, o.settings.MaxPrefillBacklog) {
			j := p.queue.next(e, func(j *job) bool {
				return e.couldServe(j) && !j.missesDeadline(now, o.runTime(e, j)) && !o.defers(now, p, j, e)
			})
			if j == nil || !o.grantBest(now, p, j) {
				break
			}
		}
	}
}

// grantBest grants j the best free slot on an endpoint that has memory for it
// and where no guarantee forbids its tier, and reports whether there is one.
// Endpoints that failed recently come last, so that a request which one of them
// refused is not granted there again while another endpoint is free.
func (o *Owner) grantBest(now time.Time, p *pool, j *job) bool {
	var best *endpoint
	var bestScore time.Duration
	var bestFailed bool
	p.eachEligible(j, func(e *endpoint) bool {
		if !e.available(now, o.settings.MaxPrefillBacklog) || !e.allows(now, j.tier) || !e.fits(j) {
			return true
		}
		run := o.runTime(e, j)
		if j.missesDeadline(now, run) {
			return true
		}
		score, failed := loadAdjusted(e, run), e.recentlyFailed(now)
		if best == nil || failed == bestFailed && score < bestScore || bestFailed && !failed {
			best, bestScore, bestFailed = e, score, failed
		}
		return true
	})
	if best == nil {
		return false
	}
	o.grant(now, p, j, best)
	return true
}

// loadAdjusted returns the running time run on e with the penalty for e's load.
func loadAdjusted(e *endpoint, run time.Duration) time.Duration {
	load := float64(e.slotsUsed) / float64(e.row.Slots)
	return time.Duration(float64(run) * (1 + loadPenalty*load))
}

func (o *Owner) grant(now time.Time, p *pool, j *job, e *endpoint) {
	p.queue.dequeue(j)
	g := entity.Grant{ID: j.work.ID, Seq: j.seq, Endpoint: e.row.ID, CachedTokens: e.cachedTokens(j)}
	g.ImportFrom = o.importFrom(p, j, e, g.CachedTokens)
	j.grantedAt = now
	j.expectEnd = now.Add(e.prefillLeft(now) + o.runTime(e, j))
	e.assign(j)
	e.beginPrefill(now, j, o.prefillTime(e, j, g.CachedTokens))
	e.index.Insert(j.work.Prefix)
	o.ready.Grants = append(o.ready.Grants, GrantTo{To: j.from, Grant: g})
}

// importFrom returns the endpoint from which e should import KV cache for j, if
// that is faster than prefill on e; empty for none.
func (o *Owner) importFrom(p *pool, j *job, e *endpoint, cached int) entity.EndpointID {
	if o.settings.ImportTokensPerSec <= 0 || j.class.resume != "" {
		return ""
	}
	var from entity.EndpointID
	maxCached := cached
	p.eachEligible(j, func(other *endpoint) bool {
		if n := other.cachedTokens(j); other != e && n > maxCached {
			from, maxCached = other.row.ID, n
		}
		return true
	})
	move := o.settings.ImportLatency + time.Duration(float64(maxCached)/o.settings.ImportTokensPerSec*float64(time.Second))
	if from == "" || move >= o.speeds.Rates(&e.row).PrefillTime(maxCached-cached) {
		return ""
	}
	return from
}
