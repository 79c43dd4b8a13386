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
	// configReadTimeout bounds such a read, and thereby how long an
	// unresponsive connection keeps a change from this instance.
	configReadTimeout = configWait + time.Second
	// configRetryPause is the pause after a read that failed.
	configRetryPause = 300 * time.Millisecond
	// logRetention is the minimum time for which the log service keeps records.
	logRetention = claim.DefaultRetention
)

// configFollower reads the configuration stream of the log service and puts each
// newer configuration into force.
type configFollower struct {
	d        *Daemon
	log      platform.Log
	follower *config.Follower
	// caughtUp and confirmedAt may be read by any goroutine.
	caughtUp    atomic.Bool
	confirmedAt atomic.Int64 // Unix milliseconds
	logDown     bool
	scheduler   config.SnapshotScheduler
}

func newConfigFollower(d *Daemon, log platform.Log) *configFollower {
	return &configFollower{d: d, log: log, follower: config.NewFollower(), scheduler: config.SnapshotScheduler{Stagger: rand.Float64()}}
}

// run follows the stream until ctx ends.
func (f *configFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		before := f.follower.State().Revision()
		outcomes, err := f.step(ctx)
		f.report(outcomes)
		if err != nil {
			f.backOff(ctx)
		} else if f.logDown {
			f.logDown = false
			telemetry.Log(f.d.log, telemetry.EventLogRestored)
		}
		f.publish(ctx, before)
	}
}

// step makes one read. After a failed read it does not wait for changes, so that
// the full timeout is available to a slow log service.
func (f *configFollower) step(ctx context.Context) ([]config.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, configReadTimeout)
	defer cancel()
	wait := configWait
	if f.logDown {
		wait = 0
	}
	return f.follower.Step(ctx, f.log, time.Now, wait)
}

// publish puts a newer state into force. It sets caughtUp, which makes the
// instance ready, only once the control goroutine has processed the state.
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

// backOff logs the start of an outage of the log service, looks for a newer
// state at the peers and waits before the next read.
func (f *configFollower) backOff(ctx context.Context) {
	if !f.logDown && ctx.Err() == nil {
		f.logDown = true
		telemetry.Log(f.d.log, telemetry.EventLogUnavailable)
	}
	f.fetchFromPeers(ctx)
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

// age returns the time since the configuration was last known to be the newest.
func (f *configFollower) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(f.confirmedAt.Load()))
}

// ready reports whether the instance has caught up with the configuration and,
// if not, the reason.
func (f *configFollower) ready() (bool, string) {
	if !f.caughtUp.Load() {
		return false, "configuration not caught up"
	}
	return true, ""
}

// snapshot appends a snapshot of the configuration if one is due. It first reads
// the snapshot stream to its end, to see whether there is a recent one.
func (f *configFollower) snapshot(ctx context.Context) {
	for {
		next := f.scheduler.NextRead()
		res, err := f.log.Read(ctx, next.Stream, next.From, next.Limit, 0)
		switch {
		case errors.Is(err, platform.ErrTruncated):
			f.scheduler.HandleTruncated(res)
			continue
		case err != nil:
			return
		}
		f.scheduler.HandleRead(res)
		if f.scheduler.Synced() {
			break
		}
	}
	st := f.d.loop.State()
	if !f.scheduler.NeedsSnapshot(time.Now(), logRetention, st) {
		return
	}
	if err := config.AppendSnapshot(ctx, f.log, st, ulid.Make().String()); err == nil {
		telemetry.Log(f.d.log, telemetry.EventConfigSnapshot, "revision", st.Revision())
	}
}
