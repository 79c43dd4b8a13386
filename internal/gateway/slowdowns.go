package gateway

import (
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/upstream"
)

// unreadableSlowdowns holds the endpoints that have stated a slowdown that can't be read, so that each is
// logged once. It is safe for concurrent use.
type unreadableSlowdowns struct {
	mu sync.Mutex
	// incarnations holds the incarnation of each of these endpoints.
	incarnations map[entity.EndpointID]int64
}

// add records an endpoint. It reports whether it wasn't known before.
func (u *unreadableSlowdowns) add(e *catalog.Endpoint) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if known, ok := u.incarnations[e.ID]; ok && known == e.Incarnation {
		return false
	}
	if u.incarnations == nil {
		u.incarnations = make(map[entity.EndpointID]int64)
	}
	u.incarnations[e.ID] = e.Incarnation
	return true
}

// retain removes the endpoints that are not in a table.
func (u *unreadableSlowdowns) retain(t *catalog.Endpoints) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id := range u.incarnations {
		if _, ok := t.Get(id); !ok {
			delete(u.incarnations, id)
		}
	}
}

// recordSlowdown counts a response with a slowdown that can't be read, and logs the first one of an endpoint.
func (g *Instance) recordSlowdown(e *catalog.Endpoint, m upstream.Meta) {
	if !m.SlowdownUnreadable {
		return
	}
	g.metrics.SlowdownUnreadable()
	if g.slowdowns.add(e) {
		telemetry.Log(g.log, telemetry.EventSlowdownUnreadable, "endpoint", e.ID, "incarnation", e.Incarnation, "request", m.RequestID)
	}
}

// logLimitChanges logs the learned limits that have come into force or out of it.
func (c *control) logLimitChanges(now time.Time) {
	if now.Before(c.nextLimitLog) {
		return
	}
	c.nextLimitLog = now.Add(limitLogInterval)
	for _, l := range c.elected.LimitChanges() {
		event := telemetry.EventLearnedLimitEnded
		if l.InForce {
			event = telemetry.EventLearnedLimit
		}
		c.g.metrics.LearnedLimitChanged(l.InForce)
		telemetry.Log(c.g.log, event, "pool", l.Pool, "endpoint", l.Endpoint, "limit", l.Limit, "slots", l.Slots, "running", l.Running, "time_per_size", l.TimePerSize)
	}
}

// limitLogInterval is the time between two searches for changed limits.
const limitLogInterval = time.Second
