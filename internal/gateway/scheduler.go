package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quota"
	"github.com/medlarhold/medlarhold/internal/core/reserve"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/upstream"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// noEndpointRetryAfter is the retry time sent to callers while a pool has no endpoint.
const noEndpointRetryAfter = 300 * time.Millisecond

// Config implements edge.Scheduler.
func (g *Instance) Config() *catalog.Config { return g.state.config.Load() }

// KeysFresh implements edge.Scheduler. A removed key may be accepted for
// RevokeWithin, so the freshness proof must be younger than that by proofMargin.
func (g *Instance) KeysFresh() bool {
	return !g.settings.StrictKeys || g.state.proofAge() < g.settings.RevokeWithin-proofMargin
}

// ConfigProved implements edge.Scheduler. The proof is that of a read, which shows all that was acknowledged before it
// began.
func (g *Instance) ConfigProved() bool {
	return !g.newest.isBehind() && (g.settings.ApplyWithin <= 0 || g.state.proofAge() < g.settings.ApplyWithin)
}

// Leaving implements edge.Scheduler.
func (g *Instance) Leaving() bool { return g.leaving.Load() }

// Closed implements edge.Scheduler.
func (g *Instance) Closed() bool { return g.closed.Load() }

// Dispatching implements edge.Scheduler.
func (g *Instance) Dispatching() context.Context { return g.phases.dispatching }

// Answering implements edge.Scheduler.
func (g *Instance) Answering() context.Context { return g.phases.answering }

// Charge implements edge.Scheduler.
func (g *Instance) Charge(org *catalog.Organisation, c edge.Charge) (ok bool, retryAfter time.Duration) {
	limit := g.settings.effectiveLimit(org)
	return g.meter.charge(org.ID, limit, c.Cost, limit.Reserve(c.Rank, c.HasTokens))
}

// LimitStanding implements edge.Scheduler.
func (g *Instance) LimitStanding(org *catalog.Organisation, c edge.Charge) quota.Standing {
	limit := g.settings.effectiveLimit(org)
	return g.meter.standing(org.ID, limit, c.Cost, limit.Reserve(c.Rank, c.HasTokens))
}

// Refund implements edge.Scheduler.
func (g *Instance) Refund(org *catalog.Organisation, cost float64) { g.meter.refund(org.ID, cost) }

// TakeRetry implements edge.Scheduler.
func (g *Instance) TakeRetry(pool entity.PoolID) bool { return g.retries.take(pool) }

// Acquire implements edge.Scheduler.
func (g *Instance) Acquire(ctx context.Context, r edge.SlotRequest, avoid []entity.EndpointID) (edge.Slot, *verdict.Error) {
	if len(avoid) == 0 {
		g.retries.recordRequest(r.Pool)
	}
	if g.rollouts.inForce() {
		return g.rollouts.acquire(ctx, r, avoid)
	}
	return g.acquire(ctx, r, avoid)
}

// acquire acquires a slot on an endpoint that may get the request.
func (g *Instance) acquire(ctx context.Context, r edge.SlotRequest, avoid []entity.EndpointID) (edge.Slot, *verdict.Error) {
	if g.phases.dispatching.Err() != nil {
		return edge.Slot{}, edge.Stopping()
	}
	if r.Kind == entity.KindEngine {
		return g.reserveSlot(ctx, r, avoid)
	}
	return g.acquireService(ctx, r, avoid)
}

// reserveSlot requests slots until a broker grants one that can be used, or
// refuses. A slot is released, and another one requested, where this instance has
// learned since that its endpoint must not get the request. A request that
// was quarantined while it waited is refused.
func (g *Instance) reserveSlot(ctx context.Context, r edge.SlotRequest, avoid []entity.EndpointID) (edge.Slot, *verdict.Error) {
	trial, v := g.checkQuarantine(r)
	if v != nil {
		return edge.Slot{}, v
	}
	return g.reserveChecked(ctx, r, avoid, trial)
}

// reserveChecked is reserveSlot for a request that is not quarantined, or tried.
func (g *Instance) reserveChecked(ctx context.Context, r edge.SlotRequest, avoid []entity.EndpointID, trial bool) (edge.Slot, *verdict.Error) {
	avoid = slices.Concat(avoid, g.holds.avoided(time.Now(), g.state.endpoints.Load().Pool(r.Pool)))
	for {
		d, v := g.requestSlot(ctx, r, avoid)
		if v != nil {
			return edge.Slot{}, v
		}
		if d.Endpoint == "" {
			return edge.Slot{}, g.denialError(r, d)
		}
		if !trial {
			if trial, v = g.checkQuarantine(r); v != nil {
				g.control.post(g.ctx, abandon{id: r.ID})
				return edge.Slot{}, v
			}
		}
		if e, ok := g.state.endpoints.Load().Get(d.Endpoint); ok && !e.Leaving && admits(r, e) && !g.holds.holdsOff(time.Now(), e) {
			return g.newSlot(r, e), nil
		}
		g.control.post(g.ctx, abandon{id: r.ID})
		avoid = append(avoid, d.Endpoint)
		if e, ok := g.state.endpoints.Load().Get(d.Endpoint); ok && !admits(r, e) {
			_, others := admitted(g.state.endpoints.Load().Pool(r.Pool), r)
			avoid = append(avoid, others...) // the broker may not know of versions to avoid
		}
	}
}

