package request

import (
	"slices"
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
	// FirstPatience is how long a request stays in an owner's queue before it
	// looks for room elsewhere; the pause doubles up to MaxPatience.
	FirstPatience, MaxPatience time.Duration
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
	e.ask(now, r)
}

// Claimed tells that the request's claim was read back from the log as the first.
func (e *Entry) Claimed(now time.Time, id entity.RequestID) {
	if r, ok := e.rows[id]; ok && r.state == StateClaiming {
		e.ask(now, r)
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
	e.direct(Directive{ID: a.Work.ID, Kind: DirectiveFinish, Err: v})
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

// ask sends the reservation to the next owner. Where none is left the request
// waits in the queue that it has joined, is given up, or starts again.
func (e *Entry) ask(now time.Time, r *row) {
	if r.resume != "" {
		e.askToResume(now, r)
		return
	}
	r.state = StateAsking
	choice, ok := e.router.Next(now, &r.work, r.tried)
	switch {
	case ok:
		r.tried = append(r.tried, choice)
		e.reserve(now, r, choice)
	case len(r.asks) > 0:
		e.startRound(r)
		r.patience = min(2*r.patience, e.settings.MaxPatience)
		e.wakeAfter(now, r, r.patience)
	default:
		e.giveUp(now, r)
	}
}

// askToResume asks the present owner of the endpoint that holds the paused stream.
func (e *Entry) askToResume(now time.Time, r *row) {
	owner, ok := e.router.OwnerOf(r.resume)
	e.withdraw(r, owner)
	if ok {
		e.reserve(now, r, routing.Choice{Owner: owner, Endpoint: r.resume})
		return
	}
	e.wakeAfter(now, r, e.settings.RetryInterval)
}

// reserve sends one question. Only one question at a time may be queued; the
// others want a slot at once or a refusal.
func (e *Entry) reserve(now time.Time, r *row, c routing.Choice) {
	r.questions++
	a := ask{Choice: c, at: now, number: r.questions}
	r.asks = append(r.asks, a)
	e.question(r, a)
	if !c.NoWait {
		r.patience = e.settings.FirstPatience
		e.wakeAfter(now, r, r.patience)
	}
}

// question sends a question, for the first time or again.
func (e *Entry) question(r *row, a ask) {
	e.ready.Reservations = append(e.ready.Reservations, ReservationTo{
		Owner: a.Owner,
		Reservation: entity.Reservation{Work: r.work, From: e.settings.Self, Question: a.number,
			Resume: r.resume, NoWait: a.NoWait},
	})
}

// giveUp ends a request that no owner in reach takes, if that is proved; else
// the request starts again after a pause.
func (e *Entry) giveUp(now time.Time, r *row) {
	switch {
	case !e.router.HasEndpoint(&r.work):
		e.refuse(now, r, verdict.ReasonNoEndpoint, retryAfterNoEndpoint)
	case e.router.Reaches(now, &r.work) && e.router.MayShed(now, &r.work, r.tried):
		e.refuse(now, r, r.shedReason(), r.retryAfter)
	default:
		e.startRound(r)
		e.wakeAfter(now, r, e.settings.RetryInterval)
	}
}

// startRound lets the request ask everybody again but the owners that could
// not serve it in time at all, and the one in whose queue it waits.
func (e *Entry) startRound(r *row) {
	r.tried = slices.DeleteFunc(r.tried, func(c routing.Choice) bool {
		return !c.Infeasible && (c.NoWait || !r.asked(c.Owner))
	})
}

// Granted tells that an owner holds a slot for the request.
func (e *Entry) Granted(now time.Time, from entity.InstanceID, g entity.Grant) {
	r, ok := e.rows[g.ID]
	if ok && r.endpoint == g.Endpoint && r.granted == g.Question {
		return // a repetition of the grant that the request was dispatched on
	}
	if !ok || !r.awaits(from, g.Question) || (r.state != StateAsking && r.state != StatePaused) {
		e.unused(from, g)
		return
	}
	e.withdraw(r, from)
	e.setTimer(r, r.work.Deadline)
	e.router.Granted(now, from, &r.work, g)
	r.owner, r.endpoint, r.granted = from, g.Endpoint, g.Question
	r.heldBy(from)
	if r.state == StatePaused {
		r.state = StateRunning
		e.tellOwner(r)
		e.direct(Directive{ID: g.ID, Kind: DirectiveResume, Endpoint: g.Endpoint})
		return
	}
	if r.work.NonIdempotent && !e.claims.MayDispatch(now, g.ID) {
		e.unused(from, g)
		e.refuse(now, r, verdict.ReasonKeyExpired, 0)
		return
	}
	r.state = StateRunning
	r.dispatches++
	e.tellOwner(r)
	e.direct(Directive{ID: g.ID, Kind: DirectiveDispatch, Endpoint: g.Endpoint, ImportFrom: g.ImportFrom,
		NotAfter: now.Add(e.settings.DispatchWithin)})
}

// unused gives a slot back that the request has no use for.
func (e *Entry) unused(owner entity.InstanceID, g entity.Grant) {
	e.ready.Releases = append(e.ready.Releases, ReleaseTo{Owner: owner,
		Release: entity.Release{ID: g.ID, Question: g.Question, Endpoint: g.Endpoint, Unused: true}})
}

// withdraw takes back all questions but the one to an owner that answered.
func (e *Entry) withdraw(r *row, answered entity.InstanceID) {
	for _, a := range r.asks {
		if a.Owner != answered {
			e.ready.Cancels = append(e.ready.Cancels, CancelTo{Owner: a.Owner, ID: r.work.ID, Question: a.number})
		}
	}
	r.asks = nil
}

// Refused tells that an owner does not take the request.
func (e *Entry) Refused(now time.Time, from entity.InstanceID, f entity.Refusal) {
	r, ok := e.rows[f.ID]
	if !ok || !r.awaits(from, f.Question) {
		return
	}
	a := r.answered(from)
	e.router.Refused(now, from, &r.work, f, a.at)
	r.retryAfter = max(r.retryAfter, f.RetryAfter)
	r.markRefused(from, f.Infeasible)
	switch {
	case r.state == StatePaused && f.Infeasible:
		e.cancelRunning(now, r, verdict.ReasonDeadline)
	case r.state == StatePaused:
		e.wakeAfter(now, r, e.settings.RetryInterval)
	case len(r.asks) == 0 || a.NoWait:
		e.ask(now, r)
	}
}

// Unreachable tells that a question could not be delivered to an owner.
func (e *Entry) Unreachable(now time.Time, owner entity.InstanceID, id entity.RequestID, question uint32) {
	e.router.Unreachable(now, owner)
	if r, ok := e.rows[id]; ok && r.awaits(owner, question) {
		e.unanswered(now, r, owner)
	}
}

// OwnerLost tells that an owner is gone. Undispatched requests go to another
// owner: the lost one can't dispatch them, as only this entry can.
func (e *Entry) OwnerLost(now time.Time, owner entity.InstanceID) {
	e.router.Unreachable(now, owner)
	for _, r := range e.sortedRows() {
		if r.asked(owner) {
			e.unanswered(now, r, owner)
		}
	}
}

// unanswered goes on without the answer of an owner.
func (e *Entry) unanswered(now time.Time, r *row, owner entity.InstanceID) {
	r.answered(owner)
	switch {
	case r.state == StatePaused:
		e.wakeAfter(now, r, e.settings.RetryInterval)
	case len(r.asks) == 0:
		e.ask(now, r)
	}
}

// Reask repeats the questions that an owner has not answered, after the
// connection to it was lost. Owners answer a repeated question again.
func (e *Entry) Reask(_ time.Time, owner entity.InstanceID) {
	for _, r := range e.sortedRows() {
		for _, a := range r.asks {
			if a.Owner == owner {
				e.question(r, a)
			}
		}
	}
}

// Thawed tells that the instance was away. Answers to questions of before may
// be long out of date, so the requests ask anew.
func (e *Entry) Thawed(now time.Time) {
	for _, r := range e.sortedRows() {
		if len(r.asks) > 0 {
			e.withdraw(r, "")
			e.wakeAfter(now, r, 0)
		}
	}
}

// Preempted tells that an owner wants the slot back for a higher tier.
func (e *Entry) Preempted(now time.Time, from entity.InstanceID, p entity.Preemption) {
	r, ok := e.rows[p.ID]
	if !ok || !slices.Contains(r.holders, from) || r.granted != p.Question || r.state != StateRunning {
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
	r.paused = true
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
	if r.paused {
		// How long it took says nothing of the endpoint's speed.
		end.Release.TimeToFirstToken, end.Release.DecodeTime = 0, 0
	}
	e.withdraw(r, r.owner)
	e.release(r, end.Release)
	if end.Err == nil {
		e.finish(now, r, nil, end.Answer)
		return
	}
	if end.Err.Verdict == verdict.NotRun && !r.cancelled {
		if end.Err = e.retry(now, r, end.Err); end.Err == nil {
			return
		}
	}
	e.finish(now, r, end.Err, end.Answer)
}

// retry puts a request that was not run back, to ask again after a pause. It
// returns what the caller is told where that is not allowed.
func (e *Entry) retry(now time.Time, r *row, err *verdict.Error) *verdict.Error {
	e.claims.NotSent(r.work.ID)
	d := e.retries.Failed(now, &r.work, r.dispatches, err)
	if !d.Retry {
		return notRetried(err, d.Reason)
	}
	e.ready.Retries = append(e.ready.Retries, Retry{ID: r.work.ID, Reason: err.Reason})
	r.state, r.owner, r.holders, r.endpoint, r.resume, r.tried = StateAsking, "", nil, "", "", nil
	e.wakeAfter(now, r, d.Wait)
	return nil
}

// notRetried is what a caller is told whose request was not run, and why it is
// not tried again.
func notRetried(err *verdict.Error, reason verdict.Reason) *verdict.Error {
	if reason != verdict.ReasonRetryBudget {
		return err
	}
	return &verdict.Error{Verdict: verdict.NotRun, Reason: reason, RetryAfter: max(err.RetryAfter, retryAfterBudget),
		Message: "an endpoint refused the request, and the pool's budget for further tries is used up"}
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
		e.withdraw(r, "")
		e.refuse(now, r, reason, retryAfter)
	case StateRunning, StatePausing, StatePaused:
		e.cancelRunning(now, r, reason)
	}
}

// cancelRunning stops a dispatched request. Its end is reported by Ended.
func (e *Entry) cancelRunning(_ time.Time, r *row, reason verdict.Reason) {
	if r.cancelled {
		return
	}
	if r.state == StatePaused {
		e.withdraw(r, "")
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
		if r.state == StateAsking || (r.state == StatePaused && len(r.asks) == 0) {
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
