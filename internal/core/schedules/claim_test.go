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

// The window is short, so that schedules outlast it and the log's retention.
const (
	testWindow    = 40 * time.Second
	testDispatch  = 8 * time.Second
	testRun       = 4 * time.Second
	testRetention = 60 * time.Second
	scheduleFor   = 120 * time.Second
	quietFor      = 60 * time.Second
)

// claimWorld is three zones with two instances each. Every instance is an
// entry instance and a home of whatever shard it is asked about.
type claimWorld struct {
	*sim
	net      *network
	log      *fakeLog
	nodes    []*claimNode
	recorder history.Recorder
	requests int
	wins     int
	answers  map[verdict.Reason]int
}

type claimNode struct {
	*process
	w      *claimWorld
	budget *claim.Budget
	shards map[claim.ShardNumber]*claim.Shard
	calls  map[entity.RequestID]*claimCall
}

// claimCall is one request at its entry instance.
type claimCall struct {
	proposal claim.Proposal
	ticket   *claim.Ticket
	outcome  *claim.Outcome // to be acknowledged
	answered bool
}

func newClaimWorld(seed int64) *claimWorld {
	s := newSim(seed)
	w := &claimWorld{sim: s, net: newNetwork(s), answers: map[verdict.Reason]int{}}
	w.log = newFakeLog(w.net, testRetention)
	for i := range 6 {
		w.nodes = append(w.nodes, w.newNode(fmt.Sprintf("n%d", i), i%3))
	}
	return w
}

