package fleet

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/standin/engine/model"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// The times of a history.
const (
	// warmUp is when callers begin to send.
	warmUp = 5 * time.Second
	// loadLasts is how long they do.
	loadLasts = 8 * time.Second
	// coolDown is how long after the load everything must be answered: the
	// longest deadline, a call's end after it, and a leave under a cut. A
	// history ends earlier, after minCoolDown, when all is quiet.
	coolDown    = 25 * time.Second
	minCoolDown = 7 * time.Second
	// reachInterval is how often it is noted who reaches what.
	reachInterval = 100 * time.Millisecond
	// answerWithin is how long after its deadline a request may stay without
	// its final answer: as long as it may take until a cancelled stream, or a
	// call that may not be interrupted, comes to its end.
	answerWithin = callTimeout + controlTimeout + connectLimit
)

// The speeds of an engine, in tokens a second.
const (
	prefillRate = 4000
	decodeRate  = 40
)

// plan is what a seed decides at the start.
type plan struct {
	queue        int
	gap          time.Duration
	serviceShare float64
	loadEnds     time.Time
	faults       []scheduledFault
}

// Fleet is one history in the making.
type Fleet struct {
	*clock
	net       *network
	platform  *platformFake
	zones     []entity.ZoneID
	orgs      []entity.OrgID
	instances []*instance
	byID      map[entity.InstanceID]*instance
	endpoints []entity.EndpointID
	engines   map[entity.EndpointID]*engine
	services  map[entity.EndpointID]*service
	// configured is the endpoints' part of the configuration.
	configured map[entity.EndpointID]config.Endpoint
	accepted   config.State
	balanced   []*instance
	sends      []sent
	events     []history.Event
	// unknowing are dispatches by instances that could not know that the
	// endpoint is leaving.
	unknowing map[entity.RequestID]bool
	outcomes  map[verdict.Reason]int
	plan      plan
	trace     io.Writer

	born, calls, changes, sent int
}

// Options of a history.
type Options struct {
	// Trace gets a line for whatever happens; nil for none.
	Trace io.Writer
}

// Result is what came of a history.
type Result struct {
	Seed       int64
	Faults     []string
	Kinds      []Fault
	Violations []history.Violation
	Events     []history.Event
	// Requests counts the requests sent, Outcomes their answers by reason.
	Requests int
	Outcomes map[verdict.Reason]int
	Messages int
}

// Run plays the history of a seed.
func Run(seed int64, o Options) Result {
	f := &Fleet{
		clock: newClock(seed), net: newNetwork(), trace: o.Trace,
		byID: make(map[entity.InstanceID]*instance), engines: make(map[entity.EndpointID]*engine),
		services: make(map[entity.EndpointID]*service), configured: make(map[entity.EndpointID]config.Endpoint),
		outcomes: make(map[verdict.Reason]int), unknowing: make(map[entity.RequestID]bool), orgs: []entity.OrgID{"bank", "shops"},
	}
	f.platform = newPlatform(f)
	f.build()
	f.runUntil(f.plan.loadEnds.Add(minCoolDown))
	for f.now.Before(f.plan.loadEnds.Add(coolDown)) && !f.quiet() {
		f.runUntil(f.now.Add(time.Second))
	}
	return f.result(seed)
}

// quiet says that nothing is left to come: no fault, no caller that waits, no
// instance that stops.
func (f *Fleet) quiet() bool {
	for _, s := range f.plan.faults {
		if f.now.Before(epoch.Add(s.at + s.lasts)) {
			return false
		}
	}
	for _, in := range f.instances {
		if in.state == stateLive && (in.stopping || in.node.InFlight() > 0 || in.unanswered() > 0) {
			return false
		}
	}
	return true
}

