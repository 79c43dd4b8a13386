package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/storeera"
	"github.com/medlarhold/medlarhold/internal/core/zone"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// follower keeps the local state up to date, from the store or from the zone's
// coordinator.
type follower struct {
	g *Instance
	// reading is set while this instance reads the store itself.
	reading atomic.Bool
	// mu guards the fields from discovery to answeredAt. The reading goroutines
	// change them, and so does the control goroutine, which applies the
	// coordinator's updates.
	mu        sync.Mutex
	discovery *catalog.Discovery
	// era tracks replacements of the store. configAt and endpointsAt are the positions
	// up to which the store has been read.
	era                   storeera.Tracker
	configAt, endpointsAt storeera.Position
	// failures counts the reads of a topic of the store that have failed since the last
	// that succeeded.
	failures map[string]int
	// answeredAt is when the store last answered this instance.
	answeredAt time.Time
	// marks is set while this instance marks the store's era.
	marks atomic.Bool
	// marked is the era that was marked as settled in the store, as far as known.
	marked int64
	// endRead ends the read of the configuration that is under way, nil if there is none. renewed is set if that was
	// done, renewedAt is when.
	endRead   context.CancelFunc
	renewed   bool
	renewedAt time.Time
	// readAgain has an element if the configuration is to be read at once.
	readAgain chan struct{}
	// coordinator is set while this instance is its zone's coordinator.
	coordinator atomic.Bool
}

func newFollower(g *Instance) *follower {
	return &follower{
		g: g, discovery: catalog.NewDiscovery(), failures: make(map[string]int),
		era: storeera.NewTracker(g.settings.FirstStart), configAt: storeera.Start(0), endpointsAt: storeera.Start(0),
		marked: storeera.NoEra, readAgain: make(chan struct{}, 1),
	}
}

// setReading sets whether this instance reads the store itself, and why.
func (f *follower) setReading(on bool, why zone.ReadReason) {
	if f.reading.Swap(on) != on {
		telemetry.Log(f.g.log, telemetry.EventReaderChanged, "reads", on, "why", why, "config", f.g.state.version(),
			"proof_age_ms", f.g.state.proofAge().Milliseconds())
	}
}

// position returns the cursors up to which the instance has read the store.
func (f *follower) position() zone.Cursors {
	f.mu.Lock()
	defer f.mu.Unlock()
	return zone.NewCursors(f.configAt, f.endpointsAt)
}

// readFrom returns one of the follower's positions, configAt or endpointsAt.
func (f *follower) readFrom(at *storeera.Position) storeera.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *at
}

// expireEndpoints removes the missing entries that did not reappear in time.
func (f *follower) expireEndpoints(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.discovery.Tick(now) {
		f.g.setEndpoints(f.discovery.Table())
	}
}

// storeUptime returns how long the store has been read without an outage.
func (f *follower) storeUptime(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.discovery.StoreUptime(now)
}

// recordPeerStoreUptime records for how long another instance has read the store
// without an outage.
func (f *follower) recordPeerStoreUptime(now time.Time, uptime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.discovery.RecordPeerStoreUptime(now, uptime) {
		f.g.setEndpoints(f.discovery.Table())
	}
}

// readAge returns how long ago discovery was read, negative for never.
func (f *follower) readAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.discovery.ReadAge(now)
}

// applyUpdate applies the endpoints and cursors that the coordinator has read.
func (f *follower) applyUpdate(now time.Time, u zone.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case u.HasTable:
		f.discovery.ApplyPeerTable(now.Add(-u.ReadAge), u.Endpoints)
		f.g.setEndpoints(f.discovery.Table())
	case len(u.Changes) > 0 && u.BaseDigest == f.discovery.Table().Digest():
		f.discovery.ApplyPeerChanges(now.Add(-u.ReadAge), u.Changes)
		f.g.setEndpoints(f.discovery.Table())
	case u.Cursors != nil && u.TableDigest == f.discovery.Table().Digest():
		f.discovery.RecordPeerRead(now.Add(-u.ReadAge))
	}
	f.adoptCursors(now, u)
}

