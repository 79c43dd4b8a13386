package admission

import (
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// A request that the fastest endpoint has just refused is granted a slot on
// another endpoint, even a slower one.
func TestRefusedRequestIsGrantedOnAnotherEndpoint(t *testing.T) {
	slow := engine("e2", 4)
	slow.PrefillTokensPerSec, slow.DecodeTokensPerSec = 100, 10
	o, now := settledOwner(engine("e1", 4), slow)
	o.HandleReservation(now, reservation(work("a", 0)))
	expect(t, o, "grant a e1")
	o.HandleRelease(now, entity.Release{ID: "a", Endpoint: "e1", Failed: true})
	o.HandleReservation(now, reservation(work("a", 0)))
	expect(t, o, "grant a e2")
}
