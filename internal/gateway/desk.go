package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/reserve"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// noEndpointRetryAfter is told to callers while a pool has no endpoint.
const noEndpointRetryAfter = 300 * time.Millisecond

// Config implements edge.Desk.
func (g *Instance) Config() *catalog.Config { return g.belief.config.Load() }

// KeysFresh implements edge.Desk.
func (g *Instance) KeysFresh() bool {
	return !g.settings.StrictKeys || g.belief.proofAge() < g.settings.RevokeWithin-proofMargin
}

// Leaving implements edge.Desk.
func (g *Instance) Leaving() bool { return g.leaving.Load() }

// Closed implements edge.Desk.
func (g *Instance) Closed() bool { return g.closed.Load() }

// Charge implements edge.Desk.
func (g *Instance) Charge(org *catalog.Organisation, c edge.Charge) (ok bool, retryAfter time.Duration) {
	limit := g.settings.limit(org)
	return g.meter.charge(org.ID, limit, c.Cost, limit.Reserve(c.Rank, c.HasTokens))
}

// Refund implements edge.Desk.
func (g *Instance) Refund(org *catalog.Organisation, cost float64) { g.meter.refund(org.ID, cost) }

// TakeRetry implements edge.Desk.
func (g *Instance) TakeRetry(pool entity.PoolID) bool { return g.retries.take(pool) }

// Acquire implements edge.Desk.
func (g *Instance) Acquire(ctx context.Context, w edge.SlotRequest, avoid []entity.EndpointID) (edge.Slot, *verdict.Error) {
	if len(avoid) == 0 {
		g.retries.request(w.Pool)
	}
	if w.Kind == entity.KindEngine {
		return g.reserve(ctx, w, avoid)
	}
	slot, ok := g.services.acquire(g.belief.endpoints.Load().Pool(w.Pool), w, avoid)
	if !ok {
		return edge.Slot{}, noEndpoint(w)
	}
	return slot, nil
}

// reserve waits for a broker's word. An endpoint that this instance knows to be
// leaving, and the broker not yet, is given back for another one.
func (g *Instance) reserve(ctx context.Context, w edge.SlotRequest, avoid []entity.EndpointID) (edge.Slot, *verdict.Error) {
	for {
		d, v := g.ask(ctx, w, avoid)
		if v != nil {
			return edge.Slot{}, v
		}
		if d.Endpoint == "" {
			return edge.Slot{}, denied(w, d)
		}
		if e, ok := g.belief.endpoints.Load().Get(d.Endpoint); ok && !e.Leaving {
			return g.slot(w, e), nil
		}
		g.control.post(g.ctx, done{done: broker.Done{ID: w.ID}})
		avoid = append(slices.Clip(avoid), d.Endpoint)
	}
}

// ask asks for a slot and waits for the decision.
func (g *Instance) ask(ctx context.Context, w edge.SlotRequest, avoid []entity.EndpointID) (reserve.Decision, *verdict.Error) {
	reply := make(chan reserve.Decision, 1)
	g.control.post(g.ctx, acquire{reply: reply, request: reserve.Request{
		ID: w.ID, Pool: w.Pool, Rank: w.Rank, PromptTokens: w.PromptTokens, AnswerTokens: w.AnswerTokens,
		Target: w.Target, Deadline: w.FirstEventBy, End: w.Deadline, RefusedBefore: w.IsRetry, Avoid: avoid,
	}})
	select {
	case d := <-reply:
		return d, nil
	case <-ctx.Done():
		g.control.post(g.ctx, abandon{id: w.ID})
		return reserve.Decision{}, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonDeadline, Message: "the request's time ran out before a slot was free"}
	}
}

// slot allows one dispatch to an endpoint that a broker has granted.
func (g *Instance) slot(w edge.SlotRequest, e *catalog.Endpoint) edge.Slot {
	sentAt := time.Now()
	return edge.Slot{
		Endpoint:    e,
		OnFirstByte: func() { g.control.post(g.ctx, started{id: w.ID, after: time.Since(sentAt)}) },
		Release: func(o edge.Outcome) {
			g.control.post(g.ctx, done{done: broker.Done{
				ID: w.ID, Failed: o.Failed, NotRun: o.NotRun, Streaming: streaming(o), Tokens: o.Events * g.tokensPerEvent(w.Pool),
			}})
		},
	}
}

// tokensPerEvent is how many tokens an event of the pool's engines holds, 0 if not known.
func (g *Instance) tokensPerEvent(pool entity.PoolID) int {
	if c := g.belief.config.Load(); c != nil && c.Pools[pool] != nil {
		return c.Pools[pool].TokensPerEvent
	}
	return 0
}

// streaming is what an outcome says of the engine's pace, 0 for nothing.
func streaming(o edge.Outcome) time.Duration {
	if o.Failed || o.Cancelled || o.NotRun {
		return 0
	}
	return o.StreamDuration
}

// denied is what a caller is told of a broker's refusal.
func denied(w edge.SlotRequest, d reserve.Decision) *verdict.Error {
	v := &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonOverload, RetryAfter: d.Deny.RetryAfter}
	switch d.Deny.Reason {
	case broker.DenyNoEndpoint:
		return noEndpoint(w)
	case broker.DenyDeadline:
		v.Message = "no engine could answer in the time that is left"
	default:
		v.Message = "more requests wait than the engines can serve in time"
	}
	return v
}

func noEndpoint(w edge.SlotRequest) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonNoEndpoint, RetryAfter: noEndpointRetryAfter,
		Message: "no endpoint of pool " + string(w.Pool) + " is known"}
}
