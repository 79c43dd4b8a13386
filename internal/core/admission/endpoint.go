package admission

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/prefix"
)

const (
	// failuresToSuspend is the number of consecutive failures that suspend an
	// endpoint.
	failuresToSuspend = 3
	// suspendFor is how long a suspended endpoint is granted no work.
	suspendFor = 2 * time.Second
)

// endpoint is an owned endpoint with its jobs: one entry of the owner's endpoint
// table.
type endpoint struct {
	row entity.Endpoint
	// jobs run or are paused on the endpoint, in the order of their grants.
	jobs []*job
	// running counts the occupied slots by tier, including those of preempted jobs.
	running   []int
	slotsUsed int // occupied slots
	kvUsed    int // KV tokens in use, including those of paused streams
	floors    floors
	index     *prefix.Index
	// restrictedUntil is when all guarantees of a previous owner have expired.
	// settledAt is when all work that runs on the endpoint is known.
	restrictedUntil time.Time
	settledAt       time.Time
	// prefillUntil is the estimated time when all granted prompts are processed.
	prefillUntil time.Time
	// unknown estimates the work that the owner doesn't know. ended holds the times when
	// known work ended since the last report.
	unknown        unknownRuns
	ended          []time.Time
	failures       int // consecutive
	failedAt       time.Time
	suspendedUntil time.Time
	lost           bool
}

func (e *endpoint) serves(c workClass) bool {
	if c.resume != "" && c.resume != e.row.ID {
		return false
	}
	return eligible.Loaded(&e.row, c.model, c.adapter)
}

// couldServe reports whether e is eligible for j: it serves j's class, accepts
// new work, and has enough memory when idle.
func (e *endpoint) couldServe(j *job) bool {
	if j.class.resume != "" {
		return j.class.resume == e.row.ID
	}
	return eligible.Serves(&e.row, &j.work)
}

// available reports whether e may be granted to any job now: it has a free slot,
// is not suspended, and its prefill backlog is at most maxBacklog.
func (e *endpoint) available(now time.Time, maxBacklog time.Duration) bool {
	return !e.lost && e.slotsUsed < e.row.Slots && !now.Before(e.suspendedUntil) && e.prefillLeft(now) <= maxBacklog
}

// allows reports whether work of tier t may be granted a slot of e without
// breaking a guarantee of this owner or of a previous one.
func (e *endpoint) allows(now time.Time, t int) bool {
	if t > 0 && now.Before(e.restrictedUntil) {
		return false
	}
	return e.floors.allow(now, t)
}

// fits reports whether e has free memory for j. A job paused on e holds its memory
// already.
func (e *endpoint) fits(j *job) bool {
	return e.row.KVTokens == 0 || j.class.resume == e.row.ID || e.kvUsed+j.tokens() <= e.row.KVTokens
}

// lowestTier returns the lowest tier that runs on e, or -1 if e is idle.
func (e *endpoint) lowestTier() int {
	for t := len(e.running) - 1; t >= 0; t-- {
		if e.running[t] > 0 {
			return t
		}
	}
	return -1
}

// assign has j occupy a slot of e, and memory if it holds none there yet.
func (e *endpoint) assign(j *job) {
	if j.endpoint != e {
		e.jobs = append(e.jobs, j)
		e.kvUsed += j.tokens()
	}
	j.endpoint = e
	j.state = stateRunning
	e.running[j.tier]++
	e.slotsUsed++
}

// pause frees j's slot but keeps its memory occupied.
func (e *endpoint) pause(j *job) {
	e.freeSlot(j)
	j.state = statePaused
}

// remove frees j's slot and memory, and removes j from e.
func (e *endpoint) remove(j *job) {
	e.freeSlot(j)
	e.kvUsed -= j.tokens()
	if i := slices.Index(e.jobs, j); i >= 0 {
		e.jobs = slices.Delete(e.jobs, i, i+1)
	}
	j.endpoint = nil
}

func (e *endpoint) freeSlot(j *job) {
	if j.holdsSlot() {
		e.running[j.tier]--
		e.slotsUsed--
	}
}

// recentlyFailed reports whether the latest request on e failed within suspendFor.
func (e *endpoint) recentlyFailed(now time.Time) bool {
	return e.failures > 0 && now.Sub(e.failedAt) < suspendFor
}

// recordResult records the result of a request, and suspends e after
// failuresToSuspend consecutive failures.
func (e *endpoint) recordResult(now time.Time, failed bool) {
	if !failed {
		e.failures = 0
		return
	}
	e.failures++
	e.failedAt = now
	if e.failures >= failuresToSuspend {
		e.suspendedUntil = now.Add(suspendFor)
	}
}
