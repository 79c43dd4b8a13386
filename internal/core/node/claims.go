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
	// claimRepeat is how long a proposal or an outcome stays without an answer
	// before it is sent again, perhaps to another home.
	claimRepeat = time.Second
	// claimNotReadyPause is the pause before a home is asked again that has not
	// read its stream yet, and therefore refused without appending anything.
	claimNotReadyPause = 100 * time.Millisecond
	// fleetAppendsPerSec is what all instances together append for claims: half
	// of what the log takes at the least, several hundred a second.
	fleetAppendsPerSec = 150.0
	// minAppendsPerSec is left to an instance that is home to no shard but is
	// asked as if it were, and claimBurst may be appended at once.
	minAppendsPerSec = 1.0
	claimBurst       = 4
	// outcomeRepeats bounds how often an outcome is sent. Without it the key
	// counts as "may have run".
	outcomeRepeats = 30
)

// Messages of the I/O side about the claims' streams.
type (
	// ClaimAppended reports how an append of a claim batch ended.
	ClaimAppended struct {
		Shard  claim.ShardNumber
		Batch  claim.BatchID
		Status claim.AppendStatus
		Offset platform.Offset
	}
	// ClaimRead reports a read of a claim stream.
	ClaimRead struct {
		Shard  claim.ShardNumber
		Result platform.ReadResult
		Err    error
	}
)

// ClaimAppend and ClaimReadRequest are what the I/O side does for the claims.
type (
	// ClaimAppend is a batch to append, once.
	ClaimAppend struct {
		Shard claim.ShardNumber
		Batch claim.Batch
	}
	// ClaimReadRequest is a read to make.
	ClaimReadRequest struct {
		Shard claim.ShardNumber
		Read  claim.ReadRequest
	}
)

// claims holds both sides of claims: the shards that this instance is home to,
// and the tickets of its own requests.
type claims struct {
	settings claim.Settings
	budget   *claim.Budget
	shards   map[claim.ShardNumber]*claim.Shard
	order    []claim.ShardNumber // the shards' numbers, sorted
	tickets  map[entity.RequestID]*ticket
}

// ticket is one non-idempotent request of this entry instance.
type ticket struct {
	*claim.Ticket
	proposal claim.Proposal
	// outcome is set once the request is over.
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

// settleClaim records how a request with a ticket ended.
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

// sendTicket sends a proposal or an outcome to the present home of its shard.
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

// claimHome returns the zone's home of a shard: this instance if it knows no other.
func (n *Node) claimHome(shard claim.ShardNumber) entity.InstanceID {
	if home := ownership.ClaimHome(n.zoneMembers, int(shard)); home != "" {
		return home
	}
	return n.settings.Self.ID
}

// handleDecision takes in the decision of a home.
func (n *Node) handleDecision(now time.Time, d claim.Decision) {
	t, ok := n.claims.tickets[d.Request]
	if !ok {
		return
	}
	if d.Reason == verdict.ReasonNotReady && n.entry.Claiming(d.Request) {
		t.next = now.Add(claimNotReadyPause)
		return
	}
	switch t.Decide(d) {
	case claim.TicketGo:
		n.entry.Claimed(now, d.Request)
	case claim.TicketAnswer:
		delete(n.claims.tickets, d.Request)
		n.entry.ClaimLost(now, d.Request, lostVerdict(d), earlierAnswer(d))
	case claim.TicketSettle:
		n.sendTicket(now, t)
	case claim.TicketIgnore:
	}
}

// lostVerdict is what a caller is told whose request did not win its key; nil
// when it gets the outcome of the request that did.
func lostVerdict(d claim.Decision) *verdict.Error {
	if d.Verdict == verdict.Ran {
		return nil
	}
	return &verdict.Error{Verdict: d.Verdict, Reason: d.Reason, RetryAfter: d.RetryAfter, Message: claimMessage[d.Reason]}
}

// claimMessage says for people why a request did not win its key.
var claimMessage = map[verdict.Reason]string{
	verdict.ReasonKeyInProgress:  "a request with this key is being served",
	verdict.ReasonKeyReused:      "this key was used with another request",
	verdict.ReasonKeyExpired:     "this key is older than the deduplication window",
	verdict.ReasonLogUnavailable: "the log service can't be reached, so nothing that may not be repeated is run",
	verdict.ReasonNotReady:       "the claims of this key have not been read yet",
	verdict.ReasonConnectionLost: "an earlier request with this key may have run; its outcome is not known",
}

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

// shard returns the home side of a shard. Being wrong about who is home costs
// efficiency only, so whoever is asked serves.
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

// openHomeShards has the shards that this instance is home to read their streams
// before the first proposal comes, and shares the log's appends out: equally
// among the zones, and in a zone by the shards that an instance is home to.
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

// tickClaims repeats what has no answer and lets time pass for the shards.
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

// drainClaims carries out what the shards have decided.
func (n *Node) drainClaims() {
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

// claimAppended passes the end of an append on.
func (n *Node) claimAppended(now time.Time, m ClaimAppended) {
	if s, ok := n.claims.shards[m.Shard]; ok {
		s.AppendResult(now, m.Batch, m.Status, m.Offset)
	}
}

// claimRead passes the end of a read on.
func (n *Node) claimRead(now time.Time, m ClaimRead) {
	s, ok := n.claims.shards[m.Shard]
	switch {
	case !ok:
	case m.Err != nil:
		s.ReadFailed(now, m.Err)
	default:
		s.Fold(now, m.Result.Records, m.Result.First, m.Result.Next)
	}
}
