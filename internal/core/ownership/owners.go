package ownership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Owners returns the owner of each endpoint: a live member of its zone that
// isn't leaving, or a member of another zone when the zone has none. Endpoints
// have no entry when no zone has a member.
func Owners(m Members, endpoints []entity.Endpoint) map[entity.EndpointID]entity.InstanceID {
	usable, names := usableMembers(m)
	out := make(map[entity.EndpointID]entity.InstanceID, len(endpoints))
	for _, e := range endpoints {
		if owner := pick(endpointKey(e.ID), usable[zoneOf(e.Zone, usable, names)]); owner != "" {
			out[e.ID] = owner
		}
	}
	return out
}

// OrgHome returns the instance of a zone that lends the shares of an
// organisation's limits, empty if the zone has no usable member.
func OrgHome(zoneMembers []entity.Instance, org entity.OrgID) entity.InstanceID {
	return pickMember(orgKey(org), zoneMembers)
}

// ClaimHome returns the instance of a zone that appends the claims of a shard,
// empty if the zone has no usable member.
func ClaimHome(zoneMembers []entity.Instance, shard int) entity.InstanceID {
	return pickMember(shardKey(shard), zoneMembers)
}

// pickMember is pick over instances, without allocation.
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

// keyOf hashes a name within its kind, so that equal names of two kinds do
// not share their owner.
func keyOf(kind, name string) uint64 {
	return xxhash.Sum64String(kind) ^ xxhash.Sum64String(name)
}

// Ranked returns the first n members by rendezvous hash of a name, the winner
// first; instances that are leaving take no part.
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
