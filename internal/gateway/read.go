package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/storeera"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

const (
	// configWait is how long a read waits for a new configuration. Each read proves
	// that the configuration in force was the newest when the read began, so this
	// bounds the age of the freshness proof.
	configWait = 900 * time.Millisecond
	// configInterval is the time between two reads of the configuration if the first
	// returns at once. In between the control goroutine decides whether to read on.
	configInterval = 100 * time.Millisecond
	// discoveryInterval is the time between two reads of discovery. Engines write
	// several records per second, so a read that waits for a record would save
	// no calls.
	discoveryInterval = 800 * time.Millisecond
	// shortAttempt is the time limit of every second read after a failure.
	shortAttempt = 800 * time.Millisecond
	// renewInterval is the time between two reads that begin anew. It is longer than a read may take, so that a store
	// that is only slow can answer.
	renewInterval = 3 * time.Second
	// slowAnswer is how much longer than it was asked to wait a read may take before that is logged.
	slowAnswer = 500 * time.Millisecond
	// readerPoll is the time between two checks whether this instance is to read
	// the store.
	readerPoll = 50 * time.Millisecond
	// coordinatorRetryInterval is the pause of a coordinator after a failed read.
	// Other instances are many, so each waits a random time from
	// memberRetryInterval to twice that.
	coordinatorRetryInterval = 300 * time.Millisecond
	memberRetryInterval      = 800 * time.Millisecond
)

// The topics of the store, as log lines and metrics name them.
const (
	topicConfig    = "configuration"
	topicDiscovery = "discovery"
)

// run reads the configuration and discovery until ctx ends.
func (f *follower) run(ctx context.Context) {
	go f.readLoop(ctx, f.readConfig, configInterval, f.readAgain)
	go f.readLoop(ctx, f.readEndpoints, discoveryInterval, nil)
	f.keepMark(ctx)
}

// readLoop calls read repeatedly while this instance is to read the store, until
// ctx ends. Reads begin an interval apart, or as soon as again has an element; after a failed one it waits for
// retryPause.
func (f *follower) readLoop(ctx context.Context, read func(context.Context) bool, interval time.Duration, again <-chan struct{}) {
	for ctx.Err() == nil {
		started := time.Now()
		switch {
		case !f.reading.Load():
			pause(ctx, readerPoll)
		case read(ctx):
			pauseUntil(ctx, interval-time.Since(started), again)
		default:
			pauseUntil(ctx, f.retryPause(), again)
		}
	}
}

// readConfig reads the configuration once and reports whether that succeeded. The
// read proves that the configuration in force was the newest when it began, unless the
// store may have lost a newer one or the newest can't be decoded.
func (f *follower) readConfig(ctx context.Context) bool {
	started, began := bootTime(), time.Now()
	read, from, err := f.askConfig(ctx)
	if err != nil && f.wasRenewed() {
		return true // the next read begins at once
	}
	if !f.recordResult(ctx, topicConfig, err) {
		return false
	}
	for _, err := range read.Malformed {
		telemetry.Log(f.g.log, telemetry.EventConfigRejected, "error", trace.UserMessage(err))
	}
	if !f.acceptConfig(from, read) {
		return true
	}
	f.g.rollouts.hear(read)
	if read.Config != nil {
		f.g.applyConfig(read.Config, "store")
	}
	f.moveConfigAt(read) // others take over the position with the version in force
	if read.Unreadable {
		return false // a newer configuration than the one in force exists
	}
	if f.readProves(began) {
		f.g.state.recordProof(started)
		f.g.checkStart()
	}
	return true
}

