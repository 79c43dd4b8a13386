package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// jobState is where a job stands in its life at the owner.
type jobState int

const (
	stateQueued jobState = iota
	stateRunning
	statePreempting // asked back, not released yet
	statePaused     // waits on the engine, holds no slot
)

// class groups work that the same endpoints can serve.
type class struct {
	model   entity.ModelID
	adapter entity.AdapterID
	resume  entity.EndpointID
}

func (c class) less(d class) bool {
	if c.model != d.model {
		return c.model < d.model
	}
	if c.adapter != d.adapter {
		return c.adapter < d.adapter
	}
	return c.resume < d.resume
}

// job is one row of the owner's request table.
type job struct {
	work  entity.Work
	from  entity.InstanceID
	class class
	tier  int
	state jobState
	seq   uint64
	// question is the entry's number of the question that made the job.
	question uint32
	// queued says that the job stands in the queue.
	queued bool
	// noWait says that the entry wants a slot or a refusal, no place in the queue.
	noWait bool
	// endpoint is where the job runs or is paused; nil while queued.
	endpoint  *endpoint
	grantedAt time.Time
	expectEnd time.Time
	// orphanedAt is when the entry instance was dropped, or gave up on a stream
	// that it could not cancel; zero while it has the stream.
	orphanedAt time.Time
	// prefill and prefillEnd estimate the processing of the prompt; for a paused
	// job prefill is what was left of it.
	prefill    time.Duration
	prefillEnd time.Time
	// stayUntil is how long a job that was not to wait stays for an engine that
	// holds part of its prompt, deferUntil how long a job passes over others.
	stayUntil, deferUntil time.Time
	// run estimates the running time on the best endpoint, were it idle, and
	// runPrefill the part of it that processes the prompt.
	run, runPrefill time.Duration
	// awaited counts the preemptions made for this job and not yet released;
	// roomFor tells a preempted job whom it makes room for.
	awaited int
	roomFor *job
}

// holdsSlot says that the job takes a slot of its endpoint.
func (j *job) holdsSlot() bool {
	return j.state == stateRunning || j.state == statePreempting
}

// tokens is what the job takes of an engine's memory.
func (j *job) tokens() int {
	return j.work.PromptTokens + j.work.MaxTokens
}

// cost is the job's share in fair queueing.
func (j *job) cost() float64 {
	return float64(max(j.tokens(), 1))
}

// late says that the job can't end by its deadline if it runs for d from now.
func (j *job) late(now time.Time, d time.Duration) bool {
	return !j.work.Deadline.IsZero() && now.Add(d).After(j.work.Deadline)
}

// before is the order within one organisation: what is lost last goes first,
// paused work before new work, then by arrival.
func (j *job) before(k *job) bool {
	if j.work.ShedRank != k.work.ShedRank {
		return j.work.ShedRank < k.work.ShedRank
	}
	if r, s := j.class.resume != "", k.class.resume != ""; r != s {
		return r
	}
	return j.seq < k.seq
}
