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
func (g *Instance) Config() *catalog.Config { return g.state.config.Load() }

// KeysFresh implements edge.Desk.
func (g *Instance) KeysFresh() bool {
	return !g.settings.StrictKeys || g.state.proofAge() < g.settings.RevokeWithin-proofMargin
}

// Leaving implements edge.Desk.
func (g *Instance) Leaving() bool { return g.leaving.Load() }

// Closed implements edge.Desk.
func (g *Instance) Closed() bool { return g.closed.Load() }

// Charge implements edge.Desk.
func (g *Instance) Charge(org *catalog.Organisation, c edge.Charge) (ok bool, retryAfter time.Duration) {
	limit := g.settings.effectiveLimit(org)
	return g.meter.charge(org.ID, limit, c.Cost, limit.Reserve(c.Rank, c.HasTokens))
}

// Refund implements edge.Desk.
func (g *Instance) Refund(org *catalog.Organisation, cost float64) { g.meter.refund(org.ID, cost) }

// TakeRetry implements edge.Desk.
func (g *Instance) TakeRetry(pool entity.PoolID) bool { return g.retries.take(pool) }

// Acquire implements edge.Desk.
func (g *Instance) Acquire(ctx context.Context, w edge.SlotRequest, avoid []entity.EndpointID) (edge.Slot, *verdict.Error) {
	if len(avoid) == 0 {
		g.retries.recordRequest(w.Pool)
	}
	if w.Kind == entity.KindEngine {
		return g.reserveSlot(ctx, w, avoid)
	}
	slot, ok := g.services.acquire(g.state.endpoints.Load().Pool(w.Pool), w, avoid)
	if !ok {
		return edge.Slot{}, noEndpointError(w)
	}
	return slot, nil
}

// reserveSlot waits for a broker's word. An endpoint that this instance knows to be
// leaving, and the broker not yet, is given back for another one.
func (g *Instance) reserveSlot(ctx context.Context, w edge.SlotRequest, avoid []entity.EndpointID) (edge.Slot, *verdict.Error) {
	for {
		d, v := g.requestSlot(ctx, w, avoid)
		if v != nil {
			return edge.Slot{}, v
		}
		if d.Endpoint == "" {
			return edge.Slot{}, denialError(w, d)
		}
		if e, ok := g.state.endpoints.Load().Get(d.Endpoint); ok && !e.Leaving {
			return g.newSlot(w, e), nil
		}
		g.control.post(g.ctx, dispatchDone{done: broker.Done{ID: w.ID}})
		avoid = append(slices.Clip(avoid), d.Endpoint)
	}
}

// requestSlot asks for a slot and waits for the decision.
func (g *Instance) requestSlot(ctx context.Context, w edge.SlotRequest, avoid []entity.EndpointID) (reserve.Decision, *verdict.Error) {
	reply := make(chan reserve.Decision, 1)
	g.control.post(g.ctx, acquire{reply: reply, request: reserve.Request{
		ID: w.ID, Pool: w.Pool, Rank: w.Rank, PromptTokens: w.PromptTokens, AnswerTokens: w.AnswerTokens,
		Target: w.Target, Deadline: w.FirstEventBy, End: w.Deadline, Returned: w.IsRetry, Avoid: avoid,
	}})
	select {
	case d := <-reply:
		return d, nil
	case <-ctx.Done():
		g.control.post(g.ctx, abandon{id: w.ID})
		return reserve.Decision{}, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonDeadline, Message: "the request's time ran out before a slot was free"}
	}
}

// newSlot allows one dispatch to an endpoint that a broker has granted.
func (g *Instance) newSlot(w edge.SlotRequest, e *catalog.Endpoint) edge.Slot {
	sentAt := time.Now()
	return edge.Slot{
		Endpoint:    e,
		OnFirstByte: func() { g.control.post(g.ctx, dispatchStarted{id: w.ID, after: time.Since(sentAt)}) },
		Release: func(o edge.Outcome) {
			g.control.post(g.ctx, dispatchDone{done: broker.Done{
				ID: w.ID, Failed: o.Failed, NotRun: o.NotRun, Streaming: streamingTime(o), Tokens: o.Events * g.tokensPerEvent(w.Pool),
			}})
		},
	}
}

// tokensPerEvent is how many tokens an event of the pool's engines holds, 0 if not known.
func (g *Instance) tokensPerEvent(pool entity.PoolID) int {
	if c := g.state.config.Load(); c != nil && c.Pools[pool] != nil {
		return c.Pools[pool].TokensPerEvent
	}
	return 0
}

// streamingTime is what an outcome says of the engine's pace, 0 for nothing.
func streamingTime(o edge.Outcome) time.Duration {
	if o.Failed || o.Cancelled || o.NotRun {
		return 0
	}
	return o.StreamDuration
}

// denialError is what a caller is told of a broker's refusal.
func denialError(w edge.SlotRequest, d reserve.Decision) *verdict.Error {
	v := &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonOverload, RetryAfter: d.Deny.RetryAfter}
	switch d.Deny.Reason {
	case broker.DenyNoEndpoint:
		return noEndpointError(w)
	case broker.DenyDeadline:
		v.Message = "no engine could answer in the time that is left"
	default:
		v.Message = "more requests wait than the engines can serve in time"
	}
	return v
}

func noEndpointError(w edge.SlotRequest) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonNoEndpoint, RetryAfter: noEndpointRetryAfter,
		Message: "no endpoint of pool " + string(w.Pool) + " is known"}
}
