package gateway

import (
	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/origin"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// IsCurrent implements edge.Scheduler.
func (g *Instance) IsCurrent(e *catalog.Endpoint) bool {
	now, ok := g.state.endpoints.Load().Get(e.ID)
	return !ok || now.Incarnation == e.Incarnation && now.Version == e.Version
}

// OriginStands implements edge.Scheduler. A restart of an endpoint that becomes known late puts the origins of the
// streams in doubt that were sent to it lately.
func (g *Instance) OriginStands(pool entity.PoolID, stream entity.RequestID, version string) bool {
	o := g.origins
	o.mu.Lock()
	defer o.mu.Unlock()
	r, ok := o.table.Find(origin.Stream{Pool: pool, Request: stream})
	return !ok || r.Version == version
}

// versionGone returns the error sent to a caller whose stream was begun by a version that no
// endpoint has.
func versionGone(r edge.SlotRequest) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonVersionGone, RetryAfter: originRetryAfter,
		Message: "no endpoint has version " + r.Version + ", which began the stream; begin it anew"}
}
