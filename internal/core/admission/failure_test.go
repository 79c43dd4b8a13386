package admission

import (
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// TestRefusedRequestGoesElsewhere: a request that one endpoint refused is
// granted to another that is free.
func TestRefusedRequestGoesElsewhere(t *testing.T) {
	slow := engine("e2", 4)
	slow.PrefillTokensPerSec, slow.DecodeTokensPerSec = 100, 10
	o, now := settled(engine("e1", 4), slow)
	o.Reserve(now, ask(work("a", 0)))
	expect(t, o, "grant a e1")
	o.Release(now, entity.Release{ID: "a", Endpoint: "e1", Failed: true})
	o.Reserve(now, ask(work("a", 0)))
	expect(t, o, "grant a e2")
}
