package gateway

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

const (
	// configWait is how long a read waits for a new configuration. Its return
	// proves that there was none, so it bounds the age of the proof.
	configWait = 900 * time.Millisecond
	// discoveryInterval is the time between two reads of discovery. Engines write
	// several records a second, so that waiting for one would save nothing.
	discoveryInterval = 800 * time.Millisecond
	// storeRetryInterval is the pause after a read that failed.
	storeRetryInterval = 150 * time.Millisecond
)

// follower keeps what the instance believes in step with the store.
type follower struct {
	g         *Instance
	discovery *catalog.Discovery
	config    Cursor
	endpoints Cursor
	lost      map[string]bool // dependencies that do not answer
}

func newFollower(g *Instance) *follower {
	return &follower{g: g, discovery: catalog.NewDiscovery(), config: FromStart, endpoints: FromStart, lost: make(map[string]bool)}
}

// run follows configuration and discovery until ctx ends.
func (f *follower) run(ctx context.Context) {
	go f.followConfig(ctx)
	f.followEndpoints(ctx)
}

func (f *follower) followConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.readConfig(ctx) {
			pause(ctx, storeRetryInterval)
		}
	}
}

// readConfig reads once. The read proves the configuration as of its start.
func (f *follower) readConfig(ctx context.Context) bool {
	started := bootTime()
	wait := configWait
	if f.config == FromStart {
		wait = 0
	}
	read, err := f.g.adapter.Store.Config(ctx, f.config, wait)
	if !f.answered(ctx, "configuration", err) {
		return false
	}
	f.config = read.Next
	for _, err := range read.Malformed {
		telemetry.Log(f.g.log, telemetry.EventConfigRejected, "error", trace.UserMessage(err))
	}
	if read.Config != nil {
		f.g.putInForce(read.Config, "store")
	}
	f.g.belief.prove(started)
	return true
}

func (f *follower) followEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		if f.readEndpoints(ctx) {
			pause(ctx, discoveryInterval-time.Since(started))
			continue
		}
		pause(ctx, storeRetryInterval)
	}
}

func (f *follower) readEndpoints(ctx context.Context) bool {
	read, err := f.g.adapter.Store.Endpoints(ctx, f.endpoints)
	if !f.answered(ctx, "discovery", err) {
		return false
	}
	f.endpoints = read.Next
	for _, err := range read.Malformed {
		telemetry.Log(f.g.log, telemetry.EventEntryMalformed, "error", trace.UserMessage(err))
	}
	if f.discovery.Read(time.Now(), read.Changes, read.Whole) {
		f.g.setEndpoints(f.discovery.Table())
	}
	return true
}

// answered notes whether a dependency answers, and logs when that changes.
func (f *follower) answered(ctx context.Context, what string, err error) bool {
	f.g.metrics.LogCall("read", what)
	if err == nil {
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
		g.control.post(g.ctx, changed{})
	}
}

// setEndpoints puts a table of endpoints into force.
func (g *Instance) setEndpoints(t *catalog.Endpoints) {
	before := g.belief.endpoints.Swap(t)
	g.control.post(g.ctx, changed{})
	if before.Len() != t.Len() {
		telemetry.Log(g.log, telemetry.EventEndpointsChanged, "endpoints", t.Len(), "before", before.Len())
	}
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
