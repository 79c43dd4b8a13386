package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// candidate is an endpoint that requests may be routed to.
type candidate struct {
	OwnedEndpoint
	hash   uint64
	digest eligible.Digest
	// running counts this entry's requests on the endpoint.
	running int
}

func newCandidate(id entity.EndpointID) *candidate {
	return &candidate{
		hash:   xxhash.Sum64String(string(id)),
		digest: eligible.Digest(0).With(id),
	}
}
