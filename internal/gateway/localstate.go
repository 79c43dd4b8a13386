package gateway

import (
	"sync/atomic"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
)

// localState holds the configuration and the endpoints that are in force at this
// instance. Request goroutines read it without a lock. The follower's goroutines
// and the control goroutine, which applies the coordinator's updates, replace it.
type localState struct {
	config    atomic.Pointer[catalog.Config]
	endpoints atomic.Pointer[catalog.Endpoints]
	// provedAt is the time of the newest freshness proof of the configuration, in
	// nanoseconds of bootTime; 0 if there was none.
	provedAt atomic.Int64
}

// setConfig puts a configuration into force if its version is newer than the one
// in force. It reports whether it was.
func (s *localState) setConfig(c *catalog.Config) bool {
	for {
		old := s.config.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		if s.config.CompareAndSwap(old, c) {
			return true
		}
	}
}

// version returns the version of the configuration in force, 0 for none.
func (s *localState) version() int64 {
	if c := s.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// recordProof records that the configuration in force was the newest at a time of
// bootTime. Older proofs than the present one are ignored.
func (s *localState) recordProof(at time.Duration) {
	for {
		old := s.provedAt.Load()
		if int64(at) <= old || s.provedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// proofAge returns the age of the newest freshness proof, neverProved if there was
// none.
func (s *localState) proofAge() time.Duration {
	at := s.provedAt.Load()
	if at == 0 {
		return neverProved
	}
	return bootTime() - time.Duration(at)
}

// neverProved is the proof age while there was no proof.
const neverProved = time.Duration(1<<63 - 1)