// build sets the scene.
func (f *Fleet) build() {
	f.plan = plan{
		queue: 1 + f.rng.Intn(6), gap: time.Duration(10+f.rng.Intn(90)) * time.Millisecond,
		serviceShare: f.rng.Float64() * 0.4, loadEnds: epoch.Add(warmUp + loadLasts),
	}
	var rows []config.Endpoint
	perZone := 1 + f.rng.Intn(2)
	for z := range 2 + f.rng.Intn(2) {
		zone := entity.ZoneID(fmt.Sprintf("z%d", z))
		f.zones = append(f.zones, zone)
		for i := range perZone {
			rows = append(rows, f.addEngine(zone, i))
		}
		rows = append(rows, f.addService(zone))
	}
	f.publishAll(rows)
	members := 1 + f.rng.Intn(3)
	for _, z := range f.zones {
		for range members {
			f.start(z)
		}
	}
	f.plan.faults = f.planFaults(warmUp-time.Second, warmUp+loadLasts-time.Second)
	for _, s := range f.plan.faults {
		f.inject(s)
	}
	f.checkHealth()
	f.checkReach()
	f.after(warmUp, f.arrivals)
}

func (f *Fleet) addEngine(zone entity.ZoneID, i int) config.Endpoint {
	slots := 1 + f.rng.Intn(3)
	e := config.Endpoint{Name: entity.EndpointID(fmt.Sprintf("%s-e%d", zone, i)), Pool: chatPool, Zone: zone, Address: "127.0.0.1:1",
		Models: []entity.ModelID{chatModel}, Slots: slots, PrefillTokensPerSec: prefillRate, DecodeTokensPerSec: decodeRate}
	eng := &engine{endpointFake: endpointFake{f: f, row: row(e, entity.KindEngine)}, streams: make(map[entity.RequestID]*stream),
		model: model.New(model.Settings{Models: e.Models, MaxRunning: slots, PrefillTokensPerSec: prefillRate, DecodeTokensPerSec: decodeRate,
			LoadLag: 500 * time.Millisecond, CacheEventDelay: 300 * time.Millisecond, CacheEventLoss: 0.1, Seed: uint64(f.rng.Int63())})}
	f.engines[e.Name] = eng
	f.addEndpoint(e)
	return e
}

func (f *Fleet) addService(zone entity.ZoneID) config.Endpoint {
	e := config.Endpoint{Name: entity.EndpointID(string(zone) + "-s"), Pool: ledgerPool, Zone: zone, Address: "127.0.0.1:1", Slots: 1 + f.rng.Intn(3)}
	f.services[e.Name] = &service{endpointFake: endpointFake{f: f, row: row(e, entity.KindService)}}
	f.addEndpoint(e)
	return e
}

func (f *Fleet) addEndpoint(e config.Endpoint) {
	f.endpoints = append(f.endpoints, e.Name)
	f.configured[e.Name] = e
}

func row(e config.Endpoint, kind entity.EndpointKind) entity.Endpoint {
	return entity.Endpoint{ID: e.Name, Pool: e.Pool, Zone: e.Zone, Kind: kind, Models: e.Models, Slots: e.Slots}
}

// endpoint returns what an endpoint of either kind has.
func (f *Fleet) endpoint(id entity.EndpointID) *endpointFake {
	if e := f.engines[id]; e != nil {
		return &e.endpointFake
	}
	return &f.services[id].endpointFake
}

func (f *Fleet) record(e history.Event) {
	e.At = f.now
	f.events = append(f.events, e)
	f.tracef("event %s request=%s endpoint=%s instance=%s %s %s", e.Kind, e.Request, e.Endpoint, e.Instance, e.Verdict, e.Reason)
}

// atEndpoint is an event of a request at an endpoint.
func (f *Fleet) atEndpoint(k history.Kind, c *call, e *entity.Endpoint) history.Event {
	return history.Event{Kind: k, Request: c.work.ID, Endpoint: e.ID, Pool: e.Pool, Tier: c.work.Tier, Org: c.work.Org, Key: c.key}
}

