package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/zone"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

const (
	// configWait is how long a read waits for a new configuration. Its return
	// proves that there was none, so it bounds the age of the proof.
	configWait = 900 * time.Millisecond
	// discoveryInterval is the time between two reads of discovery. Engines write
	// several records a second, so that waiting for one would save nothing.
	discoveryInterval = 800 * time.Millisecond
	// readerPoll is the time between two looks whether this instance is to read.
	readerPoll = 50 * time.Millisecond
	// storeRetryInterval is the pause of a coordinator after a read that failed.
	// Other instances, which are many, wait memberRetryInterval and up to twice that.
	storeRetryInterval  = 300 * time.Millisecond
	memberRetryInterval = 800 * time.Millisecond
)

// follower keeps what the instance believes in step with the store.
type follower struct {
	g *Instance
	// reading is set while this instance reads for itself.
	reading atomic.Bool
	// mu guards what follows: the reading goroutines and the control goroutine,
	// which learns from the coordinator, both change it.
	mu        sync.Mutex
	discovery *catalog.Discovery
	cursors   zone.Cursors
	lost      map[string]bool // dependencies that do not answer
	// answeredAt is when the store has last answered this instance.
	answeredAt time.Time
	// coordinates is set while this instance reads for its zone.
	coordinates atomic.Bool
}

func newFollower(g *Instance) *follower {
	return &follower{
		g: g, discovery: catalog.NewDiscovery(), lost: make(map[string]bool),
		cursors: zone.Cursors{Config: int64(FromStart), Endpoints: int64(FromStart)},
	}
}

// setReading says whether this instance is to read for itself.
func (f *follower) setReading(on bool) {
	if f.reading.Swap(on) != on {
		telemetry.Log(f.g.log, telemetry.EventReaderChanged, "reads", on, "config", f.g.belief.version(),
			"proof_age_ms", f.g.belief.proofAge().Milliseconds())
	}
}

// position returns where the instance stands in what the store tells.
func (f *follower) position() zone.Cursors {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cursors
}

// tick drops entries whose time to come back has passed.
func (f *follower) tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.discovery.Tick(now) {
		f.g.setEndpoints(f.discovery.Table())
	}
}

// steady is how long the store has been read without an outage.
func (f *follower) steady(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.discovery.StoreUptime(now)
}

// witness takes in how long another instance has.
func (f *follower) witness(now time.Time, steady time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.discovery.RecordPeerStoreUptime(now, steady) {
		f.g.setEndpoints(f.discovery.Table())
	}
}

// readAge is how long ago discovery was read.
func (f *follower) readAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.discovery.ReadAge(now)
}

// learn takes in what the coordinator has read.
func (f *follower) learn(now time.Time, n zone.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case len(n.Endpoints) > 0:
		f.discovery.ApplyPeerTable(now.Add(-n.ReadAge), n.Endpoints)
		f.g.setEndpoints(f.discovery.Table())
	case len(n.Changes) > 0 && n.BaseDigest == f.discovery.Table().Digest():
		f.discovery.ApplyPeerChanges(now.Add(-n.ReadAge), n.Changes)
		f.g.setEndpoints(f.discovery.Table())
	case n.Cursors != nil:
		f.discovery.RecordPeerRead(now.Add(-n.ReadAge))
	}
	f.takeCursors(n)
}

// takeCursors goes on where the coordinator stands, but not past what this
// instance lacks: it would miss that were it to read for itself.
func (f *follower) takeCursors(n zone.Update) {
	if n.Cursors == nil || f.reading.Load() {
		return
	}
	if f.g.belief.version() >= n.Version {
		f.cursors.Config = n.Cursors.Config
	}
	if f.discovery.Table().Digest() == n.TableDigest {
		f.cursors.Endpoints = n.Cursors.Endpoints
	}
}

// run follows configuration and discovery until ctx ends.
func (f *follower) run(ctx context.Context) {
	go f.follow(ctx, f.readConfig, 0)
	f.follow(ctx, f.readEndpoints, discoveryInterval)
}

// follow reads again and again while this instance is to read: an interval
// after the last read began, or after a pause where that failed.
func (f *follower) follow(ctx context.Context, read func(context.Context) bool, interval time.Duration) {
	for ctx.Err() == nil {
		started := time.Now()
		switch {
		case !f.reading.Load():
			pause(ctx, readerPoll)
		case read(ctx):
			pause(ctx, interval-time.Since(started))
		default:
			pause(ctx, f.retryPause())
		}
	}
}

