package node

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/claim"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/ownership"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// claimRepeat is the time after which a proposal or an outcome without an answer
	// is sent again, possibly to another home.
	claimRepeat = time.Second
	// claimNotReadyPause is the pause before a proposal is sent again to a home that
	// refused it without appending anything, because it has not read its stream yet.
	claimNotReadyPause = 100 * time.Millisecond
	// fleetAppendsPerSec is the rate at which all instances together may append for
	// claims: half of the minimum that the log service supports, which is several
	// hundred appends a second.
	fleetAppendsPerSec = 150.0
	// minAppendsPerSec is the rate of an instance that is home to no shard but still
	// receives proposals. claimBurst is how many appends may be made at once.
	minAppendsPerSec = 1.0
	claimBurst       = 4
	// outcomeRepeats bounds how often an outcome without an acknowledgement is sent.
	// Without a recorded outcome the key counts as "may have run".
	outcomeRepeats = 30
)

// Messages from the I/O side about the claim streams.
type (
	// ClaimAppended reports the result of the append of a claim batch.
	ClaimAppended struct {
		Shard  claim.ShardNumber
		Batch  claim.BatchID
		Status claim.AppendStatus
		Offset platform.Offset
	}
	// ClaimRead reports the result of a read of a claim stream.
	ClaimRead struct {
		Shard  claim.ShardNumber
		Result platform.ReadResult
		Err    error
	}
)

// Operations that the I/O side carries out for claims.
type (
	// ClaimAppend is a batch to append once.
	ClaimAppend struct {
		Shard claim.ShardNumber
		Batch claim.Batch
	}
	// ClaimReadRequest is a read to perform.
	ClaimReadRequest struct {
		Shard claim.ShardNumber
		Read  claim.ReadRequest
	}
)

// claims holds both sides of claims: the shards for which this instance is a home,
// and the tickets of its own requests.
type claims struct {
	settings claim.Settings
	budget   *claim.Budget
	shards   map[claim.ShardNumber]*claim.Shard
	order    []claim.ShardNumber // keys of shards, sorted
	tickets  map[entity.RequestID]*ticket
}

// ticket is the claim of one non-idempotent request of this entry instance.
type ticket struct {
	*claim.Ticket
	proposal claim.Proposal
	// outcome is set when the request has ended.
	outcome *claim.Outcome
	repeats int
	next    time.Time
}

func newClaims(s claim.Settings) *claims {
	budget := claim.NewBudget(minAppendsPerSec, claimBurst)
	s.Budget = budget
	return &claims{settings: s, budget: budget, shards: make(map[claim.ShardNumber]*claim.Shard), tickets: make(map[entity.RequestID]*ticket)}
}

// propose starts the claim of a request.
func (n *Node) propose(now time.Time, p request.Proposal) {
	t := &ticket{Ticket: claim.NewTicket(now), proposal: claim.Proposal{
		Request: p.ID, Org: p.Org, Key: p.Key, BodyHash: claim.HashBody([]byte(p.BodyHash)), From: n.settings.Self.ID,
	}}
	n.claims.tickets[p.ID] = t
	n.sendTicket(now, t)
}

// settleClaim sends the outcome of a request with a ticket to the shard's home.
func (n *Node) settleClaim(now time.Time, s request.Settlement) {
	t, ok := n.claims.tickets[s.ID]
	if !ok || t.outcome != nil {
		return
	}
	v := s.Verdict
	if v == verdict.NotRun {
		v = t.GiveUp()
	}
	p := t.proposal
	t.outcome = &claim.Outcome{Request: p.Request, Org: p.Org, Key: p.Key, From: p.From, Verdict: v}
	if s.Answer != nil {
		t.outcome.Status, t.outcome.Answer = s.Answer.Status, s.Answer.Body
	}
	n.sendTicket(now, t)
}

// sendTicket sends a proposal or an outcome to the current home of its shard.
func (n *Node) sendTicket(now time.Time, t *ticket) {
	t.next = now.Add(claimRepeat)
	t.repeats++
	home := n.claimHome(claim.ShardOf(t.proposal.Org, t.proposal.Key))
	if t.outcome != nil {
		n.send(home, *t.outcome)
		return
	}
	n.send(home, t.proposal)
}

// claimHome returns the zone's home of a shard, which is this instance if it knows no
// other one.
func (n *Node) claimHome(shard claim.ShardNumber) entity.InstanceID {
	if home := ownership.ClaimHome(n.zoneMembers, int(shard)); home != "" {
		return home
	}
	return n.settings.Self.ID
}

// handleDecision processes the decision of a home.
func (n *Node) handleDecision(now time.Time, d claim.Decision) {
	t, ok := n.claims.tickets[d.Request]
	if !ok {
		return
	}
	if d.Reason == verdict.ReasonNotReady && n.entry.Claiming(d.Request) {
		t.next = now.Add(claimNotReadyPause)
		return
	}
	switch t.HandleDecision(d) {
	case claim.TicketDispatch:
		n.entry.Claimed(now, d.Request)
	case claim.TicketAnswer:
		delete(n.claims.tickets, d.Request)
		n.entry.ClaimLost(now, d.Request, lostVerdict(d), earlierAnswer(d))
	case claim.TicketSettle:
		n.sendTicket(now, t)
	case claim.TicketIgnore:
	}
}

