package gateway

import (
	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// IsCurrent implements edge.Scheduler.
func (g *Instance) IsCurrent(e *catalog.Endpoint) bool {
	now, ok := g.state.endpoints.Load().Get(e.ID)
	return !ok || now.Incarnation == e.Incarnation && now.Version == e.Version
}

// versionGone returns the error sent to a caller whose stream was begun by a version that no
// endpoint has.
func versionGone(r edge.SlotRequest) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonVersionGone, RetryAfter: originRetryAfter,
		Message: "no endpoint has version " + r.Version + ", which began the stream; begin it anew"}
}
