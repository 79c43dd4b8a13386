package routing

import "github.com/medlarhold/medlarhold/internal/core/entity"

// Reachable is a Filter that keeps endpoints whose owner answers.
type Reachable struct{}

// Keep implements Filter.
func (Reachable) Keep(v *EndpointView, _ *entity.Work) bool {
	return v.Reachable
}
