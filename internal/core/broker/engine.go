package broker

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// run is a granted request.
type run struct {
	id     entity.RequestID
	from   entity.InstanceID
	number uint32
	pool   *pool
	engine *engine

	promptTokens, answerTokens int
	grantedAt                  time.Time
	// expectStart is when the first event was expected.
	expectStart time.Time
	started     bool
	// expires is when the slot counts as free without word of the entry, heardOf
	// when the entry spoke of it or was asked about it last.
	expires, heardOf time.Time
}

// engine is one row of the table of endpoints.
type engine struct {
	row  catalog.Endpoint
	runs map[entity.RequestID]*run
	// prefillEnd is when all granted prompts are expected to be processed.
	prefillEnd time.Time
	pace       pace
	failures   float64 // rate
	// pausedUntil is when it gets requests again after it refused or failed.
	pausedUntil time.Time
	// silent is set while a request is long overdue there.
	silent bool
	// rounding, from 0 up to 1, decides which parts of a slot are rounded up, see part.go; first marks the pool's highest.
	rounding float64
	first    bool
}

func newEngine(row *catalog.Endpoint, p pace) *engine {
	p.prompts, p.answers = 0, 0 // nothing was learned of this one
	return &engine{row: *row, runs: make(map[entity.RequestID]*run), pace: p}
}

// free is the number of slots that may be granted.
func (e *engine) free(now time.Time, part float64) int {
	if e.row.Leaving || e.silent || now.Before(e.pausedUntil) {
		return 0
	}
	return max(0, e.limit(part)-len(e.runs))
}

// firstEventIn estimates the time to the first event of a prompt that is
// granted now, behind those that are still being processed.
func (e *engine) firstEventIn(now time.Time, promptTokens int) time.Duration {
	return max(0, e.prefillEnd.Sub(now)) + e.pace.prefill(promptTokens) + dispatchOverhead
}

// answerIn estimates the time to the end of the answer to a request that is granted now.
func (e *engine) answerIn(now time.Time, a *SlotRequest) time.Duration {
	return e.firstEventIn(now, a.PromptTokens) + e.pace.answer(a.AnswerTokens)
}

// take counts a run.
func (e *engine) take(now time.Time, r *run) {
	r.engine = e
	e.runs[r.id] = r
	r.expectStart = now.Add(e.firstEventIn(now, r.promptTokens))
	if !r.started {
		e.prefillEnd = r.expectStart.Add(-dispatchOverhead)
	}
}

// begun takes in that a run's first event has come.
func (e *engine) begun(now time.Time, r *run, after time.Duration) {
	r.started = true
	e.silent = false
	expected := r.expectStart.Sub(r.grantedAt)
	e.pace.learnPrefill(r.promptTokens, expected-dispatchOverhead, after-dispatchOverhead)
	if !e.waiting() {
		e.prefillEnd = now // nothing is left to be processed
	}
}

// waiting says that a granted prompt has not led to a first event yet.
func (e *engine) waiting() bool {
	for _, r := range e.runs {
		if !r.started {
			return true
		}
	}
	return false
}

// end takes a run off.
func (e *engine) end(now time.Time, r *run) {
	delete(e.runs, r.id)
	if len(e.runs) == 0 {
		e.silent = false
	}
	if !r.started && !e.waiting() {
		e.prefillEnd = now
	}
}

// result takes in how a run ended.
func (e *engine) result(now time.Time, d Done) {
	if d.NotRun {
		e.pausedUntil = now.Add(shedPause)
		return
	}
	failed := 0.0
	if d.Failed {
		failed = 1
	} else {
		e.silent = false
	}
	e.failures += failureWeight * (failed - e.failures)
	if e.failures >= failureLimit && d.Failed {
		e.pausedUntil = now.Add(failurePause)
		e.failures = failureLimit / 2 // one more failure pauses it again
	}
}

// overdue says that a request should have begun here long ago, though its
// entry is there to tell.
func (e *engine) overdue(now time.Time, heard map[entity.InstanceID]time.Time) bool {
	for _, r := range e.runs {
		if r.started || now.Sub(heard[r.from]) > heardLately {
			continue
		}
		allowed := max(minOverdue, overdueFactor*r.expectStart.Sub(r.grantedAt))
		if now.Sub(r.grantedAt) > allowed {
			return true
		}
	}
	return false
}