// shed is the event of a request that was refused to relieve load, with the
// endpoints in reach of its entry instance that could have served it in time.
// What runs on the others, of whatever tier, takes nothing away from it.
func (f *Fleet) shed(j *job) history.Event {
	w := &j.call.work
	ev := history.Event{Kind: history.KindShed, Request: j.id, Pool: w.Pool, Tier: w.Tier, Eligible: []entity.EndpointID{"none in reach"}}
	for _, id := range f.endpoints {
		e := f.endpoint(id)
		configured, ok := j.in.follower.State().Endpoint(id)
		if eng := f.engines[id]; eng != nil && !eng.inTime(w) {
			continue
		}
		if ok && e.reach(j.in) && eligible.Serves(configured, w) {
			ev.Eligible = append(ev.Eligible, id)
		}
	}
	return ev
}

func (f *Fleet) tracef(format string, args ...any) {
	if f.trace != nil {
		fmt.Fprintf(f.trace, "%9.4f "+format+"\n", append([]any{f.now.Sub(epoch).Seconds()}, args...)...)
	}
}

func (f *Fleet) result(seed int64) Result {
	r := Result{Seed: seed, Events: f.events, Requests: len(f.sends), Outcomes: f.outcomes, Messages: f.sent}
	for _, s := range f.plan.faults {
		r.Faults = append(r.Faults, s.String())
		r.Kinds = append(r.Kinds, faults[s.index].kind)
	}
	r.Violations = append(slices.DeleteFunc(history.Check(f.events), f.couldNotKnow), f.checkLate()...)
	r.Violations = append(r.Violations, f.checkStops()...)
	return r
}

// checkReach notes which instances could learn the newest configuration: from
// the log, or from an instance in reach that has it.
func (f *Fleet) checkReach() {
	for _, in := range f.instances {
		if !f.informed(in) {
			in.inReachSince = time.Time{}
		} else if in.inReachSince.IsZero() {
			in.inReachSince = f.now
		}
	}
	f.after(reachInterval, f.checkReach)
}

func (f *Fleet) informed(in *instance) bool {
	if f.logReached(in.zone) {
		return true
	}
	return slices.ContainsFunc(f.instances, func(o *instance) bool {
		return o.state == stateLive && f.net.reaches(in.zone, o.zone) && o.follower.State().Revision() >= f.accepted.Revision()
	})
}

// noteDispatch notes whether the instance had LeaveWithin to learn what stands.
func (f *Fleet) noteDispatch(j *job) {
	if since := j.in.inReachSince; since.IsZero() || f.now.Sub(since) <= history.DefaultLimits.LeaveWithin {
		f.unknowing[j.id] = true
	}
}

// couldNotKnow says that a violation is a dispatch to a leaving endpoint by an
// instance that neither the log nor a peer in reach could have told.
func (f *Fleet) couldNotKnow(v history.Violation) bool {
	return v.Guarantee == history.GuaranteeLeaving && f.unknowing[v.Request]
}

// checkLate: each caller that waits has its answer soon after the deadline at
// the latest, unless its entry instance could not answer.
func (f *Fleet) checkLate() (out []history.Violation) {
	answers := make(map[entity.RequestID]time.Time)
	for i := range f.events {
		if e := &f.events[i]; e.Kind == history.KindAnswer {
			answers[e.Request] = e.At
		}
	}
	for _, s := range f.sends {
		at, ok := answers[s.call.work.ID]
		due := s.call.work.Deadline.Add(answerWithin)
		if ok && at.After(due) && !s.in.wasFrozen {
			out = append(out, history.Violation{Guarantee: history.GuaranteeOneFinalAnswer, At: at, Request: s.call.work.ID,
				Instance: s.in.id, Message: fmt.Sprintf("answered %v after the deadline", at.Sub(s.call.work.Deadline))})
		}
	}
	return out
}

// checkStops: each planned stop comes to its end.
func (f *Fleet) checkStops() (out []history.Violation) {
	for _, in := range f.instances {
		if in.stopping && in.state == stateLive {
			out = append(out, history.Violation{Guarantee: history.GuaranteeGracefulStop, At: f.now, Instance: in.id,
				Message: fmt.Sprintf("the planned stop does not end: %d in flight, %d unanswered", in.node.InFlight(), in.unanswered())})
		}
	}
	return out
}
