package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// candidate is a member with the hash of its ID.
type candidate struct {
	id   entity.InstanceID
	hash uint64
}

// score returns the rendezvous hash of a member's hash and a key.
func score(member, key uint64) uint64 {
	v := member ^ key*0x9e3779b97f4a7c15
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// pick returns the candidate with the highest score for a key, empty if there
// is none. Ties go to the smaller ID.
func pick(key uint64, among []candidate) entity.InstanceID {
	var best entity.InstanceID
	var bestScore uint64
	for _, c := range among {
		s := score(c.hash, key)
		if best == "" || s > bestScore || (s == bestScore && c.id < best) {
			best, bestScore = c.id, s
		}
	}
	return best
}

// candidates returns the members that may be owners: those that aren't leaving.
func candidates(members []entity.Instance) []candidate {
	out := make([]candidate, 0, len(members))
	for _, m := range members {
		if !m.Leaving {
			out = append(out, candidate{id: m.ID, hash: xxhash.Sum64String(string(m.ID))})
		}
	}
	return out
}

// Members are the live instances by zone.
type Members map[entity.ZoneID][]entity.Instance

// servingZone returns the zone whose members own the endpoints of the given
// zone: the zone itself while it has a usable member, otherwise the zone with
// the highest rendezvous hash among names, the zones that have one.
func servingZone(zone entity.ZoneID, usable map[entity.ZoneID][]candidate, names []entity.ZoneID) entity.ZoneID {
	if len(usable[zone]) > 0 {
		return zone
	}
	key := xxhash.Sum64String(string(zone))
	var best entity.ZoneID
	var bestScore uint64
	for _, z := range names {
		if s := score(xxhash.Sum64String(string(z)), key); best == "" || s > bestScore {
			best, bestScore = z, s
		}
	}
	return best
}

// usableMembers returns the candidates by zone, and the sorted names of the
// zones that have at least one.
func usableMembers(m Members) (map[entity.ZoneID][]candidate, []entity.ZoneID) {
	usable := make(map[entity.ZoneID][]candidate, len(m))
	names := make([]entity.ZoneID, 0, len(m))
	for z, members := range m {
		if c := candidates(members); len(c) > 0 {
			usable[z] = c
			names = append(names, z)
		}
	}
	slices.Sort(names)
	return usable, names
}
