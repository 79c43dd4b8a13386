package admission

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/prefix"
)

const (
	// failuresToSuspend is how many failures in a row suspend an endpoint.
	failuresToSuspend = 3
	// suspendFor is how long it then gets no work.
	suspendFor = 2 * time.Second
)

// endpoint is one row of the owner's endpoint table.
type endpoint struct {
	row entity.Endpoint
	// jobs run here or are paused here, in the order of their grants.
	jobs []*job
	// running counts the taken slots by tier, preempted ones included.
	running []int
	slots   int // taken
	kv      int // tokens taken, paused streams included
	floors  floors
	index   *prefix.Index
	// quietUntil is when promises of an earlier owner have run out, settledAt
	// when all that it runs is known.
	quietUntil time.Time
	settledAt  time.Time
	// prefillUntil estimates when all granted prompts are processed.
	prefillUntil time.Time
	// unknown is set while the endpoint reports more work than is known here;
	// ended holds when known work ended, since the last report.
	unknown        bool
	ended          []time.Time
	failures       int // in a row
	failedAt       time.Time
	suspendedUntil time.Time
	gone           bool
}

func (e *endpoint) serves(c class) bool {
	if c.resume != "" && c.resume != e.row.ID {
		return false
	}
	return eligible.Loaded(&e.row, c.model, c.adapter)
}

// couldServe says that e is eligible for j: it serves the class, takes new
// work, and is large enough.
func (e *endpoint) couldServe(j *job) bool {
	if j.class.resume != "" {
		return j.class.resume == e.row.ID
	}
	return eligible.Serves(&e.row, &j.work)
}

// open says that e may be granted to anyone at all now.
func (e *endpoint) open(now time.Time, ahead time.Duration) bool {
	return !e.gone && e.slots < e.row.Slots && !now.Before(e.suspendedUntil) && e.prefillLeft(now) <= ahead
}

// allows says that no promise keeps tier t off e.
func (e *endpoint) allows(now time.Time, t int) bool {
	if t > 0 && now.Before(e.quietUntil) {
		return false
	}
	return e.floors.allow(now, t)
}

// fits says that e has memory for j. A paused job has it already.
func (e *endpoint) fits(j *job) bool {
	return e.row.KVTokens == 0 || j.class.resume == e.row.ID || e.kv+j.tokens() <= e.row.KVTokens
}

// lowest returns the lowest tier that runs on e, or -1.
func (e *endpoint) lowest() int {
	for t := len(e.running) - 1; t >= 0; t-- {
		if e.running[t] > 0 {
			return t
		}
	}
	return -1
}

// take gives j a slot.
func (e *endpoint) take(j *job) {
	if j.endpoint != e {
		e.jobs = append(e.jobs, j)
		e.kv += j.tokens()
	}
	j.endpoint = e
	j.state = stateRunning
	e.running[j.tier]++
	e.slots++
}

// pause frees j's slot but not its memory.
func (e *endpoint) pause(j *job) {
	e.freeSlot(j)
	j.state = statePaused
}

// drop frees all that j holds.
func (e *endpoint) drop(j *job) {
	e.freeSlot(j)
	e.kv -= j.tokens()
	if i := slices.Index(e.jobs, j); i >= 0 {
		e.jobs = slices.Delete(e.jobs, i, i+1)
	}
	j.endpoint = nil
}

func (e *endpoint) freeSlot(j *job) {
	if j.holdsSlot() {
		e.running[j.tier]--
		e.slots--
	}
}

// justFailed says that the latest request here failed, not long ago.
func (e *endpoint) justFailed(now time.Time) bool {
	return e.failures > 0 && now.Sub(e.failedAt) < suspendFor
}

// result takes in whether a request went well.
func (e *endpoint) result(now time.Time, failed bool) {
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
