package broker

import (
	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Instances that can't reach their broker each use a share of the slots. With many instances, the
// share of one engine is less than a slot. If each instance rounded it up everywhere, all of them
// together would send the engines several times what they can run; if all rounded it up at the same
// engines, those would be full and the others idle. So a hash of instance and engine decides
// whether an instance rounds up or down at an engine.

// roundingOf returns the offset in [0, 1) that an instance adds to its share of an engine's slots
// before it rounds down.
func roundingOf(self entity.InstanceID, engine entity.EndpointID) float64 {
	return float64(xxhash.Sum64String(string(self)+"/"+string(engine))>>11) / (1 << 53)
}

// setRounding sets the rounding of each engine for an instance.
func (p *pool) setRounding(self entity.InstanceID) {
	var highest *engine
	for _, e := range p.engines {
		e.rounding, e.highestRounding, e.staggered = roundingOf(self, e.endpoint.ID), false, self != ""
		if highest == nil || e.rounding > highest.rounding {
			highest = e
		}
	}
	if highest != nil {
		highest.highestRounding = true
	}
}

// limit returns the number of requests that may run on the engine at a time: the learned limit, at
// most its slots. With a share, at least one engine of the pool keeps a limit of 1 or more.
func (e *engine) limit(slotShare float64) int {
	if slotShare <= 0 {
		return min(e.endpoint.Slots, e.service.limiter.Limit())
	}
	n := int(float64(e.endpoint.Slots)*slotShare + e.rounding)
	if e.highestRounding {
		n = max(n, 1)
	}
	return min(n, e.endpoint.Slots)
}
