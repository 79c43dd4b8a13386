package node

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// router tells the entry side which owners to ask.
type router struct {
	n *Node
	// byPool lists the endpoints of each pool by id.
	byPool map[entity.PoolID][]entity.Endpoint
	// promises holds, per owner, pool and model, what the owner promised last.
	promises map[promiseKey]promise
}

type promiseKey struct {
	owner entity.InstanceID
	pool  entity.PoolID
	model entity.ModelID
}

// promise says that nothing below floor is served until the time given.
type promise struct {
	floor entity.Tier
	until time.Time
}

func newRouter(n *Node) *router {
	return &router{n: n, byPool: make(map[entity.PoolID][]entity.Endpoint), promises: make(map[promiseKey]promise)}
}

func (r *router) configured(endpoints []entity.Endpoint) {
	clear(r.byPool)
	for _, e := range endpoints {
		r.byPool[e.Pool] = append(r.byPool[e.Pool], e)
	}
}

// owners returns the owners of the endpoints that could serve w, own zone first.
func (r *router) owners(w *entity.Work) []entity.InstanceID {
	var near, far []entity.InstanceID
	for _, e := range r.byPool[w.Pool] {
		if !eligible(&e, w) {
			continue
		}
		owner := r.n.owners.Owner(e.ID)
		if owner == "" || slices.Contains(near, owner) || slices.Contains(far, owner) {
			continue
		}
		if e.Zone == r.n.settings.Self.Zone {
			near = append(near, owner)
		} else {
			far = append(far, owner)
		}
	}
	return append(near, far...)
}

func eligible(e *entity.Endpoint, w *entity.Work) bool {
	return !e.Leaving &&
		(w.Model == "" || slices.Contains(e.Models, w.Model)) &&
		(w.Adapter == "" || slices.Contains(e.Adapters, w.Adapter))
}

// Next implements request.Router.
func (r *router) Next(now time.Time, w *entity.Work, tried []entity.InstanceID) (entity.InstanceID, bool) {
	for _, o := range r.owners(w) {
		if !slices.Contains(tried, o) && !r.promised(now, o, w) {
			return o, true
		}
	}
	return "", false
}

// OwnerOf implements request.Router.
func (r *router) OwnerOf(e entity.EndpointID) (entity.InstanceID, bool) {
	o := r.n.owners.Owner(e)
	return o, o != ""
}

// Refused implements request.Router.
func (r *router) Refused(owner entity.InstanceID, w *entity.Work, f entity.Refusal, sentAt time.Time) {
	r.promises[promiseKey{owner, w.Pool, w.Model}] = promise{floor: f.Floor, until: sentAt.Add(f.FloorFor)}
}

func (r *router) promised(now time.Time, owner entity.InstanceID, w *entity.Work) bool {
	p, ok := r.promises[promiseKey{owner, w.Pool, w.Model}]
	return ok && p.floor <= w.Tier && now.Before(p.until)
}

// MayShed implements request.Router.
func (r *router) MayShed(now time.Time, w *entity.Work) bool {
	for _, o := range r.owners(w) {
		if !r.promised(now, o, w) {
			return false
		}
	}
	return true
}

// HasEndpoint implements request.Router.
func (r *router) HasEndpoint(w *entity.Work) bool {
	return slices.ContainsFunc(r.byPool[w.Pool], func(e entity.Endpoint) bool { return eligible(&e, w) })
}
