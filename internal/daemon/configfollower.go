package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/claim"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

const (
	// configWait is how long a read of the configuration stream waits for changes.
	configWait = 2 * time.Second
	// configReadTimeout bounds such a read. Both together bound how long a
	// connection that went silent keeps a change from this instance.
	configReadTimeout = configWait + time.Second
	// configRetryPause is the pause after a read that failed.
	configRetryPause = 300 * time.Millisecond
	// logRetention is how long the log service keeps records at the least.
	logRetention = claim.DefaultRetention
)

// configFollower keeps the configuration in force up to date with the log.
type configFollower struct {
	d        *Daemon
	log      platform.Log
	follower *config.Follower
	// caughtUp and confirmedAt are what other goroutines may know.
	caughtUp    atomic.Bool
	confirmedAt atomic.Int64 // Unix milliseconds
	logDown     bool
	keeper      config.SnapshotScheduler
}

func newConfigFollower(d *Daemon, log platform.Log) *configFollower {
	return &configFollower{d: d, log: log, follower: config.NewFollower(), keeper: config.SnapshotScheduler{Stagger: rand.Float64()}}
}

// run follows the stream until ctx ends.
func (f *configFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		before := f.follower.State().Revision()
		outcomes, err := f.step(ctx)
		f.report(outcomes)
		if err != nil {
			f.failed(ctx)
		} else if f.logDown {
			f.logDown = false
			telemetry.Log(f.d.log, telemetry.EventLogRestored)
		}
		f.publish(ctx, before)
	}
}

// step makes one read. After one that failed it doesn't wait for changes, so
// that a slow log leaves time for an answer.
func (f *configFollower) step(ctx context.Context) ([]config.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, configReadTimeout)
	defer cancel()
	wait := configWait
	if f.logDown {
		wait = 0
	}
	return f.follower.Step(ctx, f.log, time.Now, wait)
}

// publish puts a newer state into force. The instance is ready only once the
// control goroutine acts by it.
func (f *configFollower) publish(ctx context.Context, before config.Revision) {
	st := f.follower.State()
	if st.Revision() != before || !f.caughtUp.Load() {
		f.d.loop.Post(node.Configured{State: st})
	}
	f.confirmedAt.Store(f.follower.ConfirmedAt().UnixMilli())
	if !f.follower.CaughtUp() || f.caughtUp.Load() {
		return
	}
	if f.d.loop.Do(ctx, func(*node.Node) {}) {
		f.caughtUp.Store(true)
		telemetry.Log(f.d.log, telemetry.EventConfigCaughtUp, "revision", st.Revision())
		telemetry.Log(f.d.log, telemetry.EventReady, "instance", f.d.self.ID)
	}
}

// failed waits before the next read, and looks for a newer state at the peers.
func (f *configFollower) failed(ctx context.Context) {
	if !f.logDown && ctx.Err() == nil {
		f.logDown = true
		telemetry.Log(f.d.log, telemetry.EventLogUnavailable)
	}
	f.askPeers(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(configRetryPause):
	}
}

func (f *configFollower) report(outcomes []config.Outcome) {
	for _, o := range outcomes {
		if o.Result == config.ResultApplied {
			telemetry.Log(f.d.log, telemetry.EventConfigApplied, "change", o.ChangeID, "revision", o.Offset)
			continue
		}
		telemetry.Log(f.d.log, telemetry.EventConfigRejected, "change", o.ChangeID, "result", o.Result)
	}
}

// age is how long ago the configuration was last known to be the newest.
func (f *configFollower) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(f.confirmedAt.Load()))
}

// ready says whether the instance may serve with what it has.
func (f *configFollower) ready() (bool, string) {
	if !f.caughtUp.Load() {
		return false, "configuration not caught up"
	}
	return true, ""
}

// snapshot appends a snapshot of the configuration if one is due.
func (f *configFollower) snapshot(ctx context.Context) {
	for {
		ask := f.keeper.NextRead()
		res, err := f.log.Read(ctx, ask.Stream, ask.From, ask.Limit, 0)
		switch {
		case errors.Is(err, platform.ErrTruncated):
			f.keeper.HandleTruncated(res)
			continue
		case err != nil:
			return
		}
		f.keeper.HandleRead(res)
		if f.keeper.Synced() {
			break
		}
	}
	st := f.d.loop.State()
	if !f.keeper.NeedsSnapshot(time.Now(), logRetention, st) {
		return
	}
	if err := config.AppendSnapshot(ctx, f.log, st, ulid.Make().String()); err == nil {
		telemetry.Log(f.d.log, telemetry.EventConfigSnapshot, "revision", st.Revision())
	}
}