// readConfig reads once. The read proves the configuration as of its start.
func (f *follower) readConfig(ctx context.Context) bool {
	started := bootTime()
	from, wait := Cursor(f.position().Config), configWait
	if from == FromStart {
		wait = 0
	}
	read, err := f.g.adapter.Store.Config(ctx, from, wait)
	if !f.answered(ctx, "configuration", err) {
		return false
	}
	f.mu.Lock()
	f.cursors.Config = int64(read.Next)
	f.mu.Unlock()
	for _, err := range read.Malformed {
		telemetry.Log(f.g.log, telemetry.EventConfigRejected, "error", trace.UserMessage(err))
	}
	if read.Config != nil {
		f.g.putInForce(read.Config, "store")
	}
	f.g.belief.prove(started)
	return true
}

// retryPause is the time before the next try after a read that failed.
func (f *follower) retryPause() time.Duration {
	if f.coordinates.Load() {
		return storeRetryInterval
	}
	return memberRetryInterval + rand.N(memberRetryInterval)
}

// answeredAgo is how long ago the store has answered this instance, negative
// for never.
func (f *follower) answeredAgo(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answeredAt.IsZero() {
		return -1
	}
	return max(0, now.Sub(f.answeredAt))
}

func (f *follower) readEndpoints(ctx context.Context) bool {
	read, err := f.g.adapter.Store.Endpoints(ctx, Cursor(f.position().Endpoints))
	if !f.answered(ctx, "discovery", err) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cursors.Endpoints = int64(read.Next)
	for _, err := range read.Malformed {
		telemetry.Log(f.g.log, telemetry.EventEntryMalformed, "error", trace.UserMessage(err))
	}
	if f.discovery.ApplyRead(time.Now(), read.Changes, read.Complete) {
		f.g.setEndpoints(f.discovery.Table())
	}
	return true
}

// answered notes whether a dependency answers, and logs when that changes.
func (f *follower) answered(ctx context.Context, what string, err error) bool {
	f.g.metrics.LogCall("read", what)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.answeredAt = time.Now()
		if f.lost[what] {
			f.lost[what] = false
			telemetry.Log(f.g.log, telemetry.EventLogBack, "reading", what, "proof_age_ms", f.g.belief.proofAge().Milliseconds())
		}
		return true
	}
	if ctx.Err() == nil && !f.lost[what] {
		f.lost[what] = true
		telemetry.Log(f.g.log, telemetry.EventLogUnavailable, "reading", what, "error", trace.UserMessage(err),
			"config", f.g.belief.version(), "proof_age_ms", f.g.belief.proofAge().Milliseconds())
	}
	return false
}

// putInForce takes a configuration in unless a newer one is in force.
func (g *Instance) putInForce(c *catalog.Config, from string) {
	if g.belief.setConfig(c) {
		g.metrics.ConfigRevision.Update(c.Version)
		telemetry.Log(g.log, telemetry.EventConfigApplied, "version", c.Version, "from", from, "routes", len(c.Routes))
		go g.control.post(g.ctx, changed{}) // the control goroutine itself may be here
	}
}

// learn takes in what other instances have told.
func (g *Instance) learn(now time.Time, n zone.Update) {
	if n.DecodeErr != nil {
		telemetry.Log(g.log, telemetry.EventConfigRejected, "from", n.From, "error", trace.UserMessage(n.DecodeErr))
	}
	if n.Config != nil {
		g.putInForce(n.Config, string(n.From))
	}
	if n.ProvedAt > 0 {
		g.belief.prove(n.ProvedAt)
	}
	g.follower.learn(now, n)
}

// setEndpoints puts a table of endpoints into force.
func (g *Instance) setEndpoints(t *catalog.Endpoints) {
	before := g.belief.endpoints.Swap(t)
	if before.Digest() == t.Digest() {
		return
	}
	go g.control.post(g.ctx, changed{}) // the control goroutine itself may be here
	telemetry.Log(g.log, telemetry.EventEndpointsChanged, "endpoints", t.Len(), "before", before.Len(), "leaving", t.Leaving())
}

// pause waits unless ctx ends first.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
