package broker

import "github.com/medlarhold/medlarhold/internal/core/entity"

// LimitChange tells that a learned limit has come into force at an engine, or isn't any more.
type LimitChange struct {
	Pool     entity.PoolID
	Endpoint entity.EndpointID
	// Limit is the number of requests that the engine gets at a time, of Slots.
	Limit, Slots int
	InForce      bool
	// Running is the number of requests on the engine, TimePerSize their time relative to that of a
	// reference engine.
	Running     int
	TimePerSize float64
}

// LimitChanges returns the learned limits that have come into force or out of it since the last call.
func (b *Broker) LimitChanges() []LimitChange {
	var out []LimitChange
	for _, p := range b.sortedPools() {
		for _, e := range p.engines {
			s := &e.service
			limit := s.limiter.Kept()
			inForce := limit < e.endpoint.Slots
			if inForce == s.reported {
				continue
			}
			s.reported = inForce
			out = append(out, LimitChange{
				Pool: p.id, Endpoint: e.endpoint.ID, Limit: limit, Slots: e.endpoint.Slots, InForce: inForce,
				Running: len(e.runs), TimePerSize: s.limiter.TimePerSize(),
			})
		}
	}
	return out
}
