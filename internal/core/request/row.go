package request

import (
	"slices"
	"sort"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/routing"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// retryAfterNoEndpoint is the RetryAfter if no endpoint is configured.
const retryAfterNoEndpoint = 2 * time.Second

// State is the state of a request that has no final answer yet.
type State int

// The states of a request that has no final answer yet.
const (
	// StateClaiming waits for the log to confirm the request's claim of its key.
	StateClaiming State = iota
	// StateReserving waits for an owner's grant or refusal.
	StateReserving
	// StateRunning is dispatched and runs on an endpoint.
	StateRunning
	// StatePausing waits for the endpoint to confirm a pause.
	StatePausing
	// StatePaused is dispatched, and its stream is paused on the endpoint.
	StatePaused
)

// String returns the state's name in the request API.
func (s State) String() string {
	return [...]string{"claiming", "queued", "running", "pausing", "paused"}[s]
}

// retryAfterBudget is the RetryAfter if a pool's retry budget is used up.
const retryAfterBudget = time.Second

// stateFinished is the state in the request API of a request that got its final
// answer.
const stateFinished = "finished"

// row is one request of the table.
type row struct {
	work     entity.Work
	key      string
	bodyHash string
	state    State
	arrived  time.Time
	timer    time.Time // time of the next timer, at most the deadline
	// owner granted the slot on which the request runs, in answer to the
	// reservation grantSeq. lastSeq is the Seq of the latest reservation.
	owner    entity.InstanceID
	grantSeq uint32
	// holders are all owners that count the request on its endpoint. There may be
	// several while instances disagree on the owner; each one gets the release.
	holders []entity.InstanceID
	lastSeq uint32
	// queueWait is how long the request waits in one queue before other owners are
	// tried.
	queueWait time.Duration
	// pending holds the reservations without an answer, tried the owners tried in
	// this round.
	pending    []pendingReservation
	tried      []routing.Choice
	endpoint   entity.EndpointID // where it runs
	resume     entity.EndpointID // where its stream is paused
	dispatches int
	retryAfter time.Duration
	paused     bool // was paused at least once
	lostClaim  bool // another request holds the key
	cancelled  bool
}

// pendingReservation is a reservation that has no answer yet.
type pendingReservation struct {
	routing.Choice
	at  time.Time
	seq uint32
}

// hasPending reports whether a reservation at the owner is pending.
func (r *row) hasPending(owner entity.InstanceID) bool {
	return slices.ContainsFunc(r.pending, func(a pendingReservation) bool { return a.Owner == owner })
}

// isPending reports whether the reservation with the given sequence number is
// pending at the owner.
func (r *row) isPending(owner entity.InstanceID, seq uint32) bool {
	return slices.ContainsFunc(r.pending, func(a pendingReservation) bool { return a.Owner == owner && a.seq == seq })
}

// takePending removes the pending reservation at the owner and returns it.
func (r *row) takePending(owner entity.InstanceID) pendingReservation {
	i := slices.IndexFunc(r.pending, func(a pendingReservation) bool { return a.Owner == owner })
	a := r.pending[i]
	r.pending = slices.Delete(r.pending, i, i+1)
	return a
}

// markRefused records that an owner refused the request in this round, and whether
// it could not have served the request by its deadline at all.
func (r *row) markRefused(owner entity.InstanceID, infeasible bool) {
	for i := range r.tried {
		if r.tried[i].Owner == owner {
			r.tried[i].Refused, r.tried[i].Infeasible = true, infeasible
		}
	}
}

// shedReason returns the reason for shedding the request: the deadline if none of
// the owners tried could have met it even on idle endpoints, otherwise overload.
func (r *row) shedReason() verdict.Reason {
	if len(r.tried) > 0 && !slices.ContainsFunc(r.tried, func(c routing.Choice) bool { return !c.Infeasible }) {
		return verdict.ReasonDeadline
	}
	return verdict.ReasonOverload
}

// sortedRows returns the rows sorted by ID, so that loops over them are
// deterministic.
func (e *Entry) sortedRows() []*row {
	rows := make([]*row, 0, len(e.rows))
	for _, r := range e.rows {
		rows = append(rows, r)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].work.ID < rows[j].work.ID })
	return rows
}

func (e *Entry) setTimer(r *row, at time.Time) {
	e.timers.Delete(r)
	r.timer = at
	e.timers.ReplaceOrInsert(r)
}

// reserveAfter has the request send its next reservation after d, but not after its
// deadline.
func (e *Entry) reserveAfter(now time.Time, r *row, d time.Duration) {
	e.setTimer(r, minTime(now.Add(d), r.work.Deadline))
}

func (e *Entry) addDirective(d Directive) { e.ready.Directives = append(e.ready.Directives, d) }

// release sends the release to all owners that count the request.
func (e *Entry) release(r *row, rel entity.Release) {
	e.router.Finished(rel)
	rel.Seq = r.lastSeq
	for _, owner := range r.holders {
		e.ready.Releases = append(e.ready.Releases, ReleaseTo{Owner: owner, Release: rel})
	}
}

// addHolder records that an owner counts the request.
func (r *row) addHolder(owner entity.InstanceID) {
	if !slices.Contains(r.holders, owner) {
		r.holders = append(r.holders, owner)
	}
}

// heldSlot returns the message that reports a running or paused request to an owner.
func (e *Entry) heldSlot(r *row) entity.HeldSlot {
	return entity.HeldSlot{Work: r.work, From: e.settings.Self, Seq: r.grantSeq, Endpoint: r.endpoint, Paused: r.state == StatePaused}
}

// notifyOwner reports the request to the owner of its endpoint, as this instance
// sees it, if another instance gave the grant.
func (e *Entry) notifyOwner(r *row) {
	owner, ok := e.router.OwnerOf(r.endpoint)
	if !ok || owner == r.owner {
		return
	}
	r.addHolder(owner)
	e.ready.HeldSlots = append(e.ready.HeldSlots, HeldSlotTo{Owner: owner, Slot: e.heldSlot(r)})
}

// refuse finishes a request that no endpoint runs. The verdict is "not run", or "may
// have run" if the request has a paused stream.
func (e *Entry) refuse(now time.Time, r *row, reason verdict.Reason, retryAfter time.Duration) {
	v := verdict.NotRun
	if r.dispatches > 0 && r.resume != "" {
		v = verdict.MayHaveRun
	}
	e.finish(now, r, &verdict.Error{Verdict: v, Reason: reason, RetryAfter: retryAfter, Message: refusalMessage[reason]}, nil)
}

// refusalMessage holds the text of a refusal for each reason.
var refusalMessage = map[verdict.Reason]string{
	verdict.ReasonDeadline:   "the deadline can't be met any more",
	verdict.ReasonOverload:   "every endpoint that could serve the request is busy with work of this tier or higher",
	verdict.ReasonNoEndpoint: "no endpoint in reach serves this model or service",
	verdict.ReasonCallerGone: "the caller closed its connection",
	verdict.ReasonKeyExpired: "the claim of the request's key ran out before an endpoint was free",
	verdict.ReasonStopping:   "the instance is stopping",
}

// finish issues the final answer of the request and removes the request.
func (e *Entry) finish(now time.Time, r *row, v *verdict.Error, a *Answer) {
	e.timers.Delete(r)
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
