package broker

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/appointment"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// RankLoad is what requests of one rank ask of a pool.
type RankLoad struct {
	Rank int `json:"rank"`
	// Demand is the slot time per second that new requests ask for, in slots.
	Demand float64 `json:"demand_slots"`
	// Overloaded is set in a standing overload, ShareLevels while organisations share the slots by
	// the service that they have received.
	Overloaded  bool `json:"overloaded,omitempty"`
	ShareLevels bool `json:"shares,omitempty"`
	// Organisations is the number of organisations whose service is remembered.
	Organisations int `json:"organisations"`
}

// AppointmentLoad counts the appointments of a pool.
type AppointmentLoad struct {
	appointment.Stats
	// Open is the number of appointments still to come.
	Open int `json:"open"`
}

// rankLoads returns the load of each rank that has been used, sorted.
func (p *pool) rankLoads(now time.Time) []RankLoad {
	var out []RankLoad
	for _, rank := range slices.Sorted(maps.Keys(p.ranks)) {
		r := p.ranks[rank]
		out = append(out, RankLoad{
			Rank: rank, Demand: r.demand.at(now), Overloaded: r.standing.overloaded(now),
			ShareLevels: now.Sub(r.shortAt) < shortMemory, Organisations: r.shares.Len(),
		})
	}
	return out
}

// Overload is a standing overload of a rank.
type Overload struct {
	Pool entity.PoolID
	Rank int
}

// Overloads returns the ranks with a standing overload, sorted by pool and rank.
func (b *Broker) Overloads(now time.Time) []Overload {
	var out []Overload
	for _, p := range b.sortedPools() {
		for _, rank := range slices.Sorted(maps.Keys(p.ranks)) {
			if p.ranks[rank].standing.overloaded(now) {
				out = append(out, Overload{Pool: p.id, Rank: rank})
			}
		}
	}
	return out
}
