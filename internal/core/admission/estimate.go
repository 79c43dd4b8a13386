package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// cachedTokens estimates how much of j's prompt e holds.
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

// prefillTime estimates how long e processes j's prompt, of which it holds so
// many tokens. A paused job goes on where it stood.
func (o *Owner) prefillTime(e *endpoint, j *job, cached int) time.Duration {
	if j.class.resume != "" {
		return j.prefill
	}
	return o.speeds.Rates(&e.row).PrefillTime(j.work.PromptTokens - cached)
}

// runTime estimates how long j runs on e from now.
func (o *Owner) runTime(e *endpoint, j *job) time.Duration {
	return o.speeds.Rates(&e.row).RunTime(j.work.PromptTokens-e.cachedTokens(j), j.work.MaxTokens)
}

// bestRunTime estimates how long j runs on the best endpoint that could serve
// it, were it idle, and the part of it that processes the prompt; ok is false
// if there is none.
func (o *Owner) bestRunTime(p *pool, j *job) (best, prefill time.Duration, ok bool) {
	p.eligible(j, func(e *endpoint) bool {
		if d := o.runTime(e, j); !ok || d < best {
			best, ok = d, true
			prefill = o.prefillTime(e, j, e.cachedTokens(j))
		}
		return true
	})
	return best, prefill, ok
}

// waitTime estimates when j, last in its tier, would get a slot: when the
// first slot frees that a lower tier does not hold, and then all that is
// queued before it, spread over all slots, or over all engines' prompt
// processing, whichever takes longer.
func (o *Owner) waitTime(now time.Time, p *pool, j *job) time.Duration {
	var slots, endpoints time.Duration
	first := maxRetryAfter
	p.eligible(j, func(e *endpoint) bool {
		slots += time.Duration(e.row.Slots)
		endpoints++
		first = min(first, e.firstFree(now, j.tier))
		return true
	})
	if slots == 0 {
		return maxRetryAfter
	}
	work, prefill := p.queue.upTo(j.tier)
	if j.queued {
		work, prefill = work-j.run, prefill-j.runPrefill
	}
	return first + max(work/slots, prefill/endpoints)
}

// firstFree estimates when tier t could have a slot of e.
func (e *endpoint) firstFree(now time.Time, t int) time.Duration {
	line := e.lineAbove(now, t)
	if e.slots < e.row.Slots {
		return line
	}
	first := maxRetryAfter
	for _, k := range e.jobs {
		if !k.holdsSlot() {
			continue
		}
		if k.tier > t && k.preemptible() {
			return line
		}
		first = min(first, max(0, k.expectEnd.Sub(now)))
	}
	return max(first, line)
}

// lineAbove estimates how long e is busy with prompts that tier t can't push out.
func (e *endpoint) lineAbove(now time.Time, t int) time.Duration {
	line := e.prefillLeft(now)
	for _, k := range e.jobs {
		if k.state == stateRunning && k.tier > t && k.preemptible() {
			line -= k.prefillLeft(now)
		}
	}
	return max(0, line)
}

// retryAfter is what a caller whose work is refused is told.
func (o *Owner) retryAfter(now time.Time, p *pool, j *job) time.Duration {
	return min(max(o.waitTime(now, p, j), minRetryAfter), maxRetryAfter)
}

func (j *job) preemptible() bool {
	return !j.work.NonIdempotent && j.orphanedAt.IsZero() && j.endpoint.row.Kind == entity.KindEngine
}
