package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/rollout"
	"github.com/medlarhold/medlarhold/internal/core/storeera"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// One instance decides about roll-outs. It keeps its words in the store, so that a successor goes on from
// there, and writes each under the condition that nobody else has written since.

const (
	// decideInterval is the time between two decisions.
	decideInterval = 250 * time.Millisecond
	// rolloutCallTimeout bounds a call to the store: no decision is made meanwhile.
	rolloutCallTimeout = 800 * time.Millisecond
	// rolloutRetryInterval is the time between two attempts after a failed call.
	rolloutRetryInterval = time.Second
)

// RolloutStatus is what operators are told about an order.
type RolloutStatus struct {
	State  rollout.State
	Target string
}

// RolloutsRead is the result of Store.Rollouts.
type RolloutsRead struct {
	// Words are the saved words, with their times as of now.
	Words []rollout.Word
	// Next is the position at which the log of words ends.
	Next storeera.Position
	// Status is the status of each pool that operators see.
	Status map[entity.PoolID]RolloutStatus
}

// rolloutKeeper is the state of the instance that decides. Only the goroutine of keep accesses it, but for
// decides.
type rolloutKeeper struct {
	// decides is set while this instance decides.
	decides atomic.Bool
	// storeReplaced is set once the store was replaced, which may have lost what was saved.
	storeReplaced atomic.Bool
	deciders      map[entity.PoolID]*rollout.Decider
	// loaded is set while saved, status and at are those of the store.
	loaded bool
	saved  map[entity.PoolID]rollout.Word
	status map[entity.PoolID]RolloutStatus
	at     storeera.Position
	// callAgainAt is when the store is called again after a failure.
	callAgainAt time.Time
}

func newRolloutKeeper() rolloutKeeper {
	return rolloutKeeper{deciders: make(map[entity.PoolID]*rollout.Decider)}
}

// setDecides sets whether this instance decides.
func (o *rollouts) setDecides(on bool) { o.keeper.decides.Store(on) }

// keep decides about roll-outs while this instance is the one that does, until ctx ends.
func (o *rollouts) keep(ctx context.Context) {
	if !o.inForce() {
		return
	}
	for ; ctx.Err() == nil; pause(ctx, decideInterval) {
		if !o.keeper.decides.Load() {
			o.keeper.loaded = false
			clear(o.keeper.deciders)
			continue
		}
		o.decideAll(ctx)
	}
}

// decideAll makes one decision about each order.
func (o *rollouts) decideAll(ctx context.Context) {
	words := o.snapshot()
	if len(words) == 0 {
		return
	}
	if o.keeper.storeReplaced.Swap(false) {
		o.keeper.loaded = false
	}
	o.load(ctx)
	counts, traffic := o.drain(bootTime())
	for _, w := range words {
		if w, ok := o.word(w.Pool); ok {
			o.decide(ctx, w, counts, traffic)
		}
	}
}

func (o *rollouts) word(pool entity.PoolID) (rollout.Word, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Word(bootTime(), pool)
}

// decide makes one decision about one order, and saves what the store lacks.
func (o *rollouts) decide(ctx context.Context, w rollout.Word, counts []rollout.Count, traffic []rollout.Traffic) {
	k := &o.keeper
	if saved, ok := k.saved[w.Pool]; ok && w.Target == "" && saved.State == rollout.StateRunning {
		w = rollout.Withdraw(saved, w)
		o.adopt(w)
	}
	if w.Target == "" || w.State == rollout.StateRejected {
		return
	}
	d := k.deciders[w.Pool]
	if d == nil || !d.Decides(w.Order) {
		d = rollout.NewDecider(o.g.settings.Exposure, w)
		k.deciders[w.Pool] = d
	}
	d.Count(w.Elapsed, counts, traffic)
	next := d.Decide(w, o.view(w))
	next.Age = 0
	if next.Generation != w.Generation && next.State != rollout.StateRolledBack && next.Share >= w.Share {
		if !o.save(ctx, next) {
			w.Age, w.Evidence = 0, next.Evidence
			next = w // what is in force stays
		}
	}
	if !next.State.Ended() || next.Generation != w.Generation {
		o.adopt(next)
	}
	o.saveMissing(ctx, next)
}

// adopt puts a word into force.
func (o *rollouts) adopt(w rollout.Word) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Merge(bootTime(), []rollout.Word{w})
}

