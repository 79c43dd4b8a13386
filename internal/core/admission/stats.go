package admission

import "github.com/medlarhold/medlarhold/internal/core/entity"

// EndpointStats is what an owner knows of one of its endpoints.
type EndpointStats struct {
	Running   int
	Suspended bool
}

// Stats returns what is known of an endpoint that is owned here.
func (o *Owner) Stats(id entity.EndpointID) (EndpointStats, bool) {
	e, ok := o.endpoints[id]
	if !ok {
		return EndpointStats{}, false
	}
	return EndpointStats{Running: e.slots, Suspended: e.failures >= failuresToSuspend}, true
}

// Queued returns how many reservations wait for a pool here.
func (o *Owner) Queued(id entity.PoolID) int {
	for _, p := range o.pools {
		if p.id == id {
			return p.queue.count
		}
	}
	return 0
}
