package node

import (
	"slices"

	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/routing"
)

// router implements request.Router with the routing decisions and the ownership table.
type router struct {
	*routing.Router
	n *Node
}

// OwnerOf implements request.Router.
func (r *router) OwnerOf(e entity.EndpointID) (entity.InstanceID, bool) {
	o := r.n.owners.Owner(e)
	return o, o != ""
}

// HasEndpoint implements request.Router.
func (r *router) HasEndpoint(w *entity.Work) bool {
	return slices.ContainsFunc(r.n.state.Endpoints(w.Pool), func(e *entity.Endpoint) bool { return eligible.Serves(e, w) })
}

// setPools passes the endpoints of all pools and their owners to the routing decisions.
func (r *router) setPools() {
	for p := range r.n.state.Pools() {
		var rows []routing.OwnedEndpoint
		for _, e := range r.n.state.Endpoints(p.Name) {
			rows = append(rows, routing.OwnedEndpoint{Endpoint: *e, Owner: r.n.owners.Owner(e.ID)})
		}
		r.SetPool(p.Name, rows)
	}
}
