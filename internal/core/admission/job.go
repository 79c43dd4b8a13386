package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// jobState is the state of a job at the owner.
type jobState int

const (
	stateQueued jobState = iota
	stateRunning
	statePreempting // preempted, not released yet
	statePaused     // paused on the engine, holds no slot
)

// workClass identifies work that the same endpoints can serve.
type workClass struct {
	model   entity.ModelID
	adapter entity.AdapterID
	resume  entity.EndpointID
}

func (c workClass) less(d workClass) bool {
	if c.model != d.model {
		return c.model < d.model
	}
	if c.adapter != d.adapter {
		return c.adapter < d.adapter
	}
	return c.resume < d.resume
}

// job is a reservation and its state at the owner: one entry of the owner's request
// table.
type job struct {
	work    entity.Work
	from    entity.InstanceID
	class   workClass
	tier    int
	state   jobState
	arrival uint64
	// seq is the Seq of the reservation that created the job.
	seq uint32
	// queued is set while the job is in the queue.
	queued bool
	// noWait is set if the entry does not want the job to wait for a slot. The job is
	// refused unless a slot is free, work is preempted for it, or it may still wait
	// until cacheWaitUntil.
	noWait bool
	// endpoint is where the job runs or is paused; nil if it was never granted.
	endpoint  *endpoint
	grantedAt time.Time
	expectEnd time.Time
	// orphanedAt is when the entry instance was lost, or abandoned a stream that
	// it could not cancel; zero while the entry has the stream.
	orphanedAt time.Time
	// prefill and prefillEnd are the estimated duration and end of the prompt's
	// processing. For a paused job prefill is the duration that remained.
	prefill    time.Duration
	prefillEnd time.Time
	// A job with noWait stays queued until cacheWaitUntil for an engine that has
	// part of its prompt in cache. Until deferUntil a job may skip other engines
	// in favour of such an engine.
	cacheWaitUntil, deferUntil time.Time
	// run is the estimated running time on the best endpoint if that is idle,
	// and runPrefill the part of it for the prompt.
	run, runPrefill time.Duration
	// pendingPreemptions counts the jobs preempted for this one that are not
	// released yet. preemptedFor is the job for which this one is preempted.
	pendingPreemptions int
	preemptedFor       *job
}

// holdsSlot reports whether the job occupies a slot of its endpoint.
func (j *job) holdsSlot() bool {
	return j.state == stateRunning || j.state == statePreempting
}

// tokens returns how many tokens of an engine's KV memory the job needs.
func (j *job) tokens() int {
	return j.work.PromptTokens + j.work.MaxTokens
}

// cost returns the job's cost in fair queueing, in tokens.
func (j *job) cost() float64 {
	return float64(max(j.tokens(), 1))
}

// missesDeadline reports whether the job would end after its deadline if it ran
// for d from now.
func (j *job) missesDeadline(now time.Time, d time.Duration) bool {
	return !j.work.Deadline.IsZero() && now.Add(d).After(j.work.Deadline)
}

// before reports whether j precedes k in their organisation's queue: by shed
// rank (the work that is shed last goes first), then paused work before new
// work, then by arrival.
func (j *job) before(k *job) bool {
	if j.work.ShedRank != k.work.ShedRank {
		return j.work.ShedRank < k.work.ShedRank
	}
	if r, s := j.class.resume != "", k.class.resume != ""; r != s {
		return r
	}
	return j.arrival < k.arrival
}
