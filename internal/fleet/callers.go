package fleet

import (
	"fmt"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	chatPool   entity.PoolID  = "chat"
	ledgerPool entity.PoolID  = "ledger"
	chatModel  entity.ModelID = "m"
	// promptPrefixes is how many different beginnings prompts have.
	promptPrefixes = 4
	blockTokens    = 16
)

// call is one request as its caller sees it.
type call struct {
	caller string
	work   entity.Work
	key    string
	body   string
	output int
	done   bool
	// onAnswer is told the final answer.
	onAnswer func(*verdict.Error)
}

func (c *call) answered(err *verdict.Error) {
	c.done = true
	if c.onAnswer != nil {
		c.onAnswer(err)
	}
}

// generateLoad lets callers send requests until the end of the load.
func (f *Fleet) generateLoad() {
	if f.now.After(f.plan.loadEnds) {
		return
	}
	burst := 1
	if f.chance(0.02) {
		burst = 12
	}
	for range burst {
		f.sendRandom()
	}
	f.after(time.Duration(f.rng.ExpFloat64()*float64(f.plan.meanGap)), f.generateLoad)
}

func (f *Fleet) sendRandom() {
	if f.chance(f.plan.serviceShare) {
		f.sendService()
		return
	}
	c := f.newCall(chatPool)
	prompt := []int{32, 160, 800}[f.rng.Intn(3)]
	c.output = []int{2, 10, 40, 120}[f.rng.Intn(4)]
	c.work.Model, c.work.PromptTokens, c.work.MaxTokens = chatModel, prompt, c.output
	head := f.rng.Intn(promptPrefixes)
	for b := range prompt / blockTokens {
		c.work.Prefix = append(c.work.Prefix, entity.BlockHash(head*10000+b+1))
	}
	f.submit(c)
	if f.chance(0.05) {
		f.after(f.between(10*time.Millisecond, 3*time.Second), func() { f.disconnect(c) })
	}
}

func (f *Fleet) newCall(pool entity.PoolID) *call {
	f.callCount++
	id := fmt.Sprintf("r%d", f.callCount)
	return &call{caller: "caller of " + id, work: entity.Work{
		ID: entity.RequestID(id), Org: pick(f.clock, f.orgs), Pool: pool, Tier: entity.Tier(f.rng.Intn(tiers)),
		Deadline: f.now.Add(f.between(500*time.Millisecond, 8*time.Second)), ShedRank: f.rng.Intn(2),
	}}
}

// sendService sends a call to a plain service; most may not be repeated. Their
// callers try again under the same key, at once or after an answer.
func (f *Fleet) sendService() {
	c := f.newCall(ledgerPool)
	if f.chance(0.3) {
		f.submit(c)
		return
	}
	c.key, c.body = fmt.Sprintf("key %d", f.callCount), "body"
	c.work.NonIdempotent = true
	f.submitWithKey(c, 3)
}

func (f *Fleet) submitWithKey(c *call, tries int) {
	again := func() {
		next := f.newCall(ledgerPool)
		next.key, next.body, next.work.Org, next.work.NonIdempotent = c.key, c.body, c.work.Org, true
		f.submitWithKey(next, tries-1)
	}
	if tries > 0 {
		if f.chance(0.2) {
			f.after(f.between(0, 2*time.Second), again)
		} else {
			c.onAnswer = func(err *verdict.Error) {
				if err != nil || f.chance(0.1) {
					f.after(f.between(0, time.Second), again)
				}
			}
		}
	}
	f.submit(c)
	if f.chance(0.05) {
		f.after(f.between(0, time.Second), func() { f.disconnect(c) })
	}
}

// submit sends a request through the balancer.
func (f *Fleet) submit(c *call) {
	in := f.balance()
	if in == nil {
		return // no instance is known: nothing was sent
	}
	f.sentRequests = append(f.sentRequests, sentRequest{c, in})
	f.record(history.Event{Kind: history.KindSend, Caller: c.caller, Request: c.work.ID, Org: c.work.Org,
		Key: c.key, Tier: c.work.Tier, Pool: c.work.Pool, Instance: in.id})
	f.tracef("%s gets request %s tier %d pool %s key %q", in.id, c.work.ID, c.work.Tier, c.work.Pool, c.key)
	in.serve(c)
}

// sentRequest is a request and where it went.
type sentRequest struct {
	call *call
	in   *instance
}

// disconnect closes a caller's connection.
func (f *Fleet) disconnect(c *call) {
	if c.done {
		return
	}
	c.done = true
	for _, s := range f.sentRequests {
		if s.call == c {
			f.record(history.Event{Kind: history.KindCut, Request: c.work.ID})
			s.in.post(node.CallerGone{ID: c.work.ID})
		}
	}
}

// balance picks an instance that the balancer takes for ready and that takes
// a connection.
func (f *Fleet) balance() *instance {
	for range 4 {
		in := pick(f.clock, f.inRotation)
		// A closed instance takes no new connection, but requests may still
		// come over one that is open.
		if in != nil && in.state != stateDead && (!in.refusesConns || f.chance(0.2)) {
			return in
		}
	}
	return nil
}

// checkHealth is the balancer's look at the instances.
func (f *Fleet) checkHealth() {
	f.inRotation = nil
	for _, in := range f.instances {
		// A frozen instance answers no check, but that takes a while to show.
		if in.ready && in.state != stateDead && (!in.stopping || f.chance(0.1)) && (in.state == stateLive || f.chance(0.5)) {
			f.inRotation = append(f.inRotation, in)
		}
	}
	f.after(500*time.Millisecond, f.checkHealth)
}
