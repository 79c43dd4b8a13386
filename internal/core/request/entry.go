package request

import (
	"time"

	"github.com/google/btree"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/retry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// deadlineTreeDegree is the fan-out of the tree of deadlines.
const deadlineTreeDegree = 16

// Router tells an entry which owners to ask, and remembers their promises.
type Router interface {
	// Next returns the owner to ask next for w, and false when there is none
	// left: every owner in reach was tried or holds a promise that covers w.
	Next(now time.Time, w *entity.Work, tried []entity.InstanceID) (entity.InstanceID, bool)
	// OwnerOf returns the owner of one endpoint, for a stream paused there.
	OwnerOf(e entity.EndpointID) (entity.InstanceID, bool)
	// Refused records what an owner promised to a question sent at sentAt.
	Refused(owner entity.InstanceID, w *entity.Work, r entity.Refusal, sentAt time.Time)
	// MayShed says whether every owner in reach that could serve w has promised,
	// for this moment, that nothing below w's tier is being served.
	MayShed(now time.Time, w *entity.Work) bool
	// HasEndpoint says whether any endpoint in reach could serve w at all.
	HasEndpoint(w *entity.Work) bool
}

// Retries decides whether a request that was provably not run is tried again.
type Retries interface {
	// Failed decides after the given attempt, counted from 1, failed with err.
	Failed(now time.Time, work *entity.Work, attempt int, err *verdict.Error) retry.Decision
}

// Settings bound the table.
type Settings struct {
	// Self is the instance that holds the callers' connections.
	Self entity.InstanceID
	// KeepFinished is how many finished requests are remembered for callers
	// who ask by id.
	KeepFinished int
	// ReaskAfter is how long a paused request waits after a refusal.
	ReaskAfter time.Duration
}

// Entry is the table of requests and the systems that run over it.
type Entry struct {
	settings  Settings
	router    Router
	retries   Retries
	rows      map[entity.RequestID]*row
	deadlines *btree.BTreeG[*row]
	finished  *finishedTable
	ready     Ready
}

// New returns an empty table.
func New(s Settings, router Router, retries Retries) *Entry {
	return &Entry{
		settings:  s,
		router:    router,
		retries:   retries,
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
	e.ask(now, r)
}

// Claimed tells that the request's claim was read back from the log as the first.
func (e *Entry) Claimed(now time.Time, id entity.RequestID) {
	r, ok := e.rows[id]
	if !ok || r.state != StateClaiming {
		e.ready.Settlements = append(e.ready.Settlements, Settlement{ID: id, Verdict: verdict.NotRun})
		return
	}
	r.claimed = true
	e.ask(now, r)
}

// ClaimLost tells that the request must not run, and what its caller is told.
func (e *Entry) ClaimLost(now time.Time, id entity.RequestID, v *verdict.Error, earlier *Answer) {
	r, ok := e.rows[id]
	if !ok || r.state != StateClaiming {
		return
	}
	e.finish(now, r, v, earlier)
}

// ask sends the reservation to the next owner, or ends the request when none is left.
func (e *Entry) ask(now time.Time, r *row) {
	if r.resume != "" {
		e.askToResume(now, r)
		return
	}
	owner, ok := e.router.Next(now, &r.work, r.tried)
	if !ok {
		e.giveUp(now, r)
		return
	}
	e.reserve(now, r, owner)
}

// askToResume asks the present owner of the endpoint that holds the paused stream.
func (e *Entry) askToResume(now time.Time, r *row) {
	owner, ok := e.router.OwnerOf(r.resume)
	if !ok {
		e.setTimer(r, now.Add(e.settings.ReaskAfter))
		r.owner = ""
		return
	}
	e.reserve(now, r, owner)
}

func (e *Entry) reserve(now time.Time, r *row, owner entity.InstanceID) {
	if r.state != StatePaused {
		r.state = StateAsking
	}
	r.owner = owner
	r.askedAt = now
	e.ready.Reservations = append(e.ready.Reservations, ReservationTo{
		Owner:       owner,
		Reservation: entity.Reservation{Work: r.work, From: e.settings.Self, Resume: r.resume},
	})
}

// giveUp ends a request that no owner in reach takes.
func (e *Entry) giveUp(now time.Time, r *row) {
	switch {
	case !e.router.HasEndpoint(&r.work):
		e.refuse(now, r, verdict.ReasonNoEndpoint, retryAfterNoEndpoint)
	case e.router.MayShed(now, &r.work):
		e.refuse(now, r, verdict.ReasonOverload, r.retryAfter)
	default:
		e.refuse(now, r, verdict.ReasonOwnerUnreachable, retryAfterUnreachable)
	}
}

// Granted tells that an owner holds a slot for the request.
func (e *Entry) Granted(now time.Time, from entity.InstanceID, g entity.Grant) {
	r, ok := e.rows[g.ID]
	if !ok || r.owner != from || (r.state != StateAsking && r.state != StatePaused) {
		e.ready.Releases = append(e.ready.Releases, ReleaseTo{Owner: from, Release: entity.Release{ID: g.ID, Endpoint: g.Endpoint, Unused: true}})
		return
	}
	e.setTimer(r, r.work.Deadline)
	r.endpoint = g.Endpoint
	if r.state == StatePaused {
		r.state = StateRunning
		e.direct(Directive{ID: g.ID, Kind: DirectiveResume, Endpoint: g.Endpoint})
		return
	}
	r.state = StateRunning
	r.dispatches++
	e.direct(Directive{ID: g.ID, Kind: DirectiveDispatch, Endpoint: g.Endpoint, ImportFrom: g.ImportFrom})
}

// Refused tells that an owner does not take the request.
func (e *Entry) Refused(now time.Time, from entity.InstanceID, f entity.Refusal) {
	r, ok := e.rows[f.ID]
	if !ok || r.owner != from {
		return
	}
	if r.state == StatePaused {
		e.setTimer(r, minTime(now.Add(e.settings.ReaskAfter), r.work.Deadline))
		r.owner = ""
		return
	}
	if r.state != StateAsking {
		return
	}
	e.router.Refused(from, &r.work, f, r.askedAt)
	r.retryAfter = max(r.retryAfter, f.RetryAfter)
	r.tried = append(r.tried, from)
	if f.Infeasible {
		e.refuse(now, r, verdict.ReasonDeadline, f.RetryAfter)
		return
	}
	e.ask(now, r)
}

// OwnerLost tells that an owner can't be reached any more, or that what it was
// asked is lost. Undispatched requests go to another owner: the lost one can't
// dispatch them, as only this entry can.
func (e *Entry) OwnerLost(now time.Time, owner entity.InstanceID) {
	for _, r := range e.sortedRows() {
		if r.owner != owner {
			continue
		}
		switch r.state {
		case StateAsking:
			r.tried = append(r.tried, owner)
			e.ask(now, r)
		case StatePaused:
			e.askToResume(now, r)
		}
	}
}

// Unreachable tells that a question could not be delivered to an owner.
func (e *Entry) Unreachable(now time.Time, owner entity.InstanceID, id entity.RequestID) {
	r, ok := e.rows[id]
	if !ok || r.owner != owner {
		return
	}
	switch r.state {
	case StateAsking:
		r.tried = append(r.tried, owner)
		e.ask(now, r)
	case StatePaused:
		e.setTimer(r, minTime(now.Add(e.settings.ReaskAfter), r.work.Deadline))
		r.owner = ""
	}
}

// Reask repeats the questions that an owner has not answered, after the
// connection to it was lost. Owners answer a repeated question again.
func (e *Entry) Reask(now time.Time, owner entity.InstanceID) {
	for _, r := range e.sortedRows() {
		if r.owner == owner && (r.state == StateAsking || r.state == StatePaused) {
			e.reserve(now, r, owner)
		}
	}
}

// Preempted tells that an owner wants the slot back for a higher tier.
func (e *Entry) Preempted(now time.Time, from entity.InstanceID, p entity.Preemption) {
	r, ok := e.rows[p.ID]
	if !ok || r.owner != from || r.state != StateRunning {
		return
	}
	if !p.Pause {
		e.cancelRunning(now, r, verdict.ReasonPreempted)
		return
	}
	r.state = StatePausing
	e.direct(Directive{ID: p.ID, Kind: DirectivePause, Endpoint: r.endpoint})
}

// Paused tells that the endpoint confirmed the pause.
func (e *Entry) Paused(now time.Time, id entity.RequestID) {
	r, ok := e.rows[id]
	if !ok || r.state != StatePausing {
		return
	}
	r.state = StatePaused
	r.resume = r.endpoint
	e.release(r, entity.Release{ID: id, Endpoint: r.endpoint, Paused: true})
	e.ask(now, r)
}

// Ended tells how a dispatch ended: a nil error means a whole answer.
func (e *Entry) Ended(now time.Time, id entity.RequestID, end End) {
	r, ok := e.rows[id]
	if !ok || r.state == StateAsking || r.state == StateClaiming {
		return
	}
	end.Release.ID, end.Release.Endpoint = id, r.endpoint
	e.release(r, end.Release)
	if end.Err == nil {
		e.finish(now, r, nil, end.Answer)
		return
	}
	if end.Err.Verdict == verdict.NotRun && !r.cancelled && e.retry(now, r, end.Err) {
		return
	}
	e.finish(now, r, end.Err, end.Answer)
}

// retry puts a request that was not run back, to ask again after a pause.
func (e *Entry) retry(now time.Time, r *row, err *verdict.Error) bool {
	d := e.retries.Failed(now, &r.work, r.dispatches, err)
	if !d.Retry {
		return false
	}
	e.ready.Retries = append(e.ready.Retries, Retry{ID: r.work.ID, Reason: err.Reason})
	r.state, r.owner, r.endpoint, r.resume = StateAsking, "", "", ""
	e.setTimer(r, minTime(now.Add(d.Wait), r.work.Deadline))
	return true
}

// CallerGone tells that the caller closed its connection. Work that may not be
// repeated goes on, so that its outcome can be recorded.
func (e *Entry) CallerGone(now time.Time, id entity.RequestID) {
	r, ok := e.rows[id]
	if !ok || (r.work.NonIdempotent && r.state == StateRunning) {
		return
	}
	e.abandon(now, r, verdict.ReasonCallerGone, 0)
}

// abandon ends a request in whatever state it is, with the verdict that is true for it.
func (e *Entry) abandon(now time.Time, r *row, reason verdict.Reason, retryAfter time.Duration) {
	switch r.state {
	case StateClaiming:
		e.refuse(now, r, reason, retryAfter)
	case StateAsking:
		e.cancelReservation(r)
		e.refuse(now, r, reason, retryAfter)
	case StateRunning, StatePausing, StatePaused:
		e.cancelRunning(now, r, reason)
	}
}

func (e *Entry) cancelReservation(r *row) {
	if r.owner != "" {
		e.ready.Cancels = append(e.ready.Cancels, CancelTo{Owner: r.owner, ID: r.work.ID})
	}
}

// cancelRunning stops a dispatched request. Its end is reported by Ended.
func (e *Entry) cancelRunning(_ time.Time, r *row, reason verdict.Reason) {
	if r.cancelled {
		return
	}
	if r.state == StatePaused {
		e.cancelReservation(r)
	}
	r.cancelled = true
	r.state = StateRunning
	e.deadlines.Delete(r)
	e.direct(Directive{ID: r.work.ID, Kind: DirectiveCancel, Endpoint: r.endpoint,
		Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: reason, Message: "the request was stopped after its dispatch"}})
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
		if r.owner == "" && (r.state == StatePaused || r.state == StateAsking) {
			e.ask(now, r)
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
