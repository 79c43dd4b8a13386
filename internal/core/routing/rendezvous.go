package routing

import (
	"math"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Rendezvous is a Scorer that uses weighted rendezvous hashing on the first
// HeadBlocks blocks of the prompt, or on the request's ID if it has no prompt.
type Rendezvous struct {
	HeadBlocks int
}

// Score implements Scorer.
func (r Rendezvous) Score(v *EndpointView, w *entity.Work) float64 {
	h := mix(v.Hash ^ mix(headKey(w, r.HeadBlocks)))
	// The top 53 bits as a fraction in (0, 1).
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -v.Weight / math.Log(u)
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
