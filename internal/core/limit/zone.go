package limit

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/ownership"
)

// zone is a Zone with a digest of its members. Two instances that see the same
// members, and the same of them leaving, have the same digest.
type zone struct {
	members   []entity.Instance
	fleetSize int
	digest    uint32
}

func newZone(z Zone) zone {
	out := zone{members: z.Members, fleetSize: max(z.FleetSize, len(z.Members), 1)}
	for _, m := range z.Members {
		h := xxhash.Sum64String(string(m.ID))
		if m.Leaving {
			h = ^h
		}
		out.digest ^= uint32(h)
	}
	return out
}

// weight returns the fraction of a contract that belongs to the zone.
func (z *zone) weight() float64 { return float64(len(z.members)) / float64(z.fleetSize) }

func (z *zone) home(org entity.OrgID) entity.InstanceID { return ownership.OrgHome(z.members, org) }

func (z *zone) has(id entity.InstanceID) bool {
	return slices.ContainsFunc(z.members, func(m entity.Instance) bool { return m.ID == id })
}

// lostMember reports whether an instance that could be a home in the view before
// can't be one now.
func (z *zone) lostMember(before *zone) bool {
	now := make(map[entity.InstanceID]bool, len(z.members))
	for _, m := range z.members {
		now[m.ID] = !m.Leaving
	}
	for _, m := range before.members {
		if !m.Leaving && !now[m.ID] {
			return true
		}
	}
	return false
}
