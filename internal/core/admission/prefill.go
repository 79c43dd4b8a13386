package admission

import "time"

// minPrefillPause is the least prefill left in a job for which it is worth
// pausing the job, so that a higher tier goes first.
const minPrefillPause = 150 * time.Millisecond

// An engine processes prompts in the order they came, whatever their tier.
// So the owner keeps that line short: it estimates when the prompts that it
// has granted will be processed, and grants no more while that is too far off.

// prefillLeft estimates how long e is busy with prompts granted already.
func (e *endpoint) prefillLeft(now time.Time) time.Duration {
	return max(0, e.prefillUntil.Sub(now))
}

// prefillLeft estimates how much of j's own prefill is still to be done.
func (j *job) prefillLeft(now time.Time) time.Duration {
	return min(j.prefill, max(0, j.prefillEnd.Sub(now)))
}

// beginPrefill puts j's prompt at the end of e's line.
func (e *endpoint) beginPrefill(now time.Time, j *job, d time.Duration) {
	j.prefill = d
	j.prefillEnd = now.Add(e.prefillLeft(now) + d)
	e.prefillUntil = j.prefillEnd
}

// endPrefill takes what is left of j's prompt out of e's line.
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
