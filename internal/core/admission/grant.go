package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// loadPenalty is how much a full endpoint's estimated running time counts more
// than an idle one's.
const loadPenalty = 0.05

// grantAll gives free slots to queued jobs, in the queue's order.
func (o *Owner) grantAll(now time.Time, p *pool) {
	for _, e := range p.endpoints {
		for e.open(now, o.settings.MaxPrefillBacklog) {
			j := p.queue.next(e, func(j *job) bool {
				return e.couldServe(j) && !j.late(now, o.runTime(e, j)) && !o.defers(now, p, j, e)
			})
			if j == nil || !o.grantBest(now, p, j) {
				break
			}
		}
	}
}

// grantBest gives j the best free slot, if one is free that has memory for it
// and that no promise keeps it off. One that has just failed comes last, so
// that what it refused is not granted there again while another is free.
func (o *Owner) grantBest(now time.Time, p *pool, j *job) bool {
	var best *endpoint
	var bestScore time.Duration
	var bestFailed bool
	p.eligible(j, func(e *endpoint) bool {
		if !e.open(now, o.settings.MaxPrefillBacklog) || !e.allows(now, j.tier) || !e.fits(j) {
			return true
		}
		run := o.runTime(e, j)
		if j.late(now, run) {
			return true
		}
		score, failed := loaded(e, run), e.justFailed(now)
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

func loaded(e *endpoint, run time.Duration) time.Duration {
	load := float64(e.slots) / float64(e.row.Slots)
	return time.Duration(float64(run) * (1 + loadPenalty*load))
}

func (o *Owner) grant(now time.Time, p *pool, j *job, e *endpoint) {
	p.queue.served(j)
	g := entity.Grant{ID: j.work.ID, Seq: j.question, Endpoint: e.row.ID, CachedTokens: e.cachedTokens(j)}
	g.ImportFrom = o.importFrom(p, j, e, g.CachedTokens)
	j.grantedAt = now
	j.expectEnd = now.Add(e.prefillLeft(now) + o.runTime(e, j))
	e.take(j)
	e.beginPrefill(now, j, o.prefillTime(e, j, g.CachedTokens))
	e.index.Insert(j.work.Prefix)
	o.ready.Grants = append(o.ready.Grants, GrantTo{To: j.from, Grant: g})
}

// importFrom names the endpoint from which KV cache is moved to e, where that
// is cheaper than to prefill; empty for none.
func (o *Owner) importFrom(p *pool, j *job, e *endpoint, cached int) entity.EndpointID {
	if o.settings.ImportTokensPerSec <= 0 || j.class.resume != "" {
		return ""
	}
	var from entity.EndpointID
	most := cached
	p.eligible(j, func(other *endpoint) bool {
		if n := other.cachedTokens(j); other != e && n > most {
			from, most = other.row.ID, n
		}
		return true
	})
	move := o.settings.ImportLatency + time.Duration(float64(most)/o.settings.ImportTokensPerSec*float64(time.Second))
	if from == "" || move >= o.speeds.Rates(&e.row).PrefillTime(most-cached) {
		return ""
	}
	return from
}