// askConfig reads the configuration from configAt. It waits for changes unless there is no
// position, the last read has failed, so that any answer ends the outage, or reads are in doubt, so that the next
// one may be a proof.
func (f *follower) askConfig(ctx context.Context) (read ConfigRead, from storeera.Position, err error) {
	from = f.readFrom(&f.configAt)
	failures := f.failuresOf(topicConfig)
	ctx, cancel := limitAttempt(ctx, failures)
	defer cancel()
	f.setEndRead(cancel)
	defer f.setEndRead(nil)
	wait := configWait
	if failures > 0 || from.Offset == storeera.FromStart || !f.settled() {
		wait = 0
	}
	began := time.Now()
	read, err = f.g.adapter.Store.Config(ctx, from, wait)
	if took := time.Since(began); took > wait+slowAnswer {
		telemetry.Log(f.g.log, telemetry.EventStoreSlow, "reading", topicConfig, "ms", took.Milliseconds(), "wait_ms", wait.Milliseconds(),
			"from", from.Offset, "failed", err != nil, "config", f.g.state.version())
	}
	return read, from, err
}

// setEndRead sets how to end the read of the configuration that begins, nil if it has ended.
func (f *follower) setEndRead(end context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endRead = end
	f.renewed = f.renewed && end == nil // forgotten once another read begins
}

// wasRenewed reports whether the read of the configuration that has just failed was ended by renewRead.
func (f *follower) wasRenewed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.renewed
}

// renewRead ends the read of the configuration that is under way, which may never be answered, and has it read from the
// start at once.
func (f *follower) renewRead(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.renewedAt) < renewInterval {
		return
	}
	f.renewedAt = now
	f.configAt = storeera.Start(f.era.Era())
	if f.endRead != nil {
		f.renewed = true
		f.endRead()
	}
	f.wakeReader()
}

// wakeReader has the configuration read at once.
func (f *follower) wakeReader() {
	select {
	case f.readAgain <- struct{}{}:
	default: // it is going to be read
	}
}

// limitAttempt limits the time of a read after the given number of failures. Every second
// read after a failure is short: one that began before the store came back may never be
// answered. The others may take as long as the first, for a store that is only slow.
func limitAttempt(ctx context.Context, failures int) (context.Context, context.CancelFunc) {
	if failures%2 == 1 {
		return context.WithTimeout(ctx, shortAttempt)
	}
	return context.WithCancel(ctx)
}

// failuresOf returns the number of reads of a topic that have failed since the last success.
func (f *follower) failuresOf(topic string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures[topic]
}

// retryPause returns the time to wait after a failed read.
func (f *follower) retryPause() time.Duration {
	if f.coordinator.Load() {
		return coordinatorRetryInterval
	}
	return memberRetryInterval + rand.N(memberRetryInterval)
}

// storeAnswerAge returns how long ago the store last answered this instance,
// negative for never.
func (f *follower) storeAnswerAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answeredAt.IsZero() {
		return -1
	}
	return max(0, now.Sub(f.answeredAt))
}

// readEndpoints reads discovery once and reports whether that succeeded. If the store was
// replaced, it reads again from the start.
func (f *follower) readEndpoints(ctx context.Context) bool {
	for {
		from := f.readFrom(&f.endpointsAt)
		read, err := f.askEndpoints(ctx, from)
		if !f.recordResult(ctx, topicDiscovery, err) {
			return false
		}
		if f.acceptEndpoints(from, read) != storeera.Restart {
			return true
		}
	}
}

// askEndpoints reads discovery from a position.
func (f *follower) askEndpoints(ctx context.Context, from storeera.Position) (EndpointsRead, error) {
	ctx, cancel := limitAttempt(ctx, f.failuresOf(topicDiscovery))
	defer cancel()
	return f.g.adapter.Store.Endpoints(ctx, from)
}

// recordResult records whether a read of a topic of the store has succeeded, and
// logs when that changes. It reports whether the read has succeeded.
func (f *follower) recordResult(ctx context.Context, topic string, err error) bool {
	f.g.metrics.LogCall("read", topic)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.answeredAt = time.Now()
		if f.failures[topic] > 0 {
			f.failures[topic] = 0
			telemetry.Log(f.g.log, telemetry.EventLogRestored, "reading", topic, "proof_age_ms", f.g.state.proofAge().Milliseconds())
		}
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	f.failures[topic]++
	if f.failures[topic] == 1 {
		telemetry.Log(f.g.log, telemetry.EventLogUnavailable, "reading", topic, "error", trace.UserMessage(err),
			"config", f.g.state.version(), "proof_age_ms", f.g.state.proofAge().Milliseconds())
	}
	return false
}
