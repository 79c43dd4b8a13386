package speed

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

func TestEstimatorFollowsEndpointAndGeneration(t *testing.T) {
	e := New()
	slow := &entity.Endpoint{ID: "slow", Generation: "g", PrefillTokensPerSec: 1000, DecodeTokensPerSec: 100}
	fresh := &entity.Endpoint{ID: "fresh", Generation: "g", PrefillTokensPerSec: 1000, DecodeTokensPerSec: 100}
	if r := e.Rates(slow); r != (Rates{Prefill: 1000, Decode: 100}) {
		t.Fatalf("got rates %v, want the configured ones", r)
	}
	for range 20 {
		e.Observe(slow, entity.Release{
			PrefillTokens: 1000, TimeToFirstToken: 5 * time.Second, GeneratedTokens: 100, DecodeTime: 5 * time.Second,
		})
	}
	if !e.Slow(slow) {
		t.Error("an endpoint with a fifth of its configured rates does not count as slow")
	}
	if r := e.Rates(fresh); r.Decode >= 100 || r.Decode <= e.Rates(slow).Decode {
		t.Errorf("got rates %v for an endpoint without samples, want decode below 100 and above the slow endpoint's", r)
	}
	if e.Slow(fresh) {
		t.Error("an endpoint without samples counts as slow")
	}
}
