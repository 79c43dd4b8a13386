package broker

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/rollout"
)

// While the requests of a pool move from one software version to another, an entry decides for each
// request which versions may get it. Engines of a version that gets only requests that are meant
// for it are reserved: they don't count as capacity for the others.

// admits reports whether the request may go to engines of a software version.
func (r *SlotRequest) admits(version string) bool {
	switch {
	case r.Version != "":
		return version == r.Version
	case r.Only != "":
		return version == r.Only
	}
	return !slices.Contains(r.Not, version)
}

// constrained reports whether the request may not go to engines of every software version.
func (r *SlotRequest) constrained() bool { return r.Version != "" || r.Only != "" || len(r.Not) > 0 }

// meant reports whether the request is meant for one version, so that it may use reserved engines.
func (r *SlotRequest) meant() bool { return r.Version != "" || r.Only != "" }

// admitsAny reports whether the request may go to engines of one of the versions. Engines that state
// no version are not among them.
func (r *SlotRequest) admitsAny(versions []string) bool {
	return slices.ContainsFunc(versions, r.admits) || len(versions) == 0 && !r.meant()
}

// serves reports whether the pool has an engine for a request that is not leaving.
func (p *pool) serves(req *SlotRequest) bool {
	return !req.constrained() || slices.ContainsFunc(p.engines, func(e *engine) bool { return !e.endpoint.Leaving && req.admits(e.endpoint.Version) })
}

// SetReserved sets the software versions of a pool that get only requests that are meant for them.
func (b *Broker) SetReserved(id entity.PoolID, versions []string) {
	p := b.pool(id)
	if slices.Equal(p.reserved, versions) {
		return
	}
	p.reserved = versions
	p.setReserved()
}

// setReserved marks the reserved engines, and numbers the engines of each version.
func (p *pool) setReserved() {
	counts := make(map[string]int)
	for _, e := range p.engines {
		e.reserved = slices.Contains(p.reserved, e.endpoint.Version)
		if !e.endpoint.Leaving {
			e.number = counts[e.endpoint.Version]
			counts[e.endpoint.Version]++
		}
	}
	for _, e := range p.engines {
		e.alike = counts[e.endpoint.Version]
	}
	if !slices.ContainsFunc(p.engines, func(e *engine) bool { return !e.reserved }) {
		for _, e := range p.engines {
			e.reserved = false // there are no others
		}
	}
}

// outOfSpread reports whether only other engines of the version may get the request now.
func (e *engine) outOfSpread(now time.Time, req *SlotRequest) bool {
	return req.Only != "" && !rollout.Spreads(now, req.Spread, e.number, e.alike)
}

// prefers reports whether the request should rather go to an engine than to another one, given whether it
// begins sooner there. The requests of a share take turns: what is learned of the version must come
// from several engines.
func (r *SlotRequest) prefers(e, other *engine, sooner bool) bool {
	if r.Only == "" || r.Spread >= 1 {
		return sooner
	}
	return e.grantedAt.Before(other.grantedAt)
}

// freeUnreserved reports whether an engine that is not reserved has a free slot.
func (p *pool) freeUnreserved(now time.Time, slotShare float64) bool {
	return slices.ContainsFunc(p.engines, func(e *engine) bool { return !e.reserved && e.free(now, slotShare) > 0 })
}
