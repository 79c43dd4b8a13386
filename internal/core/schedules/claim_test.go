package schedules

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/claim"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// The window is short, so that a schedule takes longer than the window and the
// log's retention.
const (
	testWindow       = 40 * time.Second
	testDispatch     = 8 * time.Second
	testRun          = 4 * time.Second
	testRetention    = 60 * time.Second
	scheduleDuration = 120 * time.Second // faults start during this time
	recoveryDuration = 60 * time.Second  // no faults start
)

// claimCluster has three zones with two instances each. Every instance is an
// entry, and acts as home of any shard that it receives a proposal for.
type claimCluster struct {
	*sim
	net      *network
	log      *fakeLog
	nodes    []*claimNode
	recorder history.Recorder
	requests int
	runs     int
	answers  map[verdict.Reason]int
}

type claimNode struct {
	*process
	cluster *claimCluster
	budget  *claim.Budget
	shards  map[claim.ShardNumber]*claim.Shard
	calls   map[entity.RequestID]*claimCall
}

// claimCall is one request at its entry.
type claimCall struct {
	proposal claim.Proposal
	ticket   *claim.Ticket
	outcome  *claim.Outcome // the outcome to send until it is acknowledged, or nil
	answered bool
}

func newClaimCluster(seed int64) *claimCluster {
	s := newSim(seed)
	cl := &claimCluster{sim: s, net: newNetwork(s), answers: map[verdict.Reason]int{}}
	cl.log = newFakeLog(cl.net, testRetention)
	for i := range 6 {
		cl.nodes = append(cl.nodes, cl.newNode(fmt.Sprintf("n%d", i), i%3))
	}
	return cl
}

func (cl *claimCluster) newNode(id string, zone int) *claimNode {
	n := &claimNode{
		process: newProcess(cl.sim, entity.InstanceID(id), zone), cluster: cl, budget: claim.NewBudget(10, 2),
		shards: map[claim.ShardNumber]*claim.Shard{}, calls: map[entity.RequestID]*claimCall{},
	}
	n.every(100*time.Millisecond, func() {
		for num := range claim.ShardNumber(claim.ShardCount) {
			if s := n.shards[num]; s != nil {
				s.Tick(n.clock())
				n.serve(num)
			}
		}
	})
	return n
}

func (n *claimNode) shard(num claim.ShardNumber) *claim.Shard {
	if n.shards[num] == nil {
		s, err := claim.New(claim.Settings{
			Instance: n.id, Window: testWindow, DispatchWithin: testDispatch, MaxRunTime: testRun,
			Retention: testRetention, RetentionMargin: 2 * time.Second, MaxClockSkew: 2 * time.Second,
			AnswerRetention: 20 * time.Second, Budget: n.budget,
		}, num)
		if err != nil {
			panic(err)
		}
		n.shards[num] = s
	}
	return n.shards[num]
}

// serve carries out the appends, reads and messages that a shard requests.
func (n *claimNode) serve(num claim.ShardNumber) {
	s := n.shard(num)
	r := s.Ready()
	for _, b := range r.Appends {
		n.cluster.log.append(n.process, b.Stream, b.Data, func(st claim.AppendStatus, o platform.Offset) {
			s.HandleAppendResult(n.clock(), b.ID, st, o)
			n.serve(num)
		})
	}
	if r.Read != nil {
		n.cluster.log.read(n.process, r.Read, func(rs []platform.Record, first, next platform.Offset) {
			s.ApplyRecords(n.clock(), rs, first, next)
			n.serve(num)
		}, func(err error) {
			s.ReadFailed(n.clock(), err)
			n.serve(num)
		})
	}
	for _, d := range r.Decisions {
		n.cluster.toNode(n, d.To, func(to *claimNode) { to.decided(d) })
	}
	for _, a := range r.Acknowledgements {
		n.cluster.toNode(n, a.To, func(to *claimNode) { to.acknowledged(a.Request) })
	}
}

func (cl *claimCluster) toNode(from *claimNode, id entity.InstanceID, step func(*claimNode)) {
	for _, n := range cl.nodes {
		if n.id == id {
			cl.net.send(from.process, n.process, func() { step(n) })
		}
	}
}

// home returns the instance to which n sends messages for a shard. In four of five
// cases that is a fixed instance of its own zone, otherwise a random one.
func (n *claimNode) home(num claim.ShardNumber) *claimNode {
	if n.cluster.chance(0.8) {
		return n.cluster.nodes[(n.zone+3*(int(num)%2))%len(n.cluster.nodes)]
	}
	return n.cluster.nodes[n.cluster.rng.Intn(len(n.cluster.nodes))]
}

