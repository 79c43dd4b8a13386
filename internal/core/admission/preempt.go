package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// preemptFor preempts work of lower tiers for the queued job j. It does nothing
// if work is already being preempted for j.
func (o *Owner) preemptFor(now time.Time, p *pool, j *job) {
	if j.pendingPreemptions > 0 {
		return
	}
	var best *job
	p.eachEligible(j, func(e *endpoint) bool {
		if e.lowestTier() <= j.tier || now.Before(e.suspendedUntil) {
			return true
		}
		v := e.victim(now, j, o.settings.MaxPrefillBacklog)
		if v != nil && (best == nil || preemptBefore(v, best)) && !j.missesDeadline(now, o.runTime(e, j)) {
			best = v
		}
		return true
	})
	if best == nil {
		return
	}
	e := best.endpoint
	o.preempt(j, best, e.fits(j))
	for need := e.kvUsed + j.tokens() - e.memoryBeingFreed(j) - e.row.KVTokens; !e.fits(j) && need > 0; {
		v := e.memoryVictim(j)
		if v == nil {
			return
		}
		need -= v.tokens()
		o.preempt(j, v, false)
	}
}

// preempt tells the entry instance of v to release v for j. With pause, v's
// stream stays paused on the engine and keeps its memory.
func (o *Owner) preempt(j, v *job, pause bool) {
	v.preemptedFor = j
	j.pendingPreemptions++
	if v.state == stateRunning {
		v.state = statePreempting
	}
	o.ready.Preemptions = append(o.ready.Preemptions, PreemptionTo{
		To:         v.from,
		Preemption: entity.Preemption{ID: v.work.ID, Seq: v.seq, Pause: pause},
	})
}

// victim returns the running job that is to be preempted on e for j, or nil: the
// job of the lowest tier below j's whose preemption wastes the least work.
func (e *endpoint) victim(now time.Time, j *job, maxBacklog time.Duration) *job {
	if e.prefillLeft(now) > maxBacklog {
		return e.prefillVictim(now, j, maxBacklog)
	}
	if e.slotsUsed < e.row.Slots && e.fits(j) {
		return nil
	}
	var best *job
	for _, v := range e.jobs {
		if v.state != stateRunning || v.tier <= j.tier || !v.preemptible() {
			continue
		}
		if best == nil || preemptBefore(v, best) {
			best = v
		}
	}
	if best == nil || (!e.fits(j) && e.reclaimableMemory(j) < j.tokens()+e.kvUsed-e.row.KVTokens) {
		return nil
	}
	return best
}

// prefillVictim returns the job below j's tier with the most prefill left, or
// nil. It returns nil also if the prefill that j cannot preempt on e already
// exceeds maxBacklog.
func (e *endpoint) prefillVictim(now time.Time, j *job, maxBacklog time.Duration) *job {
	if e.unpreemptiblePrefill(now, j.tier) > maxBacklog {
		return nil
	}
	var best *job
	for _, v := range e.jobs {
		if v.state != stateRunning || v.tier <= j.tier || !v.preemptible() || v.prefillLeft(now) < minPrefillPause {
			continue
		}
		if best == nil || v.prefillLeft(now) > best.prefillLeft(now) {
			best = v
		}
	}
	return best
}

// memoryVictim returns the next job to cancel for its memory, or nil: paused jobs
// before running ones, then in the order of preemptBefore.
func (e *endpoint) memoryVictim(j *job) *job {
	var best *job
	for _, v := range e.jobs {
		if v.state == statePreempting || v.preemptedFor != nil || v.tier <= j.tier || !v.preemptible() {
			continue
		}
		if best == nil || evictBefore(v, best) {
			best = v
		}
	}
	return best
}

// evictBefore reports whether v is cancelled for its memory before w.
func evictBefore(v, w *job) bool {
	if v.holdsSlot() != w.holdsSlot() {
		return !v.holdsSlot()
	}
	return preemptBefore(v, w)
}

// memoryBeingFreed returns the memory of the jobs that are being cancelled for j.
func (e *endpoint) memoryBeingFreed(j *job) int {
	sum := 0
	for _, v := range e.jobs {
		if v.preemptedFor == j {
			sum += v.tokens()
		}
	}
	return sum
}

// reclaimableMemory returns the memory of all jobs that may be cancelled for j.
func (e *endpoint) reclaimableMemory(j *job) int {
	sum := 0
	for _, v := range e.jobs {
		if v.state != statePreempting && v.tier > j.tier && v.preemptible() {
			sum += v.tokens()
		}
	}
	return sum
}

// preemptBefore reports whether v is preempted before w: first the lower tier,
// then the later grant, which has made less progress, then the shorter prompt.
func preemptBefore(v, w *job) bool {
	if v.tier != w.tier {
		return v.tier > w.tier
	}
	if !v.grantedAt.Equal(w.grantedAt) {
		return v.grantedAt.After(w.grantedAt)
	}
	if v.work.PromptTokens != w.work.PromptTokens {
		return v.work.PromptTokens < w.work.PromptTokens
	}
	return v.arrival > w.arrival
}
