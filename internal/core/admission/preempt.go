package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// preemptFor takes slots back from lower tiers for the queued job j. It does
// nothing if room is already being made for j.
func (o *Owner) preemptFor(now time.Time, p *pool, j *job) {
	if j.awaited > 0 {
		return
	}
	var best *job
	p.eligible(j, func(e *endpoint) bool {
		if e.lowest() <= j.tier || now.Before(e.suspendedUntil) {
			return true
		}
		v := e.victim(now, j, o.settings.MaxPrefillBacklog)
		if v != nil && (best == nil || worse(v, best)) && !j.late(now, o.runTime(e, j)) {
			best = v
		}
		return true
	})
	if best == nil {
		return
	}
	e := best.endpoint
	o.preempt(j, best, e.fits(j))
	for need := e.kv + j.tokens() - e.freeing(j) - e.row.KVTokens; !e.fits(j) && need > 0; {
		v := e.memoryVictim(j)
		if v == nil {
			return
		}
		need -= v.tokens()
		o.preempt(j, v, false)
	}
}

// preempt asks the entry instance of v to give its slot, or only its memory,
// back for j.
func (o *Owner) preempt(j, v *job, pause bool) {
	v.roomFor = j
	j.awaited++
	if v.state == stateRunning {
		v.state = statePreempting
	}
	o.ready.Preemptions = append(o.ready.Preemptions, PreemptTo{
		To:         v.from,
		Preemption: entity.Preemption{ID: v.work.ID, Seq: v.question, Pause: pause},
	})
}

// victim returns the running job of the lowest tier below j's that wastes
// least when it makes room for j, or nil.
func (e *endpoint) victim(now time.Time, j *job, ahead time.Duration) *job {
	if e.prefillLeft(now) > ahead {
		return e.prefillVictim(now, j, ahead)
	}
	if e.slots < e.row.Slots && e.fits(j) {
		return nil
	}
	var best *job
	for _, v := range e.jobs {
		if v.state != stateRunning || v.tier <= j.tier || !v.preemptible() {
			continue
		}
		if best == nil || worse(v, best) {
			best = v
		}
	}
	if best == nil || (!e.fits(j) && e.reclaimable(j) < j.tokens()+e.kv-e.row.KVTokens) {
		return nil
	}
	return best
}

// prefillVictim returns the job below j's tier with the most prefill left, if
// e could take j's prompt without it.
func (e *endpoint) prefillVictim(now time.Time, j *job, ahead time.Duration) *job {
	if e.lineAbove(now, j.tier) > ahead {
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

// memoryVictim returns the next job to cancel for its memory: paused before
// running ones, then as victim does.
func (e *endpoint) memoryVictim(j *job) *job {
	var best *job
	for _, v := range e.jobs {
		if v.state == statePreempting || v.roomFor != nil || v.tier <= j.tier || !v.preemptible() {
			continue
		}
		if best == nil || cheaper(v, best) {
			best = v
		}
	}
	return best
}

// cheaper says that cancelling v for its memory comes before cancelling w.
func cheaper(v, w *job) bool {
	if v.holdsSlot() != w.holdsSlot() {
		return !v.holdsSlot()
	}
	return worse(v, w)
}

// freeing is the memory of jobs that are being cancelled for j.
func (e *endpoint) freeing(j *job) int {
	sum := 0
	for _, v := range e.jobs {
		if v.roomFor == j {
			sum += v.tokens()
		}
	}
	return sum
}

// reclaimable is the memory of all jobs that j may push out.
func (e *endpoint) reclaimable(j *job) int {
	sum := 0
	for _, v := range e.jobs {
		if v.state != statePreempting && v.tier > j.tier && v.preemptible() {
			sum += v.tokens()
		}
	}
	return sum
}

// worse says that v is to be preempted before w: the lower tier, then the
// later grant, which has come less far, then the shorter prompt.
func worse(v, w *job) bool {
	if v.tier != w.tier {
		return v.tier > w.tier
	}
	if !v.grantedAt.Equal(w.grantedAt) {
		return v.grantedAt.After(w.grantedAt)
	}
	if v.work.PromptTokens != w.work.PromptTokens {
		return v.work.PromptTokens < w.work.PromptTokens
	}
	return v.seq > w.seq
}
