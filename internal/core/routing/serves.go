package routing

import (
	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Serves is a Filter that keeps endpoints that could serve the work.
type Serves struct{}

// Keep implements Filter.
func (Serves) Keep(v *EndpointView, w *entity.Work) bool {
	return eligible.Serves(v.Endpoint, w)
}
