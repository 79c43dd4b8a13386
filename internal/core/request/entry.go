package request

import (
	"time"

	"github.com/google/btree"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/retry"
	"github.com/medlarhold/medlarhold/internal/core/routing"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// deadlineTreeDegree is the fan-out of the tree of deadlines.
const deadlineTreeDegree = 16

// Router tells an entry whom to ask, and remembers what the owners answered.
type Router interface {
	// Next returns whom to ask next for w, and false when there is nobody left.
	Next(now time.Time, w *entity.Work, tried []routing.Choice) (routing.Choice, bool)
	// MayShed says whether every owner in reach that could serve w has promised,
	// for this moment, that nothing below w's tier is being served, or has said
	// that it could not serve w in time at all.
	MayShed(now time.Time, w *entity.Work, tried []routing.Choice) bool
	// Reaches says whether any owner in reach has an endpoint that could serve w.
	Reaches(now time.Time, w *entity.Work) bool
	// Granted, Refused, Unreachable and Finished take in what came of a question.
	Granted(now time.Time, from entity.InstanceID, w *entity.Work, g entity.Grant)
	Refused(now time.Time, from entity.InstanceID, w *entity.Work, f entity.Refusal, sentAt time.Time)
	Unreachable(now time.Time, owner entity.InstanceID)
	Finished(rel entity.Release)
	// OwnerOf returns the owner of one endpoint, for a stream paused there.
	OwnerOf(e entity.EndpointID) (entity.InstanceID, bool)
	// HasEndpoint says whether any endpoint that is configured could serve w.
	HasEndpoint(w *entity.Work) bool
}

// Retries decides whether a request that was provably not run is tried again.
type Retries interface {
	// Failed decides after the given attempt, counted from 1, failed with err.
	Failed(now time.Time, work *entity.Work, attempt int, err *verdict.Error) retry.Decision
}

// Claims holds the last word on the dispatch of non-idempotent requests.
type Claims interface {
	// MayDispatch is asked at the last moment before a claimed request goes to
	// an endpoint. After false it must not be dispatched.
	MayDispatch(now time.Time, id entity.RequestID) bool
	// NotSent takes the dispatch back, on proof that nothing ran.
	NotSent(id entity.RequestID)
}

// Settings bound the table.
type Settings struct {
	// Self is the instance that holds the callers' connections.
	Self entity.InstanceID
	// KeepFinished is how many finished requests are remembered for callers
	// who ask by id.
	KeepFinished int
	// RetryInterval is how long a request waits that nobody took and that may
	// not be shed, before it asks again.
	RetryInterval time.Duration
	// FirstQueueWait is how long a request stays in an owner's queue before it
	// looks for room elsewhere; the pause doubles up to MaxQueueWait.
	FirstQueueWait, MaxQueueWait time.Duration
	// DispatchWithin is how long a grant may wait for its dispatch.
	DispatchWithin time.Duration
}

// Entry is the table of requests and the systems that run over it.
type Entry struct {
	settings  Settings
	router    Router
	retries   Retries
	claims    Claims
	rows      map[entity.RequestID]*row
	deadlines *btree.BTreeG[*row]
	finished  *finishedTable
	ready     Ready
}

// New returns an empty table.
func New(s Settings, router Router, retries Retries, claims Claims) *Entry {
	return &Entry{
		settings:  s,
		router:    router,
		retries:   retries,
		claims:    claims,
		rows:      make(map[entity.RequestID]*row),
		deadlines: btree.NewG(deadlineTreeDegree, earlierDeadline),
		finished:  newFinishedTable(s.KeepFinished),
	}
}

// earlierDeadline orders rows by the time of their next timer, then by id.
func earlierDeadline(a, b *row) bool {
	if !a.timer.Equal(b.timer) {
		return a.timer.Before(b.timer)
	}
	return a.work.ID < b.work.ID
}

// Arrive takes a request in. Limits and the caller's key are already checked.
func (e *Entry) Arrive(now time.Time, a Arrival) {
	r := &row{work: a.Work, key: a.Key, bodyHash: a.BodyHash, arrived: now, timer: a.Work.Deadline}
	e.rows[r.work.ID] = r
	e.deadlines.ReplaceOrInsert(r)
	if !now.Before(r.work.Deadline) {
		e.refuse(now, r, verdict.ReasonDeadline, 0)
		return
	}
	if r.work.NonIdempotent {
		r.state = StateClaiming
		e.ready.Proposals = append(e.ready.Proposals, Proposal{ID: r.work.ID, Org: r.work.Org, Key: r.key, BodyHash: r.bodyHash})
		return
	}
	e.reserveNext(now, r)
}

// Claimed tells that the request's claim was read back from the log as the first.
func (e *Entry) Claimed(now time.Time, id entity.RequestID) {
	if r, ok := e.rows[id]; ok && r.state == StateClaiming {
		e.reserveNext(now, r)
	}
}

// Claiming says whether a request waits for the decision on its key.
func (e *Entry) Claiming(id entity.RequestID) bool {
	r, ok := e.rows[id]
	return ok && r.state == StateClaiming
}

// Reject answers a request that is not taken in.
func (e *Entry) Reject(now time.Time, a Arrival, v *verdict.Error) {
	e.finished.add(Status{ID: a.Work.ID, Org: a.Work.Org, State: stateFinished, Verdict: v.Verdict, Reason: v.Reason, At: now})
	e.addDirective(Directive{ID: a.Work.ID, Kind: DirectiveFinish, Err: v})
}

// ClaimLost tells that the request must not run, and what its caller is told.
func (e *Entry) ClaimLost(now time.Time, id entity.RequestID, v *verdict.Error, earlier *Answer) {
	r, ok := e.rows[id]
	if !ok || r.state != StateClaiming {
		return
	}
	r.lostClaim = true
	e.finish(now, r, v, earlier)
}

// Tick runs the timers: deadlines, and questions of paused requests that are due again.
func (e *Entry) Tick(now time.Time) {
	for {
		r, ok := e.deadlines.Min()
		if !ok || now.Before(r.timer) {
			return
		}
		e.deadlines.Delete(r)
		e.timerFired(now, r)
	}
}

func (e *Entry) timerFired(now time.Time, r *row) {
	if now.Before(r.work.Deadline) {
		e.setTimer(r, r.work.Deadline)
		if r.state == StateReserving || (r.state == StatePaused && len(r.pending) == 0) {
			e.reserveNext(now, r)
		}
		return
	}
	if r.work.NonIdempotent && r.state == StateRunning {
		return // it runs to its end; the endpoint client bounds that
	}
	e.abandon(now, r, verdict.ReasonDeadline, 0)
}

// Len returns the number of requests that have no final answer yet.
func (e *Entry) Len() int { return len(e.rows) }

// Ready returns what is to be carried out, and clears the batch.
func (e *Entry) Ready() Ready {
	r := e.ready
	e.ready = Ready{}
	return r
}
