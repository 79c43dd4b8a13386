package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// cachedTokens estimates how many tokens of j's prompt e has in its prefix cache.
func (e *endpoint) cachedTokens(j *job) int {
	if len(j.work.Prefix) == 0 {
		return 0
	}
	if j.class.resume != "" {
		return j.work.PromptTokens
	}
	blocks := float64(e.index.Match(j.work.Prefix)) * e.index.Confidence()
	perBlock := float64(j.work.PromptTokens) / float64(len(j.work.Prefix))
	return int(blocks * perBlock)
}

// prefillTime estimates how long e needs for j's prompt, of which it has the
// given number of tokens in cache. A paused job continues where it was paused.
func (o *Owner) prefillTime(e *endpoint, j *job, cached int) time.Duration {
	if j.class.resume != "" {
		return j.prefill
	}
	return o.speeds.Rates(&e.row).PrefillTime(j.work.PromptTokens - cached)
}

// runTime estimates how long j would run on e.
func (o *Owner) runTime(e *endpoint, j *job) time.Duration {
	return o.speeds.Rates(&e.row).RunTime(j.work.PromptTokens-e.cachedTokens(j), j.work.MaxTokens)
}

// bestRunTime estimates the running time of j on the fastest endpoint that could
// serve it if that endpoint is idle, and the part of it for the prompt. ok is
// false if no endpoint could serve j.
func (o *Owner) bestRunTime(p *pool, j *job) (best, prefill time.Duration, ok bool) {
	p.eachEligible(j, func(e *endpoint) bool {
		if d := o.runTime(e, j); !ok || d < best {
			best, ok = d, true
			prefill = o.prefillTime(e, j, e.cachedTokens(j))
		}
		return true
	})
	return best, prefill, ok
}

// waitTime estimates how long j, as the last job of its tier, would wait for a
// slot: the time until tier j.tier can get a first slot, by preemption or
// because work ends, plus the time for all jobs queued before j. That is their
// running time spread over all slots or their prefill spread over all engines,
// whichever is longer.
func (o *Owner) waitTime(now time.Time, p *pool, j *job) time.Duration {
	var slots, endpoints time.Duration
	first := maxRetryAfter
	p.eachEligible(j, func(e *endpoint) bool {
		slots += time.Duration(e.row.Slots)
		endpoints++
		first = min(first, e.firstFree(now, j.tier))
		return true
	})
	if slots == 0 {
		return maxRetryAfter
	}
	work, prefill := p.queue.workUpTo(j.tier)
	if j.queued {
		work, prefill = work-j.run, prefill-j.runPrefill
	}
	return first + max(work/slots, prefill/endpoints)
}

// firstFree estimates how long it takes until tier t could get a slot of e.
func (e *endpoint) firstFree(now time.Time, t int) time.Duration {
	backlog := e.unpreemptiblePrefill(now, t)
	if e.slotsUsed < e.row.Slots {
		return backlog
	}
	first := maxRetryAfter
	for _, k := range e.jobs {
		if !k.holdsSlot() {
			continue
		}
		if k.tier > t && k.preemptible() {
			return backlog
		}
		first = min(first, max(0, k.expectEnd.Sub(now)))
	}
	return max(first, backlog)
}

// unpreemptiblePrefill estimates how long e needs for granted prompts that tier t
// cannot preempt.
func (e *endpoint) unpreemptiblePrefill(now time.Time, t int) time.Duration {
	backlog := e.prefillLeft(now)
	for _, k := range e.jobs {
		if k.state == stateRunning && k.tier > t && k.preemptible() {
			backlog -= k.prefillLeft(now)
		}
	}
	return max(0, backlog)
}

// retryAfter returns the RetryAfter of a refusal of j.
func (o *Owner) retryAfter(now time.Time, p *pool, j *job) time.Duration {
	return min(max(o.waitTime(now, p, j), minRetryAfter), maxRetryAfter)
}

func (j *job) preemptible() bool {
	return !j.work.NonIdempotent && j.orphanedAt.IsZero() && j.endpoint.row.Kind == entity.KindEngine
}