func (w *claimWorld) newNode(id string, zone int) *claimNode {
	n := &claimNode{
		process: newProcess(w.sim, entity.InstanceID(id), zone), w: w, budget: claim.NewBudget(10, 2),
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

// serve does what a shard asks for.
func (n *claimNode) serve(num claim.ShardNumber) {
	s := n.shard(num)
	r := s.Ready()
	for _, b := range r.Appends {
		n.w.log.append(n.process, b.Stream, b.Data, func(st claim.AppendStatus, o platform.Offset) {
			s.AppendResult(n.clock(), b.ID, st, o)
			n.serve(num)
		})
	}
	if r.Read != nil {
		n.w.log.read(n.process, r.Read, func(rs []platform.Record, first, next platform.Offset) {
			s.Fold(n.clock(), rs, first, next)
			n.serve(num)
		}, func(err error) {
			s.ReadFailed(n.clock(), err)
			n.serve(num)
		})
	}
	for _, d := range r.Decisions {
		n.w.toNode(n, d.To, func(to *claimNode) { to.decided(d) })
	}
	for _, a := range r.Acknowledgements {
		n.w.toNode(n, a.To, func(to *claimNode) { to.acknowledged(a.Request) })
	}
}

func (w *claimWorld) toNode(from *claimNode, id entity.InstanceID, step func(*claimNode)) {
	for _, n := range w.nodes {
		if n.id == id {
			w.net.send(from.process, n.process, func() { step(n) })
		}
	}
}

// home guesses who is home of a shard; the guess may be any instance.
func (n *claimNode) home(num claim.ShardNumber) *claimNode {
	if n.w.chance(0.8) {
		return n.w.nodes[(n.zone+3*(int(num)%2))%len(n.w.nodes)]
	}
	return n.w.nodes[n.w.rng.Intn(len(n.w.nodes))]
}

// start takes a request in from a caller.
func (n *claimNode) start(key, body string) {
	n.w.requests++
	id := entity.RequestID(fmt.Sprintf("r%d", n.w.requests))
	c := &claimCall{
		proposal: claim.Proposal{Request: id, Org: "org", Key: key, BodyHash: claim.HashBody([]byte(body)), From: n.id},
		ticket:   claim.NewTicket(n.clock()),
	}
	n.calls[id] = c
	n.w.record(history.Event{Kind: history.KindSend, Request: id, Org: "org", Key: key, Caller: key})
	n.propose(c, 0)
}

func (w *claimWorld) record(e history.Event) {
	e.At = w.now
	w.recorder.Add(e)
}

// propose asks a home, and another one if there is no answer.
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
	n.w.net.send(n.process, h.process, func() {
		h.shard(num).Propose(h.clock(), c.proposal)
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
	n.w.answers[e.Reason]++
	e.Kind, e.Request, e.Caller = history.KindAnswer, c.proposal.Request, c.proposal.Key
	n.w.record(e)
}

func (n *claimNode) decided(d claim.Decision) {
	c := n.calls[d.Request]
	if c == nil {
		return
	}
	switch c.ticket.Decide(d) {
	case claim.TicketGo:
		n.later(n.w.between(0, 30*time.Millisecond), func() { n.dispatch(c) })
	case claim.TicketAnswer:
		e := history.Event{Verdict: d.Verdict, Reason: d.Reason}
		if d.Verdict == verdict.Ran {
			e.Reason, e.Whole, e.Digest = firstOutcome, !d.AnswerDropped, string(d.Answer)
		}
		n.answerWith(c, e)
	case claim.TicketSettle:
		n.settle(c, claim.Outcome{Verdict: verdict.NotRun})
	}
}

// dispatch sends the request to the plain service, which may refuse the
// connection.
func (n *claimNode) dispatch(c *claimCall) {
	if !c.ticket.Dispatch(n.clock()) {
		n.giveUp(c)
		return
	}
	if n.w.chance(0.15) {
		c.ticket.NotSent()
		n.giveUp(c)
		return
	}
	e := history.Event{Request: c.proposal.Request, Org: "org", Key: c.proposal.Key, Endpoint: "service"}
	n.w.after(n.w.net.delay(), func() {
		n.w.wins++
		e.Kind = history.KindDispatch
		n.w.record(e)
		e.Kind = history.KindRunStart
		n.w.record(e)
		n.w.after(n.w.between(0, testRun/2), func() {
			e.Kind, e.Whole, e.Digest = history.KindRunEnd, true, digestOf(c)
			n.w.record(e)
			n.later(n.w.net.delay(), func() { n.ran(c) })
		})
	})
}

func (n *claimNode) ran(c *claimCall) {
	n.answerWith(c, history.Event{Verdict: verdict.Ran, Whole: true, Digest: digestOf(c)})
	n.settle(c, claim.Outcome{Verdict: verdict.Ran, Status: 200, Answer: []byte(digestOf(c))})
}

// firstOutcome stands for an answer with the outcome of an earlier request.
const firstOutcome verdict.Reason = "first_outcome"

func digestOf(c *claimCall) string { return "answer to " + string(c.proposal.Request) }

// settle sends an outcome until it is acknowledged.
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
	n.w.net.send(n.process, h.process, func() {
		h.shard(num).Settle(h.clock(), o)
		h.serve(num)
	})
	n.later(3*time.Second, func() { n.repeatOutcome(c, try+1) })
}

func (n *claimNode) acknowledged(r entity.RequestID) {
	if c := n.calls[r]; c != nil {
		c.outcome = nil
	}
}

// kill ends a node; a new one takes its place. Callers see their connections
// end.
func (w *claimWorld) kill(i int) {
	old := w.nodes[i]
	old.dead = true
	ids := make([]entity.RequestID, 0, len(old.calls))
	for id := range old.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		old.answer(old.calls[id], verdict.MayHaveRun, verdict.ReasonConnectionLost)
	}
	w.nodes[i] = w.newNode(fmt.Sprintf("%s+", old.id), old.zone)
}

func (w *claimWorld) processes() []*process {
	var ps []*process
	for _, n := range w.nodes {
		ps = append(ps, n.process)
	}
	return ps
}

// key picks one of few keys: some come back for ever, some are new every ten
// seconds, so that several callers race for a fresh one.
func (w *claimWorld) key() string {
	if w.chance(0.3) {
		return fmt.Sprintf("transfer-%d", w.rng.Intn(3))
	}
	return fmt.Sprintf("payout-%d", w.now.Sub(epoch)/(10*time.Second))
}

// load lets callers send and send again.
func (w *claimWorld) load(until time.Duration) {
	for at := time.Second; at < until; at += w.between(0, 3*time.Second) {
		w.after(at, func() {
			n := w.nodes[w.rng.Intn(len(w.nodes))]
			key, body := w.key(), "body"
			if w.chance(0.05) {
				body = "another body"
			}
			n.do(func() { n.start(key, body) })
			for range w.rng.Intn(3) { // the balancer sends the caller's repetition elsewhere
				other := w.nodes[w.rng.Intn(len(w.nodes))]
				w.after(w.between(0, 2*time.Second), func() { other.do(func() { other.start(key, body) }) })
			}
		})
	}
}

func (w *claimWorld) faults(until time.Duration, counts faultCounts) {
	w.log.plan(2+w.rng.Intn(5), until, counts, w.processes, w.kill)
}

func TestKeysRunAtMostOnceUnderFaults(t *testing.T) {
	wins, requests := 0, 0
	reasons, faults := map[verdict.Reason]int{}, faultCounts{}
	forEachSeed(t, func(t *testing.T, seed int64) {
		w := newClaimWorld(seed)
		w.load(scheduleFor)
		w.faults(scheduleFor, faults)
		w.runUntil(epoch.Add(scheduleFor + quietFor))
		lim := history.DefaultLimits
		lim.Window = testWindow
		for _, v := range history.CheckLimits(w.recorder.Events(), lim) {
			t.Errorf("seed %d: %+v", seed, v)
		}
		wins += w.wins
		requests += w.requests
		for r, n := range w.answers {
			reasons[r] += n
		}
	})
	if wins == 0 || reasons[firstOutcome] == 0 || reasons[verdict.ReasonKeyInProgress] == 0 {
		t.Errorf("the schedules show too little: %d runs, answers %v", wins, reasons)
	}
	t.Logf("%d schedules, faults %v, %d requests, %d runs, answers %v", *schedules, faults, requests, wins, reasons)
}

// After the faults are over, a fresh key runs and its repetition gets the
// outcome, whatever came before.
func TestKeysAreServedAgainAfterFaults(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed int64) {
		w := newClaimWorld(seed)
		w.load(20 * time.Second)
		w.faults(20*time.Second, faultCounts{})
		w.runUntil(epoch.Add(20*time.Second + quietFor))
		before := w.wins
		for range 10 { // a message or an answer may still be lost
			n := w.nodes[w.rng.Intn(len(w.nodes))]
			n.start("payout-after", "body")
			w.runUntil(w.now.Add(5 * time.Second))
		}
		if w.wins != before+1 {
			t.Errorf("seed %d: %d runs of a fresh key", seed, w.wins-before)
		}
	})
}
