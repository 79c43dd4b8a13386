package gateway

import (
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/holdoff"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/upstream"
)

// EndpointResponded implements edge.Scheduler. An endpoint that states that it is going
// to stop gets no further request from this instance, and soon none from any other. One
// that wants no requests for a while gets none from this instance. A limit that it states is
// kept by all instances.
func (g *Instance) EndpointResponded(e *catalog.Endpoint, m upstream.Meta) {
	now := time.Now()
	g.recordLimit(e, m)
	g.recordSlowdown(e, m)
	if m.Leaving && g.follower.recordDepartures(now, []catalog.Departure{{ID: e.ID, Incarnation: e.Incarnation}}) {
		g.metrics.EndpointDeparted()
		telemetry.Log(g.log, telemetry.EventEndpointDeparting, "endpoint", e.ID, "incarnation", e.Incarnation, "request", m.RequestID)
	}
	if m.RetryAfter > 0 {
		g.holds.add(now, e, m.RetryAfter)
		g.metrics.EndpointHeldOff()
		telemetry.Log(g.log, telemetry.EventEndpointHeldOff, "endpoint", e.ID, "request", m.RequestID, "for_ms", m.RetryAfter.Milliseconds())
		if m.Through != "" {
			go g.control.post(g.ctx, tellRelay{to: m.Through, msg: heldOff{Endpoint: e.ID, Incarnation: e.Incarnation, For: m.RetryAfter}})
		}
	}
}

// heldOff tells the instance through which a response came that the endpoint wants no requests for
// a while: to the endpoint, they all came from that instance.
type heldOff struct {
	Endpoint    entity.EndpointID `json:"e"`
	Incarnation int64             `json:"b"`
	For         time.Duration     `json:"d"`
}

// handleHeldOff processes what another instance was told through this one.
func (g *Instance) handleHeldOff(now time.Time, h heldOff) {
	if e, ok := g.state.endpoints.Load().Get(h.Endpoint); ok && e.Incarnation == h.Incarnation {
		g.holds.add(now, e, h.For)
	}
}

// recordDepartures records that endpoints have said that they are going to stop. It
// reports whether any of them was not known before.
func (f *follower) recordDepartures(now time.Time, stated []catalog.Departure) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.discovery.RecordDepartures(now, stated) {
		return false
	}
	f.g.setEndpoints(f.discovery.Table())
	return true
}

// recentDepartures returns the departures that other instances may not know yet.
func (f *follower) recentDepartures(now time.Time) []catalog.Departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.discovery.RecentDepartures(now)
}

// holds is a holdoff.Table that is safe for concurrent use.
type holds struct {
	mu    sync.Mutex
	table *holdoff.Table
}

func (h *holds) add(now time.Time, e *catalog.Endpoint, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Add(now, e, d)
}

// holdsOff reports whether an endpoint wants no request from this instance now.
func (h *holds) holdsOff(now time.Time, e *catalog.Endpoint) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Remaining(now, e) > 0
}

// avoided returns the ids of the candidates that want no request now.
func (h *holds) avoided(now time.Time, candidates []*catalog.Endpoint) []entity.EndpointID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Avoided(now, candidates)
}

// usable returns the candidates to which a request may be sent now.
func (h *holds) usable(now time.Time, candidates []*catalog.Endpoint) []*catalog.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Usable(now, candidates)
}

// firstIn returns the time until a request may be sent to the first of the candidates.
func (h *holds) firstIn(now time.Time, candidates []*catalog.Endpoint) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.FirstIn(now, candidates)
}

func (h *holds) restarted(now time.Time, e *catalog.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Restarted(now, e)
}

func (h *holds) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Expire(now)
}
