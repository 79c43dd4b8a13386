package ownership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Owners returns the owner of each endpoint: a live member of its zone that
// isn't leaving, or such a member of another zone when the zone has none. The
// result is empty when no zone has such a member.
func Owners(m Members, endpoints []entity.Endpoint) map[entity.EndpointID]entity.InstanceID {
	usable, names := usableMembers(m)
	out := make(map[entity.EndpointID]entity.InstanceID, len(endpoints))
	for _, e := range endpoints {
		if owner := pick(endpointKey(e.ID), usable[servingZone(e.Zone, usable, names)]); owner != "" {
			out[e.ID] = owner
		}
	}
	return out
}

// OrgHome returns the home of an organisation in a zone: the instance that lends
// the zone's part of the organisation's limits. It is empty if all members
// are leaving or there are none.
func OrgHome(zoneMembers []entity.Instance, org entity.OrgID) entity.InstanceID {
	return pickMember(orgKey(org), zoneMembers)
}

// ClaimHome returns the instance of a zone that appends the claims of a shard.
// It is empty if all members are leaving or there are none.
func ClaimHome(zoneMembers []entity.Instance, shard int) entity.InstanceID {
	return pickMember(shardKey(shard), zoneMembers)
}

// pickMember is like pick over the instances that aren't leaving, without allocating.
func pickMember(key uint64, members []entity.Instance) entity.InstanceID {
	var best entity.InstanceID
	var bestScore uint64
	for i := range members {
		m := &members[i]
		if m.Leaving {
			continue
		}
		s := score(xxhash.Sum64String(string(m.ID)), key)
		if best == "" || s > bestScore || (s == bestScore && m.ID < best) {
			best, bestScore = m.ID, s
		}
	}
	return best
}

func endpointKey(id entity.EndpointID) uint64 { return keyOf("endpoint/", string(id)) }

func orgKey(id entity.OrgID) uint64 { return keyOf("organisation/", string(id)) }

func shardKey(shard int) uint64 { return keyOf("claims/", strconv.Itoa(shard)) }

// keyOf hashes a name together with its kind, so that equal names of two kinds
// get independent owners.
func keyOf(kind, name string) uint64 {
	return xxhash.Sum64String(kind) ^ xxhash.Sum64String(name)
}

// Ranked returns the n members with the highest rendezvous hash for a name, in
// descending order. Leaving instances are excluded.
func Ranked(members []entity.Instance, name string, n int) []entity.InstanceID {
	rest := candidates(members)
	key := keyOf("ranked/", name)
	var out []entity.InstanceID
	for len(out) < n && len(rest) > 0 {
		best := pick(key, rest)
		out = append(out, best)
		rest = slices.DeleteFunc(rest, func(c candidate) bool { return c.id == best })
	}
	return out
}
