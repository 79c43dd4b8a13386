package admission

import "time"

// minPrefillPause is the minimum remaining prefill of a job for which pausing the
// job in favour of a higher tier is worth the cost.
const minPrefillPause = 150 * time.Millisecond

// An engine processes prompts in the order of their arrival, whatever their tier.
// The owner therefore keeps the engine's prefill backlog short: it estimates when
// the prompts that it has granted will be processed, and grants no more while
// that time is further away than MaxPrefillBacklog.

// prefillLeft estimates e's prefill backlog: how long it still needs for the prompts
// already granted.
func (e *endpoint) prefillLeft(now time.Time) time.Duration {
	return max(0, e.prefillUntil.Sub(now))
}

// prefillLeft estimates how much of j's own prefill remains.
func (j *job) prefillLeft(now time.Time) time.Duration {
	return min(j.prefill, max(0, j.prefillEnd.Sub(now)))
}

// beginPrefill adds j's prompt, which takes d, to the end of e's prefill backlog.
func (e *endpoint) beginPrefill(now time.Time, j *job, d time.Duration) {
	j.prefill = d
	j.prefillEnd = now.Add(e.prefillLeft(now) + d)
	e.prefillUntil = j.prefillEnd
}

// endPrefill removes the remaining part of j's prompt from e's prefill backlog.
func (e *endpoint) endPrefill(now time.Time, j *job) {
	left := j.prefillLeft(now)
	if left == 0 {
		return
	}
	e.prefillUntil = e.prefillUntil.Add(-left)
	for _, k := range e.jobs {
		if k != j && k.prefillEnd.After(j.prefillEnd) {
			k.prefillEnd = k.prefillEnd.Add(-left)
		}
	}
	j.prefill = left
	j.prefillEnd = time.Time{}
}
