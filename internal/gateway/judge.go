package gateway

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/storeera"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// What a read of the store is worth depends on the era of its response: the store may have
// come back from an older copy since the position was learned that the read began from.

// observeEra processes the era of a response of the store, which this instance or the
// coordinator has received. The caller must hold f.mu. After a replacement of the store,
// everything is read again, and the instance registers again.
func (f *follower) observeEra(now time.Time, era int64) {
	before := f.era.Era()
	replaced := f.era.ObserveEra(now, era, f.g.KeysFresh())
	f.g.origins.observeEra(era)
	if !replaced {
		return
	}
	f.configAt = storeera.Start(era)
	f.endpointsAt = f.configAt
	f.discovery.StoreReplaced(now)
	f.g.registerAgain()
	f.g.rollouts.keeper.storeReplaced.Store(true)
	telemetry.Log(f.g.log, telemetry.EventStoreReplaced, "era", era, "before", before, "config", f.g.state.version(),
		"proof_age_ms", f.g.state.proofAge().Milliseconds())
}

// judge decides what a read from a position is worth, given the era of the response.
// complete is set if the present state was returned. The caller must hold f.mu.
func (f *follower) judge(asked storeera.Position, complete bool, era int64) storeera.Result {
	f.observeEra(time.Now(), era)
	if complete {
		asked.Offset = storeera.FromStart
	}
	return storeera.Judge(f.era.Era(), asked, era)
}

// acceptConfig judges a read of the configuration from a position. It returns false if the read can't be used.
func (f *follower) acceptConfig(from storeera.Position, read ConfigRead) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.judge(from, read.Complete, read.Next.Era) {
	case storeera.Discard:
		return false
	case storeera.Restart:
		f.configAt = storeera.Start(read.Next.Era)
		return false
	}
	if read.Config != nil {
		f.era.RecordRead(read.Config.Version, read.Complete)
	}
	return true
}

// moveConfigAt moves configAt behind a read whose configuration is in force.
func (f *follower) moveConfigAt(read ConfigRead) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case read.Next.Era != f.era.Era(): // the store was replaced meanwhile
	case read.Unreadable:
		f.configAt = storeera.Start(read.Next.Era) // it must not be taken for read
	default:
		f.configAt = read.Next
	}
}

// readProves reports whether a read that began at the given time and has just succeeded proves that the
// configuration in force is the newest.
func (f *follower) readProves(began time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	settled := f.era.Settled()
	proves := f.era.Proves(began, f.g.state.version(), f.g.newest.version())
	if proves && !settled {
		telemetry.Log(f.g.log, telemetry.EventStoreSettled, "era", f.era.Era(), "config", f.g.state.version())
	}
	return proves
}

// settled reports whether reads are not in doubt.
func (f *follower) settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era.Settled()
}

// confirm processes the era that is marked as settled in the store. If that ends the doubt, the configuration is
// read again: what was read before the mark may be from before the operator published again.
func (f *follower) confirm(era int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.era.Settled()
	f.marked = max(f.marked, era)
	f.era.Confirm(era)
	if before || !f.era.Settled() {
		return
	}
	f.wakeReader()
}

// toMark returns the store's era if it is settled and not marked yet.
func (f *follower) toMark() (era int64, due bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	era = f.era.Era()
	return era, f.era.Settled() && f.g.state.version() > 0 && f.marked < era
}

// acceptEndpoints applies a read of discovery from a position, if it can be used.
func (f *follower) acceptEndpoints(from storeera.Position, read EndpointsRead) storeera.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	result := f.judge(from, read.Complete, read.Next.Era)
	if result == storeera.Restart {
		f.endpointsAt = storeera.Start(read.Next.Era)
	}
	if result != storeera.Use {
		return result
	}
	f.endpointsAt = read.Next
	for _, err := range read.Malformed {
		telemetry.Log(f.g.log, telemetry.EventEntryMalformed, "error", trace.UserMessage(err))
	}
	if f.discovery.ApplyRead(time.Now(), read.Changes, read.Complete) {
		f.g.setEndpoints(f.discovery.Table())
	}
	return result
}
