package request

import (
	"slices"
	"sort"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/routing"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// retryAfterNoEndpoint is told to callers when no endpoint is configured.
const retryAfterNoEndpoint = 2 * time.Second

// State is where a request stands.
type State int

// The states of a request that has no final answer yet.
const (
	// StateClaiming waits for the log to say that the request's key is its own.
	StateClaiming State = iota
	// StateReserving waits for an owner's grant or refusal.
	StateReserving
	// StateRunning is dispatched; an endpoint works on it.
	StateRunning
	// StatePausing waits for the endpoint to confirm a pause.
	StatePausing
	// StatePaused is dispatched, and its stream waits on the endpoint.
	StatePaused
)

// String returns the state's name as the request API shows it.
func (s State) String() string {
	return [...]string{"claiming", "queued", "running", "pausing", "paused"}[s]
}

// retryAfterBudget is told to callers when a pool's retry budget is used up.
const retryAfterBudget = time.Second

// stateFinished is shown for requests that got their final answer.
const stateFinished = "finished"

// row is one request of the table.
type row struct {
	work     entity.Work
	key      string
	bodyHash string
	state    State
	arrived  time.Time
	timer    time.Time // next timer; never after the deadline
	// owner granted the slot on which the request runs, in answer to the
	// question granted. questions counts those asked.
	owner    entity.InstanceID
	grantSeq uint32
	// holders are all owners that count the request on its endpoint: while
	// views differ there may be several, and each is told when it ends.
	holders []entity.InstanceID
	lastSeq uint32
	// queueWait is how long it stays in one queue before it looks elsewhere.
	queueWait time.Duration
	// pending are the questions without an answer, tried all owners asked in this round.
	pending    []pendingReservation
	tried      []routing.Choice
	endpoint   entity.EndpointID // where it runs
	resume     entity.EndpointID // where its paused stream waits
	dispatches int
	retryAfter time.Duration
	paused     bool // it was paused at least once
	lostClaim  bool // the key belongs to another request
	cancelled  bool
}

// pendingReservation is a question to an owner that has no answer yet.
type pendingReservation struct {
	routing.Choice
	at  time.Time
	seq uint32
}

// hasPending says whether the owner has a question of the request to answer.
func (r *row) hasPending(owner entity.InstanceID) bool {
	return slices.ContainsFunc(r.pending, func(a pendingReservation) bool { return a.Owner == owner })
}

// isPending says whether the answer is to a question that is still open.
func (r *row) isPending(owner entity.InstanceID, question uint32) bool {
	return slices.ContainsFunc(r.pending, func(a pendingReservation) bool { return a.Owner == owner && a.seq == question })
}

// takePending takes the question to the owner off the list and returns it.
func (r *row) takePending(owner entity.InstanceID) pendingReservation {
	i := slices.IndexFunc(r.pending, func(a pendingReservation) bool { return a.Owner == owner })
	a := r.pending[i]
	r.pending = slices.Delete(r.pending, i, i+1)
	return a
}

// markRefused notes that an owner refused the request in this round, and whether
// it could not have served it in time at all.
func (r *row) markRefused(owner entity.InstanceID, infeasible bool) {
	for i := range r.tried {
		if r.tried[i].Owner == owner {
			r.tried[i].Refused, r.tried[i].Infeasible = true, infeasible
		}
	}
}

// shedReason is the deadline where no owner that was asked could have met it
// with nobody else there.
func (r *row) shedReason() verdict.Reason {
	if len(r.tried) > 0 && !slices.ContainsFunc(r.tried, func(c routing.Choice) bool { return !c.Infeasible }) {
		return verdict.ReasonDeadline
	}
	return verdict.ReasonOverload
}

// sortedRows returns the rows by id, so that loops over them are deterministic.
func (e *Entry) sortedRows() []*row {
	rows := make([]*row, 0, len(e.rows))
	for _, r := range e.rows {
		rows = append(rows, r)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].work.ID < rows[j].work.ID })
	return rows
}

