package request

import (
	"time"

	"github.com/google/btree"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/retry"
	"github.com/medlarhold/medlarhold/internal/core/routing"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// timerTreeDegree is the fan-out of the tree of timers.
const timerTreeDegree = 16

// Router chooses the owners to which an entry sends reservations, and records their
// answers.
type Router interface {
	// Next returns the owner to try next for w, and false if there is none left.
	Next(now time.Time, w *entity.Work, tried []routing.Choice) (routing.Choice, bool)
	// MayShed reports whether w may be refused for overload: either every owner
	// that could serve w, reachable or not, guarantees for the current time that
	// nothing below w's tier is being served, or every one of them has answered
	// that it could not serve w by its deadline at all.
	MayShed(now time.Time, w *entity.Work, tried []routing.Choice) bool
	// Reaches reports whether any reachable owner has an endpoint that could
	// serve w.
	Reaches(now time.Time, w *entity.Work) bool
	// Granted, Refused, Unreachable and Finished record the results of
	// reservations.
	Granted(now time.Time, from entity.InstanceID, w *entity.Work, g entity.Grant)
	Refused(now time.Time, from entity.InstanceID, w *entity.Work, f entity.Refusal, sentAt time.Time)
	Unreachable(now time.Time, owner entity.InstanceID)
	Finished(rel entity.Release)
	// OwnerOf returns the owner of an endpoint, for a stream paused there, and
	// false if the endpoint has none.
	OwnerOf(e entity.EndpointID) (entity.InstanceID, bool)
	// HasEndpoint reports whether any configured endpoint could serve w.
	HasEndpoint(w *entity.Work) bool
}

// Retries decides whether a request that was provably not run is retried.
type Retries interface {
	// Failed decides what follows after attempt number attempt, counted from 1,
	// has failed with err.
	Failed(now time.Time, work *entity.Work, attempt int, err *verdict.Error) retry.Decision
}

// Claims decides whether a non-idempotent request may be dispatched.
type Claims interface {
	// MayDispatch reports whether a claimed request may still be dispatched. It
	// is called immediately before the dispatch; after false the request must
	// not be dispatched.
	MayDispatch(now time.Time, id entity.RequestID) bool
	// NotSent reverts the dispatch, because nothing ran.
	NotSent(id entity.RequestID)
}

// Settings of an Entry.
type Settings struct {
	// Self is the local instance, which holds the callers' connections.
	Self entity.InstanceID
	// KeepFinished is how many finished requests are kept for status queries.
	KeepFinished int
	// RetryInterval is the pause before a request that no owner took and that may
	// not be shed starts another round.
	RetryInterval time.Duration
	// FirstQueueWait is how long a request waits in an owner's queue before other
	// owners are tried; the wait doubles in each round up to MaxQueueWait.
	FirstQueueWait, MaxQueueWait time.Duration
	// DispatchWithin is the maximum time between a grant and its dispatch.
	DispatchWithin time.Duration
}

// Entry is the table of requests and the operations on it.
type Entry struct {
	settings Settings
	router   Router
	retries  Retries
	claims   Claims
	rows     map[entity.RequestID]*row
	timers   *btree.BTreeG[*row]
	finished *finishedTable
	ready    Ready
}

// New returns an empty table.
func New(s Settings, router Router, retries Retries, claims Claims) *Entry {
	return &Entry{
		settings: s,
		router:   router,
		retries:  retries,
		claims:   claims,
		rows:     make(map[entity.RequestID]*row),
		timers:   btree.NewG(timerTreeDegree, earlierTimer),
		finished: newFinishedTable(s.KeepFinished),
	}
}

// earlierTimer orders rows by the time of their next timer, then by ID.
func earlierTimer(a, b *row) bool {
	if !a.timer.Equal(b.timer) {
		return a.timer.Before(b.timer)
	}
	return a.work.ID < b.work.ID
}

// Arrive adds a request whose limits and caller key have been checked already.
func (e *Entry) Arrive(now time.Time, a Arrival) {
	r := &row{work: a.Work, key: a.Key, bodyHash: a.BodyHash, arrived: now, timer: a.Work.Deadline}
	e.rows[r.work.ID] = r
	e.timers.ReplaceOrInsert(r)
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

// Claimed reports that the request's claim was read back from the log as the first
// one for its key.
func (e *Entry) Claimed(now time.Time, id entity.RequestID) {
	if r, ok := e.rows[id]; ok && r.state == StateClaiming {
		e.reserveNext(now, r)
	}
}

// Claiming reports whether a request waits for the decision on its key.
func (e *Entry) Claiming(id entity.RequestID) bool {
	r, ok := e.rows[id]
	return ok && r.state == StateClaiming
}

// Reject finishes a request that is refused on arrival.
func (e *Entry) Reject(now time.Time, a Arrival, v *verdict.Error) {
	e.finished.add(Status{ID: a.Work.ID, Org: a.Work.Org, State: stateFinished, Verdict: v.Verdict, Reason: v.Reason, At: now})
	e.addDirective(Directive{ID: a.Work.ID, Kind: DirectiveFinish, Err: v})
}

// ClaimLost reports that another request holds the key, so that this one must not
// run. Its caller gets v, or the earlier request's answer if v is nil.
func (e *Entry) ClaimLost(now time.Time, id entity.RequestID, v *verdict.Error, earlier *Answer) {
	r, ok := e.rows[id]
	if !ok || r.state != StateClaiming {
		return
	}
	r.lostClaim = true
	e.finish(now, r, v, earlier)
}

// Tick advances time to now: it handles deadlines and reservations that are due.
func (e *Entry) Tick(now time.Time) {
	for {
		r, ok := e.timers.Min()
		if !ok || now.Before(r.timer) {
			return
		}
		e.timers.Delete(r)
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
		return // it runs to its end, which the endpoint client bounds
	}
	e.abandon(now, r, verdict.ReasonDeadline, 0)
}

// Len returns the number of requests that have no final answer yet.
func (e *Entry) Len() int { return len(e.rows) }

// Ready returns the batch to carry out, and clears it.
func (e *Entry) Ready() Ready {
	r := e.ready
	e.ready = Ready{}
	return r
}
