package gateway

import (
	"sync/atomic"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
)

// localState is what the instance holds to be in force. Traffic goroutines read it
// without a lock; only the control goroutine changes it.
type localState struct {
	config    atomic.Pointer[catalog.Config]
	endpoints atomic.Pointer[catalog.Endpoints]
	// provedAt is when the configuration was last proved the newest, in
	// nanoseconds of bootTime; 0 for never.
	provedAt atomic.Int64
}

// setConfig puts a configuration into force unless it is older than the one
// that stands. It returns whether anything has changed.
func (b *localState) setConfig(c *catalog.Config) bool {
	if old := b.config.Load(); old != nil && c.Version <= old.Version {
		return false
	}
	b.config.Store(c)
	return true
}

// version returns the version in force, 0 for none.
func (b *localState) version() int64 {
	if c := b.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// recordProof notes that the configuration was the newest at a time.
func (b *localState) recordProof(at time.Duration) {
	for {
		old := b.provedAt.Load()
		if int64(at) <= old || b.provedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// proofAge returns how long ago the configuration was last proved the newest.
func (b *localState) proofAge() time.Duration {
	at := b.provedAt.Load()
	if at == 0 {
		return neverProved
	}
	return bootTime() - time.Duration(at)
}

// neverProved is the age of a proof that there never was.
const neverProved = time.Duration(1<<63 - 1)