// start receives a request from a caller.
func (n *claimNode) start(key, body string) {
	n.cluster.requests++
	id := entity.RequestID(fmt.Sprintf("r%d", n.cluster.requests))
	c := &claimCall{
		proposal: claim.Proposal{Request: id, Org: "org", Key: key, BodyHash: claim.HashBody([]byte(body)), From: n.id},
		ticket:   claim.NewTicket(n.clock()),
	}
	n.calls[id] = c
	n.cluster.record(history.Event{Kind: history.KindSend, Request: id, Org: "org", Key: key, Caller: key})
	n.propose(c, 0)
}

func (cl *claimCluster) record(e history.Event) {
	e.At = cl.now
	cl.recorder.Add(e)
}

// propose sends the proposal to a home, and again, possibly to another one, until
// the request is answered or five attempts have failed.
func (n *claimNode) propose(c *claimCall, try int) {
	if c.answered {
		return
	}
	if try == 5 {
		n.giveUp(c)
		return
	}
	num := claim.ShardOf("org", c.proposal.Key)
	h := n.home(num)
	n.cluster.net.send(n.process, h.process, func() {
		h.shard(num).HandleProposal(h.clock(), c.proposal)
		h.serve(num)
	})
	n.later(1500*time.Millisecond, func() { n.propose(c, try+1) })
}

func (n *claimNode) giveUp(c *claimCall) {
	v := c.ticket.GiveUp()
	n.answer(c, v, verdict.ReasonDeadline)
	if v == verdict.NotRun {
		n.settle(c, claim.Outcome{Verdict: v})
	}
}

func (n *claimNode) answer(c *claimCall, v verdict.Verdict, r verdict.Reason) {
	n.answerWith(c, history.Event{Verdict: v, Reason: r})
}

func (n *claimNode) answerWith(c *claimCall, e history.Event) {
	if c.answered {
		return
	}
	c.answered = true
	n.cluster.answers[e.Reason]++
	e.Kind, e.Request, e.Caller = history.KindAnswer, c.proposal.Request, c.proposal.Key
	n.cluster.record(e)
}

func (n *claimNode) decided(d claim.Decision) {
	c := n.calls[d.Request]
	if c == nil {
		return
	}
	switch c.ticket.HandleDecision(d) {
	case claim.TicketDispatch:
		n.later(n.cluster.between(0, 30*time.Millisecond), func() { n.dispatch(c) })
	case claim.TicketAnswer:
		e := history.Event{Verdict: d.Verdict, Reason: d.Reason}
		if d.Verdict == verdict.Ran {
			e.Reason, e.Complete, e.Digest = firstOutcome, !d.AnswerDropped, string(d.Answer)
		}
		n.answerWith(c, e)
	case claim.TicketSettle:
		n.settle(c, claim.Outcome{Verdict: verdict.NotRun})
	}
}

// dispatch sends the request to the plain service. Its connection may be refused.
func (n *claimNode) dispatch(c *claimCall) {
	if !c.ticket.Dispatch(n.clock()) {
		n.giveUp(c)
		return
	}
	if n.cluster.chance(0.15) {
		c.ticket.NotSent()
		n.giveUp(c)
		return
	}
	e := history.Event{Request: c.proposal.Request, Org: "org", Key: c.proposal.Key, Endpoint: "service"}
	n.cluster.after(n.cluster.net.delay(), func() {
		n.cluster.runs++
		e.Kind = history.KindDispatch
		n.cluster.record(e)
		e.Kind = history.KindRunStart
		n.cluster.record(e)
		n.cluster.after(n.cluster.between(0, testRun/2), func() {
			e.Kind, e.Complete, e.Digest = history.KindRunEnd, true, digestOf(c)
			n.cluster.record(e)
			n.later(n.cluster.net.delay(), func() { n.ran(c) })
		})
	})
}

func (n *claimNode) ran(c *claimCall) {
	n.answerWith(c, history.Event{Verdict: verdict.Ran, Complete: true, Digest: digestOf(c)})
	n.settle(c, claim.Outcome{Verdict: verdict.Ran, Status: 200, Answer: []byte(digestOf(c))})
}

// firstOutcome marks an answer that repeats the outcome of an earlier request
// with the same key.
const firstOutcome verdict.Reason = "first_outcome"

func digestOf(c *claimCall) string { return "answer to " + string(c.proposal.Request) }

// settle sends an outcome repeatedly until it is acknowledged.
func (n *claimNode) settle(c *claimCall, o claim.Outcome) {
	o.Request, o.Org, o.Key, o.From = c.proposal.Request, "org", c.proposal.Key, n.id
	c.outcome = &o
	n.repeatOutcome(c, 0)
}

