package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/rollout"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// targetWait is how long a request of the target's share waits for an endpoint of the target
	// before it goes elsewhere.
	targetWait = 150 * time.Millisecond
	// minAwaited is how long an answer must have been awaited in vain to say something about its endpoint.
	minAwaited = 500 * time.Millisecond
)

// rollouts holds what this instance knows and counts about roll-outs. It is safe for concurrent use.
type rollouts struct {
	g     *Instance
	mu    sync.Mutex
	table *rollout.Table
	tally *rollout.Tally
	// running counts the requests that run here, by pool and version.
	running map[poolVersion]int
	// versions caches the versions of each pool in versionsOf.
	versions   map[entity.PoolID][]string
	versionsOf *catalog.Endpoints
	keeper     rolloutKeeper
}

// poolVersion identifies the endpoints of one software version of a pool.
type poolVersion struct {
	pool    entity.PoolID
	version string
}

func newRollouts(g *Instance) *rollouts {
	return &rollouts{
		g: g, table: rollout.NewTable(string(g.self.ID)), tally: rollout.NewTally(), running: make(map[poolVersion]int),
		keeper: newRolloutKeeper(),
	}
}

// inForce reports whether the deployment uses roll-outs.
func (o *rollouts) inForce() bool { return o.g.settings.Exposure.InForce() }

// servingVersions returns the versions of a pool's endpoints that are not leaving, sorted. o.mu must
// be held.
func (o *rollouts) servingVersions(pool entity.PoolID) []string {
	t := o.g.state.endpoints.Load()
	if t != o.versionsOf {
		o.versions, o.versionsOf = make(map[entity.PoolID][]string), t
	}
	versions, ok := o.versions[pool]
	if !ok {
		for _, e := range t.Pool(pool) {
			if !e.Leaving {
				versions = append(versions, e.Version)
			}
		}
		slices.Sort(versions)
		versions = slices.Compact(versions)
		o.versions[pool] = versions
	}
	return versions
}

// endpointsChanged records the versions of all pools, since new ones get nothing until the orders were
// read.
func (o *rollouts) endpointsChanged(t *catalog.Endpoints) {
	if !o.inForce() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	boot := bootTime()
	for _, pool := range t.Pools() {
		if versions := o.servingVersions(pool); len(versions) > 0 {
			o.table.SetVersions(boot, pool, versions)
		}
	}
}

// acquire acquires a slot on an endpoint of a version that may get the request. A slot that is granted
// after another word has come is given back if its endpoint may not get the request any more.
func (o *rollouts) acquire(ctx context.Context, r edge.SlotRequest, avoid []entity.EndpointID) (edge.Slot, *verdict.Error) {
	for {
		share, v := o.choose(&r, len(avoid) > 0)
		if v != nil {
			return edge.Slot{}, v
		}
		slot, v := o.acquireChosen(ctx, r, avoid, share)
		if v != nil {
			return edge.Slot{}, v
		}
		if o.allows(r, slot.Endpoint.Version) {
			return o.track(r, slot, len(avoid) == 0), nil
		}
		slot.Release(edge.Outcome{Cancelled: true})
	}
}

// request returns what the choice for a request depends on. o.mu must be held.
func (o *rollouts) request(r *edge.SlotRequest, retry bool) rollout.Request {
	return rollout.Request{
		Pool: r.Pool, Route: r.Route, Retry: retry, Versions: o.servingVersions(r.Pool), ProvedAt: time.Duration(o.g.state.provedAt.Load()),
	}
}

// allows reports whether a request may still go to the version that it has got a slot of.
func (o *rollouts) allows(r edge.SlotRequest, version string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Version != "" {
		return o.table.MayResume(bootTime(), r.Pool, version)
	}
	return o.table.Allows(bootTime(), o.request(&r, true), r.Choice, version)
}

// choose sets which versions may get a request. share is set if it is one of the share of a target
// that does not have all requests.
func (o *rollouts) choose(r *edge.SlotRequest, retry bool) (share bool, v *verdict.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	boot := bootTime()
	if r.Version != "" {
		if !o.table.MayResume(boot, r.Pool, r.Version) {
			return false, versionGone(*r)
		}
		return false, nil
	}
	r.Choice = o.table.Choose(boot, o.request(r, retry))
	return r.Choice.Only != "" && r.Choice.Spread < 1, nil
}

// acquireChosen acquires a slot. A request of a share goes elsewhere if the target has no room.
func (o *rollouts) acquireChosen(ctx context.Context, r edge.SlotRequest, avoid []entity.EndpointID, share bool) (edge.Slot, *verdict.Error) {
	if !share {
		return o.g.acquire(ctx, r, avoid)
	}
	short, cancel := context.WithTimeout(ctx, targetWait)
	slot, v := o.g.acquire(short, r, avoid)
	cancel()
	if v == nil {
		return slot, nil
	}
	r.Choice = rollout.Choice{Not: []string{r.Choice.Only}}
	return o.g.acquire(ctx, r, avoid)
}

// track counts a dispatch and, when it has ended, its result.
func (o *rollouts) track(r edge.SlotRequest, slot edge.Slot, first bool) edge.Slot {
	key := poolVersion{r.Pool, slot.Endpoint.Version}
	o.began(key, first)
	release, begun := slot.Release, time.Now()
	slot.Release = func(out edge.Outcome) {
		o.ended(key, r.Route, slot.Endpoint.ID, out, time.Since(begun))
		release(out)
	}
	return slot
}