// view returns what the decider needs to know of a pool.
func (o *rollouts) view(w rollout.Word) rollout.View {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := rollout.View{Versions: o.servingVersions(w.Pool)}
	if cfg := o.g.state.config.Load(); cfg != nil {
		v.Known = cfg.Pools[w.Pool] != nil
	}
	for _, e := range o.g.state.endpoints.Load().Pool(w.Pool) {
		if !e.Leaving && e.Version == w.Target {
			v.TargetEndpoints++
		}
	}
	return v
}

// load reads what the store holds, if that is not known.
func (o *rollouts) load(ctx context.Context) {
	k := &o.keeper
	if k.loaded || time.Now().Before(k.callAgainAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	o.g.metrics.LogCall("newest", "rollouts")
	read, err := o.g.adapter.Store.Rollouts(ctx)
	if err != nil {
		telemetry.Log(o.g.log, telemetry.EventLogUnavailable, "call", "rollouts", "error", trace.UserMessage(err))
		k.callAgainAt = time.Now().Add(rolloutRetryInterval)
		return
	}
	k.loaded, k.at, k.status = true, read.Next, read.Status
	k.saved = make(map[entity.PoolID]rollout.Word)
	for _, w := range read.Words {
		k.saved[w.Pool] = w
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.MergeSaved(bootTime(), read.Words)
}

// save writes a word. It reports whether the word is the newest in the store.
func (o *rollouts) save(ctx context.Context, w rollout.Word) bool {
	k := &o.keeper
	if !k.loaded {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	o.g.metrics.LogCall("append", "rollouts")
	if err := o.g.adapter.Store.SaveRollout(ctx, k.at, w); err != nil {
		o.callFailed(w, err)
		return false
	}
	k.at.Offset = max(0, k.at.Offset) + 1
	k.saved[w.Pool] = w
	return true
}

// callFailed makes the store be read again before the next write: whether this one took effect is not
// known.
func (o *rollouts) callFailed(w rollout.Word, err error) {
	o.keeper.loaded, o.keeper.callAgainAt = false, time.Now().Add(rolloutRetryInterval)
	telemetry.Log(o.g.log, telemetry.EventRolloutNotSaved, "pool", w.Pool, "target", w.Target, "state", w.State, "generation", w.Generation, "error", trace.UserMessage(err))
}

// saveMissing writes the word and the operators' status if the store lacks them. The status of an end is
// written after the word, so that no successor can decide otherwise.
func (o *rollouts) saveMissing(ctx context.Context, w rollout.Word) {
	k := &o.keeper
	if !k.loaded || w.State == rollout.StateHeard {
		return
	}
	saved := k.saved[w.Pool]
	if (saved.Order != w.Order || saved.Generation < w.Generation || saved.State != w.State) && !o.save(ctx, w) {
		return
	}
	due := RolloutStatus{State: w.State, Target: w.Target}
	if k.status[w.Pool] == due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	o.g.metrics.LogCall("append", "status")
	if err := o.g.adapter.Store.WriteRolloutStatus(ctx, w.Pool, due); err != nil {
		o.callFailed(w, err)
		return
	}
	k.status[w.Pool] = due
	telemetry.Log(o.g.log, telemetry.EventRolloutStatusWritten, "pool", w.Pool, "target", w.Target, "state", w.State)
}

// logMalformed logs orders that can't be read.
func (o *rollouts) logMalformed(errs []error) {
	for _, err := range errs {
		telemetry.Log(o.g.log, telemetry.EventRolloutRejected, "error", trace.UserMessage(err))
	}
}

// logChanges logs the words that are new to this instance.
func (o *rollouts) logChanges() {
	o.mu.Lock()
	changes := o.table.Changes()
	o.mu.Unlock()
	events := map[rollout.State]telemetry.Event{
		rollout.StateHeard: telemetry.EventRolloutHeard, rollout.StateRejected: telemetry.EventRolloutRejected,
		rollout.StateRunning: telemetry.EventRolloutStep, rollout.StateDone: telemetry.EventRolloutDone,
		rollout.StateRolledBack: telemetry.EventRolloutRolledBack,
	}
	for _, w := range changes {
		event, ok := events[w.State]
		if !ok {
			continue // a state of a later version of this program
		}
		s := &w.Evidence
		telemetry.Log(o.g.log, event, "pool", w.Pool, "target", w.Target, "within_ms", w.Duration.Milliseconds(), "share", w.Share, "generation", w.Generation,
			"elapsed_ms", w.Elapsed.Milliseconds(), "why", w.Why, "requests", s.Requests, "exposed", s.Exposed, "answers", s.Answers, "failed", s.Failed,
			"suspicion", s.Suspicion, "route", s.Route, "kind", s.Kind, "running_elsewhere", s.Running)
	}
}