func (e *Entry) setTimer(r *row, at time.Time) {
	e.deadlines.Delete(r)
	r.timer = at
	e.deadlines.ReplaceOrInsert(r)
}

// reserveAfter has the request ask again after a pause, but not after its deadline.
func (e *Entry) reserveAfter(now time.Time, r *row, d time.Duration) {
	e.setTimer(r, minTime(now.Add(d), r.work.Deadline))
}

func (e *Entry) addDirective(d Directive) { e.ready.Directives = append(e.ready.Directives, d) }

// release gives the slot back to all owners that count it.
func (e *Entry) release(r *row, rel entity.Release) {
	e.router.Finished(rel)
	rel.Seq = r.lastSeq
	for _, owner := range r.holders {
		e.ready.Releases = append(e.ready.Releases, ReleaseTo{Owner: owner, Release: rel})
	}
}

// addHolder notes that an owner counts the request.
func (r *row) addHolder(owner entity.InstanceID) {
	if !slices.Contains(r.holders, owner) {
		r.holders = append(r.holders, owner)
	}
}

// heldSlot is what an owner is told of a request that runs or waits on an endpoint.
func (e *Entry) heldSlot(r *row) entity.HeldSlot {
	return entity.HeldSlot{Work: r.work, From: e.settings.Self, Seq: r.grantSeq, Endpoint: r.endpoint, Paused: r.state == StatePaused}
}

// notifyOwner tells the owner of the granted endpoint, as this instance sees it,
// of a grant that another one gave.
func (e *Entry) notifyOwner(r *row) {
	owner, ok := e.router.OwnerOf(r.endpoint)
	if !ok || owner == r.owner {
		return
	}
	r.addHolder(owner)
	e.ready.HeldSlots = append(e.ready.HeldSlots, HeldSlotTo{Owner: owner, Slot: e.heldSlot(r)})
}

// refuse ends a request that was never dispatched.
func (e *Entry) refuse(now time.Time, r *row, reason verdict.Reason, retryAfter time.Duration) {
	v := verdict.NotRun
	if r.dispatches > 0 && r.resume != "" {
		v = verdict.MayHaveRun
	}
	e.finish(now, r, &verdict.Error{Verdict: v, Reason: reason, RetryAfter: retryAfter, Message: refusalMessage[reason]}, nil)
}

// refusalMessage says for people what a refusal means.
var refusalMessage = map[verdict.Reason]string{
	verdict.ReasonDeadline:   "the deadline can't be met any more",
	verdict.ReasonOverload:   "every endpoint that could serve the request is busy with work of this tier or higher",
	verdict.ReasonNoEndpoint: "no endpoint in reach serves this model or service",
	verdict.ReasonCallerGone: "the caller closed its connection",
	verdict.ReasonKeyExpired: "the claim of the request's key ran out before an endpoint was free",
	verdict.ReasonStopping:   "the instance is stopping",
}

// finish gives the request its one final answer and forgets it.
func (e *Entry) finish(now time.Time, r *row, v *verdict.Error, a *Answer) {
	e.deadlines.Delete(r)
	delete(e.rows, r.work.ID)
	if r.work.NonIdempotent && !r.lostClaim {
		e.ready.Settlements = append(e.ready.Settlements, Settlement{ID: r.work.ID, Verdict: finalVerdict(v), Answer: a})
	}
	e.finished.add(Status{ID: r.work.ID, Org: r.work.Org, State: stateFinished, Verdict: finalVerdict(v), Reason: finalReason(v), At: now})
	e.addDirective(Directive{ID: r.work.ID, Kind: DirectiveFinish, Err: v, Answer: a})
	e.ready.Finished = append(e.ready.Finished, Finished{Work: r.work, Arrived: r.arrived, Err: v})
}

func finalVerdict(v *verdict.Error) verdict.Verdict {
	if v == nil {
		return verdict.Ran
	}
	return v.Verdict
}

func finalReason(v *verdict.Error) verdict.Reason {
	if v == nil {
		return verdict.ReasonNone
	}
	return v.Reason
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
