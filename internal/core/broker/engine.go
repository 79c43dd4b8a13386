package broker

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/concurrency"
	"github.com/medlarhold/medlarhold/internal/core/endpointlimit"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// run is a granted request, which occupies a slot.
type run struct {
	id     entity.RequestID
	from   entity.InstanceID
	seq    uint32
	pool   *pool
	engine *engine

	promptTokens, answerTokens int
	// need is the memory of the engine that the run takes, as counted there.
	need      need
	grantedAt time.Time
	// expectedStart is when the first event was expected at the time of the grant.
	expectedStart time.Time
	started       bool
	// org is the organisation that is charged in the run's rank, for its weight, with the time in charged.
	rank    int
	org     entity.OrgID
	weight  float64
	charged time.Duration
	// expires is when the slot is freed if its end is not reported. lastConfirmed is when the entry
	// last confirmed that it uses the slot, or was asked about it.
	expires, lastConfirmed time.Time
	// observed is what expected.go learns from.
	observed observation
}

// engine is an endpoint of the pool with the runs on it and the estimates about it.
type engine struct {
	endpoint catalog.Endpoint
	runs     map[entity.RequestID]*run
	// prefillEnd is when all granted prompts are expected to be processed.
	prefillEnd  time.Time
	times       tokenTimes
	fixed       *fixedTime // that of the pool
	failureRate float64    // moving average, from 0 to 1; reduced when the engine is paused
	// failureEstimate is the moving average of the share of failed requests.
	failureEstimate float64
	// pausedUntil is the time until which the engine gets no requests after repeated failures.
	pausedUntil time.Time
	refusals    refusals
	// unresponsive is set while a request on the engine is long overdue.
	unresponsive bool
	// startedAt is when an answer to each entry's request last began.
	startedAt map[entity.InstanceID]time.Time
	// rounding, in [0, 1), decides whether the share of the engine's slots is rounded up, see
	// slotshare.go. highestRounding marks the engine of the pool with the highest value.
	rounding        float64
	highestRounding bool
	// staggered is set if other instances have pacers of their own for the engine.
	staggered bool
	// brittle is set if the engine must not have to turn requests away.
	brittle bool
	// memory is what the pool knows about its engines' memory, nil if nothing, and held what the runs
	// are expected to take of it.
	memory *memory
	held   need
	// reserved is set if the engine gets only requests that are meant for its version. number counts the
	// engines of that version in the zone, of which there are alike.
	reserved      bool
	number, alike int
	// grantedAt is when a slot of the engine was last granted.
	grantedAt time.Time
	// pacer keeps the limit that the engine has stated, nil if it has none.
	pacer *endpointlimit.Pacer
	// service is what is known of how the engine serves, see expected.go.
	service service
}

func newEngine(row *catalog.Endpoint, p *pool) *engine {
	times := p.mean
	times.promptSamples, times.answerSamples = 0, 0 // no samples of this engine itself
	return &engine{
		endpoint: *row, runs: make(map[entity.RequestID]*run), times: times, fixed: &p.fixed,
		service: service{limiter: concurrency.New(row.Slots), model: &p.first},
	}
}

// free returns the number of slots that may be granted now.
func (e *engine) free(now time.Time, slotShare float64) int {
	if e.unusable(now) || e.limitWait(now) > 0 {
		return 0
	}
	if e.pacer != nil {
		return min(1, e.unoccupied(slotShare))
	}
	return e.unoccupied(slotShare)
}

// unusable reports whether the engine gets no requests, whatever its slots.
func (e *engine) unusable(now time.Time) bool {
	return e.endpoint.Leaving || e.unresponsive || e.paused(now) > 0
}

// unoccupied returns the number of slots without a run, whether or not they may be granted.
func (e *engine) unoccupied(slotShare float64) int { return max(0, e.limit(slotShare)-len(e.runs)) }

// firstEventIn estimates the time to the first event of a request that is granted now. Its prompt
// is processed after those granted before.
func (e *engine) firstEventIn(now time.Time, promptTokens int) time.Duration {
	return max(0, e.prefillEnd.Sub(now)) + e.promptIn(now, promptTokens)
}

// answerIn estimates the time to the end of the answer to a request that is granted now.
func (e *engine) answerIn(now time.Time, req *SlotRequest) time.Duration {
	return e.firstEventIn(now, req.PromptTokens) + e.times.answer(req.AnswerTokens)
}

