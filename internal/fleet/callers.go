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
	// promptPrefixes is the number of different prefixes that prompts share.
	promptPrefixes = 4
	blockTokens    = 16
)

// call is one request on the caller's side.
type call struct {
	caller string
	work   entity.Work
	key    string
	body   string
	output int
	done   bool
	// onAnswer, if set, is called with the error of the final answer, nil if none.
	onAnswer func(*verdict.Error)
}

func (c *call) answered(err *verdict.Error) {
	c.done = true
	if c.onAnswer != nil {
		c.onAnswer(err)
	}
}

// generateLoad sends requests at random intervals until the end of the load.
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

// sendService sends a call to a plain service. Most of these calls are not
// idempotent: their callers retry with the same key, either without waiting for the
// answer or after it.
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

// submitWithKey sends a call with an idempotency key, and up to the given number of
// retries of it.
func (f *Fleet) submitWithKey(c *call, retries int) {
	retry := func() {
		next := f.newCall(ledgerPool)
		next.key, next.body, next.work.Org, next.work.NonIdempotent = c.key, c.body, c.work.Org, true
		f.submitWithKey(next, retries-1)
	}
	if retries > 0 {
		if f.chance(0.2) {
			f.after(f.between(0, 2*time.Second), retry)
		} else {
			c.onAnswer = func(err *verdict.Error) {
				if err != nil || f.chance(0.1) {
					f.after(f.between(0, time.Second), retry)
				}
			}
		}
	}
	f.submit(c)
	if f.chance(0.05) {
		f.after(f.between(0, time.Second), func() { f.disconnect(c) })
	}
}

// submit sends a request through the load balancer.
func (f *Fleet) submit(c *call) {
	in := f.balance()
	if in == nil {
		return // the balancer has no instance: nothing was sent
	}
	f.sentRequests = append(f.sentRequests, sentRequest{c, in})
	f.record(history.Event{Kind: history.KindSend, Caller: c.caller, Request: c.work.ID, Org: c.work.Org,
		Key: c.key, Tier: c.work.Tier, Pool: c.work.Pool, Instance: in.id})
	f.tracef("%s received request %s tier %d pool %s key %q", in.id, c.work.ID, c.work.Tier, c.work.Pool, c.key)
	in.serve(c)
}

// sentRequest is a request and the instance that it was sent to.
type sentRequest struct {
	call *call
	in   *instance
}

// disconnect closes the connection of a caller that has no answer yet.
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

// balance returns an instance that the balancer considers ready and that accepts the
// connection, or nil.
func (f *Fleet) balance() *instance {
	for range 4 {
		in := pick(f.clock, f.inRotation)
		// A stopping instance accepts no new connections, but requests may still
		// arrive over an open one.
		if in != nil && in.state != stateDead && (!in.refusesConns || f.chance(0.2)) {
			return in
		}
	}
	return nil
}

// checkHealth runs the balancer's health checks periodically.
func (f *Fleet) checkHealth() {
	f.inRotation = nil
	for _, in := range f.instances {
		// A frozen instance answers no health check, but the balancer notices
		// this only after a while.
		if in.ready && in.state != stateDead && (!in.stopping || f.chance(0.1)) && (in.state == stateLive || f.chance(0.5)) {
			f.inRotation = append(f.inRotation, in)
		}
	}
	f.after(500*time.Millisecond, f.checkHealth)
}
