package gateway

import (
	"context"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// noEndpointRetryAfter is told to callers while a pool has no endpoint.
const noEndpointRetryAfter = 300 * time.Millisecond

// Config implements edge.Desk.
func (g *Instance) Config() *catalog.Config { return g.belief.config.Load() }

// KeysKnown implements edge.Desk.
func (g *Instance) KeysKnown() bool {
	return !g.settings.StrictKeys || g.belief.proofAge() < g.settings.RevokeWithin-proofMargin
}

// Leaving implements edge.Desk.
func (g *Instance) Leaving() bool { return g.leaving.Load() }

// Closed implements edge.Desk.
func (g *Instance) Closed() bool { return g.closed.Load() }

// Charge implements edge.Desk.
func (g *Instance) Charge(*catalog.Organisation, float64) (bool, time.Duration) { return true, 0 }

// Refund implements edge.Desk.
func (g *Instance) Refund(*catalog.Organisation, float64) {}

// MayRetry implements edge.Desk.
func (g *Instance) MayRetry(entity.PoolID) bool { return true }

// Acquire implements edge.Desk.
func (g *Instance) Acquire(ctx context.Context, w edge.Work, avoid []entity.EndpointID) (edge.Slot, *verdict.Error) {
	slot, ok := g.services.acquire(g.belief.endpoints.Load().Pool(w.Pool), w, avoid)
	if !ok {
		return edge.Slot{}, noEndpoint(w)
	}
	return slot, nil
}

func noEndpoint(w edge.Work) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonNoEndpoint, RetryAfter: noEndpointRetryAfter,
		Message: "no endpoint of pool " + string(w.Pool) + " is known"}
}