// lostVerdict returns the error for the caller of a request that did not get its key,
// or nil if the caller gets the outcome of the request that did.
func lostVerdict(d claim.Decision) *verdict.Error {
	if d.Verdict == verdict.Ran {
		return nil
	}
	return &verdict.Error{Verdict: d.Verdict, Reason: d.Reason, RetryAfter: d.RetryAfter, Message: claimMessage[d.Reason]}
}

// claimMessage holds, for each reason, the text for a request that did not get its key.
var claimMessage = map[verdict.Reason]string{
	verdict.ReasonKeyInProgress:  "a request with this key is being served",
	verdict.ReasonKeyReused:      "this key was used with another request",
	verdict.ReasonKeyExpired:     "this key is older than the deduplication window",
	verdict.ReasonLogUnavailable: "the log service can't be reached, so nothing that may not be repeated is run",
	verdict.ReasonNotReady:       "the claims of this key have not been read yet",
	verdict.ReasonConnectionLost: "an earlier request with this key may have run; its outcome is not known",
}

// earlierAnswer returns the answer of the request that holds the key, or nil unless
// that request ran.
func earlierAnswer(d claim.Decision) *request.Answer {
	if d.Verdict != verdict.Ran {
		return nil
	}
	return &request.Answer{Status: d.Status, Body: d.Answer, Truncated: d.AnswerDropped}
}

// MayDispatch implements request.Claims.
func (n *Node) MayDispatch(now time.Time, id entity.RequestID) bool {
	t, ok := n.claims.tickets[id]
	return ok && t.Dispatch(now)
}

// NotSent implements request.Claims.
func (n *Node) NotSent(id entity.RequestID) {
	if t, ok := n.claims.tickets[id]; ok {
		t.NotSent()
	}
}

// shard returns the home side of a shard, and creates it if necessary. A wrong
// assumption about the home of a shard costs only efficiency, so every instance
// serves the shards it is asked for.
func (n *Node) shard(num claim.ShardNumber) *claim.Shard {
	if s, ok := n.claims.shards[num]; ok {
		return s
	}
	s, err := claim.New(n.claims.settings, num)
	if err != nil {
		panic(err) // the settings were checked by New
	}
	n.claims.shards[num] = s
	i, _ := slices.BinarySearch(n.claims.order, num)
	n.claims.order = slices.Insert(n.claims.order, i, num)
	return s
}

// openHomeShards has the shards for which this instance is the home read their streams
// before the first proposal arrives. It also sets this instance's share of the
// log's appends: zones get equal shares, and within a zone an instance's share is
// proportional to the number of shards for which it is the home.
func (n *Node) openHomeShards(now time.Time) {
	homes := 0
	for num := range claim.ShardNumber(claim.ShardCount) {
		if n.claimHome(num) == n.settings.Self.ID {
			n.shard(num)
			homes++
		}
	}
	zoneAppendsPerSec := fleetAppendsPerSec / float64(max(len(n.view.Zones), 1))
	n.claims.budget.SetRate(now, max(minAppendsPerSec, zoneAppendsPerSec*float64(homes)/claim.ShardCount))
}

// tickClaims repeats proposals and outcomes without an answer, and advances the shards
// to now.
func (n *Node) tickClaims(now time.Time) {
	for _, id := range sortedKeys(n.claims.tickets) {
		t := n.claims.tickets[id]
		switch {
		case now.Before(t.next) || (t.outcome == nil && !n.entry.Claiming(id)):
		case t.outcome != nil && t.repeats > outcomeRepeats:
			delete(n.claims.tickets, id)
		default:
			n.sendTicket(now, t)
		}
	}
	n.claims.order = slices.DeleteFunc(n.claims.order, func(num claim.ShardNumber) bool {
		s := n.claims.shards[num]
		s.Tick(now)
		if !s.Idle() || n.claimHome(num) == n.settings.Self.ID {
			return false
		}
		delete(n.claims.shards, num)
		return true
	})
}

// flushClaims sends the decisions of the shards, and adds their appends and reads to
// the batch.
func (n *Node) flushClaims() {
	for _, num := range n.claims.order {
		r := n.claims.shards[num].Ready()
		for _, b := range r.Appends {
			n.ready.ClaimAppends = append(n.ready.ClaimAppends, ClaimAppend{Shard: num, Batch: b})
		}
		if r.Read != nil {
			n.ready.ClaimReads = append(n.ready.ClaimReads, ClaimReadRequest{Shard: num, Read: *r.Read})
		}
		for _, d := range r.Decisions {
			n.send(d.To, d)
		}
		for _, a := range r.Acknowledgements {
			n.send(a.To, a)
		}
	}
}

// claimAppended forwards the result of an append to its shard.
func (n *Node) claimAppended(now time.Time, m ClaimAppended) {
	if s, ok := n.claims.shards[m.Shard]; ok {
		s.HandleAppendResult(now, m.Batch, m.Status, m.Offset)
	}
}

// claimRead forwards the result of a read to its shard.
func (n *Node) claimRead(now time.Time, m ClaimRead) {
	s, ok := n.claims.shards[m.Shard]
	switch {
	case !ok:
	case m.Err != nil:
		s.ReadFailed(now, m.Err)
	default:
		s.ApplyRecords(now, m.Result.Records, m.Result.First, m.Result.Next)
	}
}
