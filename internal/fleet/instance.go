package fleet

import (
	"errors"
	"fmt"
	"math/rand"
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/claim"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	configRetryPause = 300 * time.Millisecond
	configWait       = 2 * time.Second
	pollInterval     = time.Second
	// peerCompareInterval is how often an instance compares the revision of its
	// configuration with those of its peers.
	peerCompareInterval = 500 * time.Millisecond
	// claimDispatchWithin and claimRunFor limit a claimed call. They are short, so
	// that these limits are reached in simulations.
	claimDispatchWithin = 3 * time.Second
	claimRunFor         = 6 * time.Second
	// stopNotice is how long a stopping instance still accepts requests.
	stopNotice = time.Second
)

// liveness is the state of a process.
type liveness int

const (
	stateLive liveness = iota
	stateFrozen
	stateDead
)

// instance is one process: the decision core and the simulated I/O around it.
type instance struct {
	f        *Fleet
	id       entity.InstanceID
	zone     entity.ZoneID
	self     entity.Instance
	state    liveness
	node     *node.Node
	follower *config.Follower
	// backlog holds the callbacks that a frozen process runs once it continues.
	backlog      []func()
	jobs         map[entity.RequestID]*job
	allJobs      []*job // in order of arrival
	owned        []entity.Endpoint
	nextCacheSeq map[entity.EndpointID]uint64
	ready        bool // it serves callers
	// wasFrozen is set by the first freeze and never cleared.
	wasFrozen bool
	// behindSince is when the peers were first seen to have a newer configuration;
	// zero if they have none.
	behindSince time.Time
	// configReachableSince is since when the instance can learn the newest
	// configuration, from the log or from a peer; zero while it can't.
	configReachableSince time.Time
	stopping             bool
	refusesConns         bool // it accepts no new connections
}

// start starts a new instance in a zone.
func (f *Fleet) start(zone entity.ZoneID) {
	f.instanceCount++
	id := entity.InstanceID(fmt.Sprintf("%s-i%d", zone, f.instanceCount))
	in := &instance{
		f: f, id: id, zone: zone, follower: config.NewFollower(),
		self: entity.Instance{ID: id, Zone: zone, Region: "r", PeerAddress: "peer/" + string(id)},
		jobs: make(map[entity.RequestID]*job), nextCacheSeq: make(map[entity.EndpointID]uint64),
	}
	s := node.DefaultSettings(in.self)
	s.Admission.QueuePerEndpoint = f.plan.queuePerEndpoint
	s.Claims.DispatchWithin, s.Claims.MaxRunTime = claimDispatchWithin, claimRunFor
	in.node = node.New(s, rand.New(rand.NewSource(f.rng.Int63())))
	f.instances = append(f.instances, in)
	f.byID[id] = in
	in.tick()
	in.followConfig()
	in.renewListEntry()
	in.poll()
	in.comparePeers()
	f.tracef("%s started", id)
}

// do runs fn as part of the process: at once if it is live, after the freeze if it
// is frozen, and never if it is dead.
func (in *instance) do(fn func()) {
	switch in.state {
	case stateLive:
		fn()
	case stateFrozen:
		in.backlog = append(in.backlog, fn)
	case stateDead:
	}
}

// every runs fn now, and then again every d until the process is dead.
func (in *instance) every(d time.Duration, fn func()) {
	in.do(func() {
		fn()
		in.f.after(d, func() { in.every(d, fn) })
	})
}

// post passes a message to the core, under the same conditions as do.
func (in *instance) post(msg any) { in.do(func() { in.step(msg) }) }

func (in *instance) step(msg any) {
	in.node.Step(in.f.now, msg)
	in.carryOut()
}

func (in *instance) tick() {
	in.every(node.TickInterval, func() {
		in.node.Tick(in.f.now)
		in.carryOut()
	})
}

// carryOut executes the core's decisions.
func (in *instance) carryOut() {
	r := in.node.Ready()
	for _, m := range r.Peers {
		in.f.send(in, m)
	}
	for _, d := range r.Directives {
		if j := in.jobs[d.ID]; j != nil {
			j.execute(d)
		}
	}
	for _, a := range r.ClaimAppends {
		in.appendClaims(a)
	}
	for _, q := range r.ClaimReads {
		in.readClaims(q)
	}
	if r.Owned != nil {
		in.owned = *r.Owned
	}
}