// adoptCursors adopts the coordinator's cursors, so that this instance continues from
// there if it has to read the store itself. It adopts a cursor only if it has the
// state that belongs to it: otherwise it would miss the records in between. After a
// replacement of the store, it reads the configuration from the start instead.
func (f *follower) adoptCursors(now time.Time, u zone.Update) {
	if u.Cursors == nil || f.reading.Load() {
		return
	}
	config, endpoints := u.Cursors.ConfigPosition(), u.Cursors.EndpointsPosition()
	f.observeEra(now, max(config.Era, endpoints.Era))
	if f.g.state.version() >= u.ConfigVersion && config.Era == f.era.Era() && f.era.Settled() {
		f.configAt = config
	}
	if f.discovery.Table().Digest() == u.TableDigest && endpoints.Era == f.era.Era() {
		f.endpointsAt = endpoints
	}
}

// applyConfig puts a configuration into force unless that version or a newer one
// already is.
func (g *Instance) applyConfig(c *catalog.Config, from string) {
	before, proofAge := g.state.version(), g.state.proofAge()
	if g.state.setConfig(c) {
		lagged := g.newest.applied(time.Now(), c.Version, from)
		g.metrics.ConfigRevision.Update(c.Version)
		telemetry.Log(g.log, telemetry.EventConfigApplied, "version", c.Version, "from", from, "routes", len(c.Routes),
			"organisations", len(c.Organisations), "keys", c.Keys, "before", before,
			"newest_known", g.newest.version(), "lagged_ms", lagged.Milliseconds(), "proof_age_ms", proofAge.Milliseconds())
		go g.control.post(g.ctx, stateChanged{}) // the caller may be the control goroutine, which must not block
	}
}

// applyUpdate applies an update received from another instance.
func (g *Instance) applyUpdate(now time.Time, u zone.Update) {
	g.newest.heard(now, u.From)
	if u.DecodeErr != nil {
		telemetry.Log(g.log, telemetry.EventConfigRejected, "from", u.From, "error", trace.UserMessage(u.DecodeErr))
	}
	if u.Config != nil {
		g.applyConfig(u.Config, string(u.From))
	}
	if u.ProvedAt > 0 {
		g.state.recordProof(u.ProvedAt)
	}
	g.follower.applyUpdate(now, u)
	g.checkStart()
}

// setEndpoints replaces the table of endpoints.
func (g *Instance) setEndpoints(t *catalog.Endpoints) {
	before := g.state.endpoints.Swap(t)
	if before.Digest() == t.Digest() {
		return
	}
	g.rollouts.endpointsChanged(t)
	g.checkStart()
	g.endpointsChanged(before, t)
	go g.control.post(g.ctx, stateChanged{}) // the caller may be the control goroutine, which must not block
	telemetry.Log(g.log, telemetry.EventEndpointsChanged, "endpoints", t.Len(), "before", before.Len(), "leaving", t.Leaving())
}

// endpointsChanged corrects what was lately learned of endpoints that have restarted since: it may have
// come from the new incarnation. Streams that one of another version may have begun have no origin.
func (g *Instance) endpointsChanged(before, t *catalog.Endpoints) {
	now := time.Now()
	for _, id := range t.DiffIDs(before) {
		old, known := before.Get(id)
		e, present := t.Get(id)
		if !known || !present || e.Incarnation == old.Incarnation {
			continue
		}
		g.holds.restarted(now, e)
		if e.Version != old.Version {
			g.origins.endpointRestarted(now, incarnation{id, old.Incarnation})
		}
	}
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) { pauseUntil(ctx, d, nil) }

// pauseUntil waits for d, until wake has an element, or until ctx ends.
func pauseUntil(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wake:
	}
}