// addRun adds a run to the engine and advances prefillEnd by its prompt.
func (e *engine) addRun(now time.Time, r *run) {
	r.engine = e
	e.runs[r.id] = r
	e.hold(r)
	e.observeGrant(now, r)
	r.expectedStart = now.Add(e.firstEventIn(now, r.promptTokens))
	if !r.started {
		e.prefillEnd = r.expectedStart.Add(-e.overhead(now))
	}
}

// runStarted records that a run's first event has arrived, after the given time since its dispatch.
func (e *engine) runStarted(now time.Time, r *run, after time.Duration) {
	r.started = true
	e.unresponsive = false
	if e.startedAt == nil {
		e.startedAt = make(map[entity.InstanceID]time.Time)
	}
	e.startedAt[r.from] = now
	expected := r.expectedStart.Sub(r.grantedAt)
	fixed := e.fixed.estimate()
	e.times.learnPrefill(r.promptTokens, expected-fixed, after-fixed, e.fixed.beyondOverhead())
	e.fixed.learn(now, after)
	if !e.prefillPending() {
		e.prefillEnd = now // no prompt is left to process
	}
}

// prefillPending reports whether a granted prompt has not led to a first event yet.
func (e *engine) prefillPending() bool {
	for _, r := range e.runs {
		if !r.started {
			return true
		}
	}
	return false
}

// removeRun removes a run from the engine.
func (e *engine) removeRun(now time.Time, r *run) {
	delete(e.runs, r.id)
	e.unhold(r)
	e.service.limiter.SetRunning(now, len(e.runs))
	if len(e.runs) == 0 {
		e.unresponsive = false
	}
	if !r.started && !e.prefillPending() {
		e.prefillEnd = now
	}
}

// paused returns how long the engine still gets no requests of any entry.
func (e *engine) paused(now time.Time) time.Duration {
	return max(0, e.pausedUntil.Sub(now), e.refusals.all.until.Sub(now))
}

// avoids reports whether a request must not go to the engine now, although others may.
func (e *engine) avoids(now time.Time, req *SlotRequest) bool {
	return e.excludes(now, req) || e.lacksMemory(req)
}

// excludes reports whether a request must not go to the engine, whatever runs there.
func (e *engine) excludes(now time.Time, req *SlotRequest) bool {
	if !req.admits(e.endpoint.Version) || e.outOfSpread(now, req) {
		return true
	}
	return slices.Contains(req.Avoid, e.endpoint.ID) || e.refusals.blocks(now, req.From)
}

// recordOutcome updates the failure rate with the outcome of an entry's run, and pauses the engine
// after refusals or too many failures.
func (e *engine) recordOutcome(now time.Time, from entity.InstanceID, d Done) {
	if d.NotRun {
		e.refusals.add(now, from, d.Unreachable)
		if e.brittle && !d.Unreachable {
			e.refusals.all.until = now.Add(brittlePause)
		}
		return
	}
	e.refusals.clear(from)
	failed := 0.0
	if d.Failed {
		failed = 1
	} else {
		e.unresponsive = false
	}
	e.failureRate += failureWeight * (failed - e.failureRate)
	e.failureEstimate += failureWeight * (failed - e.failureEstimate)
	if e.failureRate >= failureLimit && d.Failed {
		e.pausedUntil = now.Add(failurePause)
		e.failureRate = failureLimit / 2 // the next failure pauses the engine again
	}
}

// overdue reports whether a request on the engine should have begun long ago. Requests of entries
// without a recent message in lastMessage don't count: their reports may just not get through. Nor do
// those of an entry while answers to others begin: it is the entry that does not reach the engine.
func (e *engine) overdue(now time.Time, lastMessage map[entity.InstanceID]time.Time) bool {
	for _, r := range e.runs {
		if r.started || now.Sub(lastMessage[r.from]) > entryActiveWithin {
			continue
		}
		allowed := max(minOverdue, overdueFactor*r.expectedStart.Sub(r.grantedAt))
		if now.Sub(r.grantedAt) > allowed && !e.servesOthers(r) {
			return true
		}
	}
	return false
}

// servesOthers reports whether the answer to a request of another entry has begun that was sent
// no sooner than r would have been expected to begin.
func (e *engine) servesOthers(r *run) bool {
	for from, at := range e.startedAt {
		if from != r.from && at.After(r.expectedStart) {
			return true
		}
	}
	return false
}