func (in *instance) appendClaims(a node.ClaimAppend) {
	in.f.platform.append(in, a.Batch.Stream, a.Batch.Data, func(off platform.Offset, err error) {
		status := claim.AppendUnknown
		switch {
		case err == nil:
			status = claim.AppendDone
		case errors.Is(err, platform.ErrNotAppended):
			status = claim.AppendFailed
		}
		in.step(node.ClaimAppended{Shard: a.Shard, Batch: a.Batch.ID, Status: status, Offset: off})
	})
}

func (in *instance) readClaims(q node.ClaimReadRequest) {
	in.f.platform.read(in, q.Read.Stream, q.Read.From, q.Read.Limit, q.Read.Wait, func(res platform.ReadResult, err error) {
		in.step(node.ClaimRead{Shard: q.Shard, Result: res, Err: err})
	})
}

// poll polls the owned engines for their load and cache events.
func (in *instance) poll() {
	in.every(pollInterval, func() {
		for _, e := range in.owned {
			if eng := in.f.engines[e.ID]; eng != nil && in.f.net.reaches(in.zone, e.Zone) {
				in.pollEngine(e.ID, eng)
			}
		}
	})
}

func (in *instance) pollEngine(id entity.EndpointID, eng *engine) {
	l := eng.model.Load(in.f.now)
	events := eng.model.CacheEvents(in.f.now, in.nextCacheSeq[id], pollLimit)
	in.nextCacheSeq[id] = events.Next
	in.f.after(in.f.between(minDelay, maxDelay), func() {
		in.post(node.LoadReport{Report: entity.LoadReport{Endpoint: id, At: l.AsOf, Running: l.Running, Waiting: l.Waiting, KVTokens: l.KVTokens}})
		for _, ev := range events.Events {
			in.post(node.CacheEvent{Event: cacheEvent(id, ev)})
		}
	})
}

// serve accepts a request, as the HTTP side towards callers does.
func (in *instance) serve(c *call) {
	in.do(func() {
		j := &job{in: in, call: c, id: c.work.ID}
		if !in.ready {
			j.answer(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonNotReady}, "")
			return
		}
		in.jobs[j.id] = j
		in.allJobs = append(in.allJobs, j)
		in.step(node.Arrive{Arrival: request.Arrival{Work: c.work, Key: c.key, BodyHash: c.body}})
	})
}

// kill ends the process abruptly. The connections of its callers are cut.
func (in *instance) kill() {
	if in.state == stateDead {
		return
	}
	in.f.tracef("%s killed", in.id)
	in.state = stateDead
	in.f.record(history.Event{Kind: history.KindDown, Instance: in.id})
	for _, j := range in.allJobs {
		if !j.answered {
			in.f.record(history.Event{Kind: history.KindCut, Request: j.id, Instance: in.id})
		}
	}
}

func (in *instance) freeze() {
	if in.state != stateLive {
		return
	}
	in.f.tracef("%s frozen", in.id)
	in.state, in.wasFrozen = stateFrozen, true
	in.f.record(history.Event{Kind: history.KindDown, Instance: in.id})
}

// unfreeze continues a frozen process and runs its backlog.
func (in *instance) unfreeze() {
	if in.state != stateFrozen {
		return
	}
	in.f.tracef("%s unfrozen", in.id)
	in.state = stateLive
	waiting := in.backlog
	in.backlog = nil
	for _, fn := range waiting {
		in.do(fn)
	}
	if in.ready && !in.stopping {
		in.recordUp()
	}
}

// stop starts a planned stop. The instance still accepts connections for stopNotice,
// and ends as soon as nothing is in flight after that.
func (in *instance) stop() {
	in.do(func() {
		if in.stopping {
			return
		}
		in.f.tracef("%s began its planned stop", in.id)
		in.stopping = true
		in.f.record(history.Event{Kind: history.KindStopBegin, Instance: in.id})
		in.step(node.Drain{Notice: stopNotice})
		in.f.after(stopNotice, func() { in.refusesConns = true })
		in.f.after(stopNotice, in.endWhenIdle)
	})
}

func (in *instance) endWhenIdle() {
	in.do(func() {
		if in.node.InFlight() > 0 || in.unanswered() > 0 {
			in.f.after(node.TickInterval, in.endWhenIdle)
			return
		}
		in.f.tracef("%s ended its planned stop", in.id)
		in.f.record(history.Event{Kind: history.KindStopEnd, Instance: in.id})
		in.state = stateDead
	})
}

// unanswered returns the number of requests without a final answer.
func (in *instance) unanswered() int {
	n := 0
	for _, j := range in.allJobs {
		if !j.answered {
			n++
		}
	}
	return n
}