func (o *rollouts) began(key poolVersion, first bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[key]++
	if w, ok := o.table.Word(bootTime(), key.pool); ok && w.State == rollout.StateRunning {
		o.tally.Requested(key.pool, first, key.version == w.Target)
		o.g.metrics.RolloutDispatched(key.version == w.Target)
	}
}

func (o *rollouts) ended(key poolVersion, route string, endpoint entity.EndpointID, out edge.Outcome, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[key]--; o.running[key] <= 0 {
		delete(o.running, key)
	}
	w, ok := o.table.Word(bootTime(), key.pool)
	if !ok || w.State != rollout.StateRunning {
		return
	}
	a := rollout.Answer{
		Pool: key.pool, Route: route, Endpoint: endpoint, Version: key.version, Failed: out.Failed || out.ServerError, FirstByte: out.TimeToFirstByte, Total: took,
	}
	if out.NotRun || out.Cancelled && a.FirstByte == 0 && took < minAwaited {
		return // it says nothing about the version
	}
	if out.Cancelled {
		a.Failed = false
	}
	if a.FirstByte == 0 {
		a.FirstByte = took
	}
	o.tally.Answered(a, key.version == w.Target)
	if a.Failed {
		o.g.metrics.RolloutFailed(key.version == w.Target)
	}
}

// runningElsewhere returns the number of requests of a pool that run here at other versions than the
// given one. o.mu must be held.
func (o *rollouts) runningElsewhere(pool entity.PoolID, version string) (n int) {
	for key, count := range o.running {
		if key.pool == pool && key.version != version {
			n += count
		}
	}
	return n
}

// words returns the words that other instances need: all but those about pools that have one version
// left.
func (o *rollouts) words(boot time.Duration) (out []rollout.Word) {
	if !o.inForce() {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.table.Words(boot) {
		if w.State == rollout.StateHeard || w.State == rollout.StateRunning || len(o.servingVersions(w.Pool)) != 1 {
			out = append(out, w)
		}
	}
	return out
}

// drain returns what was counted since the last call, here and at the instances that report to this
// one.
func (o *rollouts) drain(boot time.Duration) ([]rollout.Count, []rollout.Traffic) {
	if !o.inForce() {
		return nil, nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.table.Words(boot) {
		if w.State == rollout.StateRunning {
			o.tally.SetRunning(boot, w.Pool, o.g.self.ID, o.runningElsewhere(w.Pool, w.Target))
		}
	}
	return o.tally.Drain(boot)
}

// merge adds what another instance says.
func (o *rollouts) merge(boot time.Duration, from entity.InstanceID, m *rollout.Message) {
	if !o.inForce() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Merge(boot, m.Words)
	o.tally.Add(boot, from, m)
}

// hear processes the orders that were read from the store.
func (o *rollouts) hear(read ConfigRead) {
	if !o.inForce() {
		return
	}
	o.mu.Lock()
	o.table.Hear(bootTime(), read.Orders, read.Complete, read.Next)
	o.mu.Unlock()
	o.logMalformed(read.MalformedOrders)
}

// reserved returns the versions of each pool with an order that get only requests meant for them.
func (o *rollouts) reserved() map[entity.PoolID][]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[entity.PoolID][]string)
	boot := bootTime()
	for _, w := range o.table.Words(boot) {
		out[w.Pool] = o.table.Reserved(boot, w.Pool)
	}
	return out
}

// snapshot returns all words.
func (o *rollouts) snapshot() []rollout.Word {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Words(bootTime())
}

// applyRollouts passes the reserved versions to the brokers, and logs what has changed.
func (c *control) applyRollouts() {
	if !c.g.rollouts.inForce() {
		return
	}
	for pool, versions := range c.g.rollouts.reserved() {
		c.elected.SetReserved(pool, versions)
		c.local.SetReserved(pool, versions)
	}
	c.g.rollouts.logChanges()
}

// admits reports whether an endpoint may get a request.
func admits(r edge.SlotRequest, e *catalog.Endpoint) bool {
	switch {
	case r.Version != "":
		return e.Version == r.Version
	case r.Choice.Only != "":
		return e.Version == r.Choice.Only
	}
	return !slices.Contains(r.Choice.Not, e.Version)
}

// admitted returns the endpoints that may get a request, and the ids of the others.
func admitted(endpoints []*catalog.Endpoint, r edge.SlotRequest) (may []*catalog.Endpoint, others []entity.EndpointID) {
	if r.Version == "" && r.Choice.Free() {
		return endpoints, nil
	}
	for _, e := range endpoints {
		if admits(r, e) {
			may = append(may, e)
		} else {
			others = append(others, e.ID)
		}
	}
	return may, others
}

// spread returns the endpoints of a plain service that get a request of a share now.
func spread(now time.Time, endpoints []*catalog.Endpoint, c rollout.Choice) []*catalog.Endpoint {
	if c.Only == "" {
		return endpoints
	}
	staying := slices.DeleteFunc(slices.Clone(endpoints), func(e *catalog.Endpoint) bool { return e.Leaving })
	var out []*catalog.Endpoint
	for i, e := range staying {
		if c.Spreads(now, i, len(staying)) {
			out = append(out, e)
		}
	}
	return out
}