func (n *claimNode) repeatOutcome(c *claimCall, try int) {
	if c.outcome == nil || try == 20 {
		return
	}
	o, num := *c.outcome, claim.ShardOf("org", c.proposal.Key)
	h := n.home(num)
	n.cluster.net.send(n.process, h.process, func() {
		h.shard(num).HandleOutcome(h.clock(), o)
		h.serve(num)
	})
	n.later(3*time.Second, func() { n.repeatOutcome(c, try+1) })
}

func (n *claimNode) acknowledged(r entity.RequestID) {
	if c := n.calls[r]; c != nil {
		c.outcome = nil
	}
}

// kill stops a node and replaces it by a new one. The callers of the old node
// lose their connections.
func (cl *claimCluster) kill(i int) {
	old := cl.nodes[i]
	old.dead = true
	ids := make([]entity.RequestID, 0, len(old.calls))
	for id := range old.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		old.answer(old.calls[id], verdict.MayHaveRun, verdict.ReasonConnectionLost)
	}
	cl.nodes[i] = cl.newNode(fmt.Sprintf("%s+", old.id), old.zone)
}

func (cl *claimCluster) processes() []*process {
	var ps []*process
	for _, n := range cl.nodes {
		ps = append(ps, n.process)
	}
	return ps
}

// key returns one of a few keys. The transfer keys are used during the entire
// schedule; a new payout key is used every ten seconds, so that several callers
// compete for a fresh key.
func (cl *claimCluster) key() string {
	if cl.chance(0.3) {
		return fmt.Sprintf("transfer-%d", cl.rng.Intn(3))
	}
	return fmt.Sprintf("payout-%d", cl.now.Sub(epoch)/(10*time.Second))
}

// load makes callers send requests and repeat some of them.
func (cl *claimCluster) load(until time.Duration) {
	for at := time.Second; at < until; at += cl.between(0, 3*time.Second) {
		cl.after(at, func() {
			n := cl.nodes[cl.rng.Intn(len(cl.nodes))]
			key, body := cl.key(), "body"
			if cl.chance(0.05) {
				body = "another body"
			}
			n.do(func() { n.start(key, body) })
			for range cl.rng.Intn(3) { // the load balancer sends the repeated request to another instance
				other := cl.nodes[cl.rng.Intn(len(cl.nodes))]
				cl.after(cl.between(0, 2*time.Second), func() { other.do(func() { other.start(key, body) }) })
			}
		})
	}
}

func (cl *claimCluster) faults(until time.Duration, counts faultCounts) {
	cl.log.planFaults(2+cl.rng.Intn(5), until, counts, cl.processes, cl.kill)
}

// Under faults, competing and repeated requests with one idempotency key run at
// most once within the window, and their answers are consistent with the run.
func TestKeysRunAtMostOnceUnderFaults(t *testing.T) {
	runs, requests := 0, 0
	reasons, faults := map[verdict.Reason]int{}, faultCounts{}
	forEachSeed(t, func(t *testing.T, seed int64) {
		cl := newClaimCluster(seed)
		cl.load(scheduleDuration)
		cl.faults(scheduleDuration, faults)
		cl.runUntil(epoch.Add(scheduleDuration + recoveryDuration))
		lim := history.DefaultLimits
		lim.Window = testWindow
		for _, v := range history.CheckWithLimits(cl.recorder.Events(), lim) {
			t.Errorf("seed %d: %+v", seed, v)
		}
		runs += cl.runs
		requests += cl.requests
		for r, n := range cl.answers {
			reasons[r] += n
		}
	})
	if runs == 0 || reasons[firstOutcome] == 0 || reasons[verdict.ReasonKeyInProgress] == 0 {
		t.Errorf("the schedules miss a case: got %d runs, answers %v; want runs, repeated outcomes and keys in progress", runs, reasons)
	}
	t.Logf("%d schedules, faults %v, %d requests, %d runs, answers %v", *schedules, faults, requests, runs, reasons)
}

// After all faults are over, a fresh key runs exactly once although its request is
// repeated.
func TestKeysAreServedAgainAfterFaults(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed int64) {
		cl := newClaimCluster(seed)
		cl.load(20 * time.Second)
		cl.faults(20*time.Second, faultCounts{})
		cl.runUntil(epoch.Add(20*time.Second + recoveryDuration))
		before := cl.runs
		for range 10 { // repeated, because messages and answers of the log may still get lost
			n := cl.nodes[cl.rng.Intn(len(cl.nodes))]
			n.start("payout-after", "body")
			cl.runUntil(cl.now.Add(5 * time.Second))
		}
		if cl.runs != before+1 {
			t.Errorf("seed %d: got %d runs of a fresh key, want 1", seed, cl.runs-before)
		}
	})
}
