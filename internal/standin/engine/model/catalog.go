package model

import (
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// catalog holds the models and adapters that the engine serves, and the orders that change them.
type catalog struct {
	checksFencing bool
	orderTime     time.Duration
	status        endpoint.OrderStatus
	// servesAll is set while the engine serves every model.
	servesAll bool
	pending   []pendingOrder // by the time at which they take effect
}

// pendingOrder is an accepted order that takes effect at ready.
type pendingOrder struct {
	ready time.Time
	order endpoint.Order
}

func newCatalog(s Settings) catalog {
	c := catalog{checksFencing: s.ChecksFencing, orderTime: s.OrderTime, servesAll: len(s.Models) == 0}
	c.status.Models = map[entity.ModelID]string{}
	for _, m := range s.Models {
		c.status.Models[m] = ""
	}
	c.status.Adapters = slices.Clone(s.Adapters)
	return c
}

func (c *catalog) serves(m entity.ModelID, a entity.AdapterID) bool {
	if c.servesAll {
		return true
	}
	_, ok := c.status.Models[m]
	return ok && (a == "" || slices.Contains(c.status.Adapters, a))
}

// advance applies the orders that are ready.
func (c *catalog) advance(now time.Time) {
	for len(c.pending) > 0 && !c.pending[0].ready.After(now) {
		p := c.pending[0]
		c.pending = c.pending[1:]
		c.apply(p.order)
	}
}

func (c *catalog) apply(o endpoint.Order) {
	switch o.Kind {
	case endpoint.OrderLoadModel:
		c.servesAll = false
		c.status.Models[o.Model] = o.Version
	case endpoint.OrderUnloadModel:
		delete(c.status.Models, o.Model)
	case endpoint.OrderLoadAdapter:
		if !slices.Contains(c.status.Adapters, o.Adapter) {
			c.status.Adapters = append(c.status.Adapters, o.Adapter)
		}
	case endpoint.OrderSetRole:
		c.status.Role = o.Role
	}
}

// HandleOrder accepts an order. It returns ErrOldFence for an outdated fencing number if the
// engine checks them. An order that would take longer to carry out than it is valid for has no
// effect.
func (e *Engine) HandleOrder(now time.Time, o endpoint.Order) (endpoint.OrderStatus, error) {
	e.advance(now)
	c := &e.catalog
	if c.checksFencing && o.Fence < c.status.Fence {
		return endpoint.OrderStatus{}, trace.Wrap(ErrOldFence)
	}
	c.status.Fence = max(c.status.Fence, o.Fence)
	duration := time.Duration(0)
	if o.Kind == endpoint.OrderLoadModel || o.Kind == endpoint.OrderLoadAdapter {
		duration = c.orderTime
	}
	expires := time.Duration(o.ExpiresMs) * time.Millisecond
	if expires <= 0 || duration <= expires {
		c.pending = append(c.pending, pendingOrder{ready: now.Add(duration), order: o})
		slices.SortStableFunc(c.pending, func(a, b pendingOrder) int { return a.ready.Compare(b.ready) })
	}
	c.advance(now)
	return e.OrderStatus(now), nil
}

// OrderStatus returns the models and adapters that the engine serves.
func (e *Engine) OrderStatus(now time.Time) endpoint.OrderStatus {
	e.advance(now)
	s := e.catalog.status
	s.Models = maps.Clone(s.Models)
	s.Adapters = slices.Clone(s.Adapters)
	return s
}
