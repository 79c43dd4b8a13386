package admission

import "github.com/medlarhold/medlarhold/internal/core/entity"

// EndpointStats is the state of an owned endpoint: the number of occupied slots, and
// whether consecutive failures have suspended the endpoint. Suspended stays set until a
// request succeeds, even if the time of the suspension is over.
type EndpointStats struct {
	Running   int
	Suspended bool
}

// Stats returns the state of an endpoint, and false if this Owner does not own it.
func (o *Owner) Stats(id entity.EndpointID) (EndpointStats, bool) {
	e, ok := o.endpoints[id]
	if !ok {
		return EndpointStats{}, false
	}
	return EndpointStats{Running: e.slotsUsed, Suspended: e.failures >= failuresToSuspend}, true
}

// Queued returns the number of reservations queued for a pool.
func (o *Owner) Queued(id entity.PoolID) int {
	for _, p := range o.pools {
		if p.id == id {
			return p.queue.count
		}
	}
	return 0
}