// requestSlot requests a slot and waits for the broker's decision, until ctx ends, or
// until a planned stop ends the dispatching. The latter two withdraw the request.
func (g *Instance) requestSlot(ctx context.Context, r edge.SlotRequest, avoid []entity.EndpointID) (reserve.Decision, *verdict.Error) {
	reply := make(chan reserve.Decision, 1)
	g.control.post(g.ctx, acquire{reply: reply, request: reserve.Request{
		ID: r.ID, Pool: r.Pool, Org: r.Org, Weight: r.OrgWeight, Key: xxhash.Sum64String(string(r.Key)), Rank: r.Rank, PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens,
		Target: r.Target, Deadline: r.FirstEventBy, End: r.Deadline, IsRetry: r.IsRetry, Avoid: avoid, Version: r.Version,
		Only: r.Choice.Only, Not: r.Choice.Not, Spread: r.Choice.Spread,
	}})
	select {
	case d := <-reply:
		return d, nil
	case <-g.phases.dispatching.Done():
		g.control.post(g.ctx, abandon{id: r.ID})
		return reserve.Decision{}, edge.Stopping()
	case <-ctx.Done():
		g.control.post(g.ctx, abandon{id: r.ID})
		return reserve.Decision{}, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonDeadline, Message: "the request's time ran out before a slot was free"}
	}
}

// newSlot returns the slot that a broker has granted at an endpoint. Its callbacks
// report the progress of the dispatch to the broker.
func (g *Instance) newSlot(r edge.SlotRequest, e *catalog.Endpoint) edge.Slot {
	sentAt := time.Now()
	return edge.Slot{
		Endpoint: e,
		OnFirstByte: func(m upstream.Meta) {
			g.control.post(g.ctx, dispatchStarted{broker.Started{ID: r.ID, After: time.Since(sentAt), Slowdown: m.Slowdown}})
		},
		Release: func(o edge.Outcome) {
			g.recordRun(r, e, o)
			g.control.post(g.ctx, dispatchDone{done: broker.Done{
				ID: r.ID, Failed: o.Failed, NotRun: o.NotRun, Unreachable: o.Unreachable, Streaming: streamingTime(o), Tokens: o.Events * g.tokensPerEvent(r.Pool), Slowdown: o.Load.Slowdown,
			}})
		},
	}
}

// tokensPerEvent returns the number of tokens in an event of the pool's engines, 0
// if unknown.
func (g *Instance) tokensPerEvent(pool entity.PoolID) int {
	if c := g.state.config.Load(); c != nil && c.Pools[pool] != nil {
		return c.Pools[pool].TokensPerEvent
	}
	return 0
}

// streamingTime returns how long a complete response was streamed, from which the
// broker learns the engine's time per token. It is 0 for dispatches that did not
// complete.
func streamingTime(o edge.Outcome) time.Duration {
	if o.Failed || o.Cancelled || o.NotRun {
		return 0
	}
	return o.StreamDuration
}

// denialError returns the error sent to a caller whose request a broker has refused.
func (g *Instance) denialError(r edge.SlotRequest, d reserve.Decision) *verdict.Error {
	v := &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonOverload, RetryAfter: d.Deny.RetryAfter}
	switch d.Deny.Reason {
	case broker.DenyNoEndpoint:
		return g.noEndpointError(r)
	case broker.DenyDeadline:
		v.Message = "no engine could answer in the time that is left"
	case broker.DenyVersion:
		return versionGone(r)
	case broker.DenyEntryEnds:
		return edge.Stopping()
	case broker.DenyMemory:
		v.Reason = verdict.ReasonEndpointMemory
		v.Message = "the request is larger than the memory of an engine"
	case broker.DenyLimit:
		v.Reason = verdict.ReasonEndpointLimit
		v.Message = "more requests wait than the endpoints say that they take"
	default:
		v.Message = "more requests wait than the engines can serve in time"
	}
	if d.Deny.Appointed {
		v.Message += "; room is expected for the request when it may be retried"
	}
	return v
}

// noEndpointError returns the error sent to a caller whose pool has no endpoint to which
// the request could be sent. If all of them want no requests for a while, the caller is
// told when the first one does.
func (g *Instance) noEndpointError(r edge.SlotRequest) *verdict.Error {
	after := g.holds.firstIn(time.Now(), g.state.endpoints.Load().Pool(r.Pool))
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonNoEndpoint, RetryAfter: max(after, noEndpointRetryAfter),
		Message: "no endpoint of pool " + string(r.Pool) + " takes requests"}
}
