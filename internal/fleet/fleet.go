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

// The times of a simulation.
const (
	// loadStart is when callers begin to send.
	loadStart = 5 * time.Second
	// loadDuration is how long callers send.
	loadDuration = 8 * time.Second
	// maxCoolDown is the time after the load within which everything must be
	// answered. It covers the longest deadline, the end of a call after it, and a
	// leave during a network partition. A simulation that is idle ends earlier,
	// but not before minCoolDown.
	maxCoolDown = 25 * time.Second
	minCoolDown = 7 * time.Second
	// reachCheckInterval is how often the simulation records which instances
	// can learn the newest configuration.
	reachCheckInterval = 100 * time.Millisecond
	// maxAnswerDelay is how long after its deadline a request may remain without
	// its final answer: a cancelled stream, or a call that must not be interrupted,
	// takes up to this long to end.
	maxAnswerDelay = callTimeout + controlTimeout + connectTimeout
)

// The speeds of an engine, in tokens per second.
const (
	prefillRate = 4000
	decodeRate  = 40
)

// plan holds the parameters that are drawn from the seed at the start.
type plan struct {
	queuePerEndpoint int
	meanGap          time.Duration
	serviceShare     float64
	loadEnds         time.Time
	faults           []scheduledFault
}

// Fleet is the state of one simulation.
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
	// configured holds the endpoints as they are configured initially.
	configured   map[entity.EndpointID]config.Endpoint
	accepted     config.State
	inRotation   []*instance
	sentRequests []sentRequest
	events       []history.Event
	// uninformed holds the requests dispatched by instances that could not know
	// whether the endpoint is leaving.
	uninformed map[entity.RequestID]bool
	outcomes   map[verdict.Reason]int
	plan       plan
	trace      io.Writer

	instanceCount, callCount, changeCount, messageCount int
}

// Options are the options of a simulation.
type Options struct {
	// Trace receives a line for each event and message. Nil disables the trace.
	Trace io.Writer
}

// Result is the result of a simulation.
type Result struct {
	Seed       int64
	Faults     []string
	Kinds      []Fault
	Violations []history.Violation
	Events     []history.Event
	// Requests is the number of requests sent, Outcomes their answers by reason.
	Requests int
	Outcomes map[verdict.Reason]int
	Messages int
}

// Run runs the simulation of a seed to its end.
func Run(seed int64, o Options) Result {
	f := &Fleet{
		clock: newClock(seed), net: newNetwork(), trace: o.Trace,
		byID: make(map[entity.InstanceID]*instance), engines: make(map[entity.EndpointID]*engine),
		services: make(map[entity.EndpointID]*service), configured: make(map[entity.EndpointID]config.Endpoint),
		outcomes: make(map[verdict.Reason]int), uninformed: make(map[entity.RequestID]bool), orgs: []entity.OrgID{"bank", "shops"},
	}
	f.platform = newPlatform(f)
	f.setUp()
	f.runUntil(f.plan.loadEnds.Add(minCoolDown))
	for f.now.Before(f.plan.loadEnds.Add(maxCoolDown)) && !f.idle() {
		f.runUntil(f.now.Add(time.Second))
	}
	return f.result(seed)
}

// idle reports whether nothing is pending: no fault, no request without an answer
// and no planned stop in progress.
func (f *Fleet) idle() bool {
	for _, s := range f.plan.faults {
		if f.now.Before(epoch.Add(s.at + s.duration)) {
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

// setUp creates the endpoints, the configuration and the instances, and schedules
// the faults and the load.
func (f *Fleet) setUp() {
	f.plan = plan{
		queuePerEndpoint: 1 + f.rng.Intn(6), meanGap: time.Duration(10+f.rng.Intn(90)) * time.Millisecond,
		serviceShare: f.rng.Float64() * 0.4, loadEnds: epoch.Add(loadStart + loadDuration),
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
	f.plan.faults = f.planFaults(loadStart-time.Second, loadStart+loadDuration-time.Second)
	for _, s := range f.plan.faults {
		f.inject(s)
	}
	f.checkHealth()
	f.updateConfigReach()
	f.after(loadStart, f.generateLoad)
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

// endpoint returns the common part of an engine or a service.
func (f *Fleet) endpoint(id entity.EndpointID) *endpointFake {
	if e := f.engines[id]; e != nil {
		return &e.endpointFake
	}
	return &f.services[id].endpointFake
}

// record adds an event to the history with the current time.
func (f *Fleet) record(e history.Event) {
	e.At = f.now
	f.events = append(f.events, e)
	f.tracef("event %s request=%s endpoint=%s instance=%s %s %s", e.Kind, e.Request, e.Endpoint, e.Instance, e.Verdict, e.Reason)
}

// endpointEvent returns an event of a request at an endpoint.
func (f *Fleet) endpointEvent(k history.Kind, c *call, e *entity.Endpoint) history.Event {
	return history.Event{Kind: k, Request: c.work.ID, Endpoint: e.ID, Pool: e.Pool, Tier: c.work.Tier, Org: c.work.Org, Key: c.key}
}

// shedEvent returns the event of a request that was refused because of overload.
// It lists the endpoints that its entry instance can reach and that could have
// served it in time: work on other endpoints, of any tier, does not compete with
// the request.
func (f *Fleet) shedEvent(j *job) history.Event {
	w := &j.call.work
	ev := history.Event{Kind: history.KindShed, Request: j.id, Pool: w.Pool, Tier: w.Tier, Eligible: []entity.EndpointID{"none reachable"}}
	for _, id := range f.endpoints {
		e := f.endpoint(id)
		configured, ok := j.in.follower.State().Endpoint(id)
		if eng := f.engines[id]; eng != nil && !eng.canFinishInTime(w) {
			continue
		}
		if ok && e.reachableFrom(j.in) && eligible.Serves(configured, w) {
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
	r := Result{Seed: seed, Events: f.events, Requests: len(f.sentRequests), Outcomes: f.outcomes, Messages: f.messageCount}
	for _, s := range f.plan.faults {
		r.Faults = append(r.Faults, s.String())
		r.Kinds = append(r.Kinds, faults[s.index].kind)
	}
	r.Violations = append(slices.DeleteFunc(history.Check(f.events), f.fromUninformed), f.checkLate()...)
	r.Violations = append(r.Violations, f.checkStops()...)
	return r
}

// updateConfigReach records which instances can learn the newest configuration,
// either from the log or from a reachable instance that has it.
func (f *Fleet) updateConfigReach() {
	for _, in := range f.instances {
		if !f.canLearnConfig(in) {
			in.configReachableSince = time.Time{}
		} else if in.configReachableSince.IsZero() {
			in.configReachableSince = f.now
		}
	}
	f.after(reachCheckInterval, f.updateConfigReach)
}

func (f *Fleet) canLearnConfig(in *instance) bool {
	if f.logReachable(in.zone) {
		return true
	}
	return slices.ContainsFunc(f.instances, func(o *instance) bool {
		return o.state == stateLive && f.net.reaches(in.zone, o.zone) && o.follower.State().Revision() >= f.accepted.Revision()
	})
}

// markUninformed marks the request of a dispatch as uninformed, unless its instance has
// been able to learn the newest configuration for longer than LeaveWithin.
func (f *Fleet) markUninformed(j *job) {
	if since := j.in.configReachableSince; since.IsZero() || f.now.Sub(since) <= history.DefaultLimits.LeaveWithin {
		f.uninformed[j.id] = true
	}
}

// fromUninformed reports whether a violation is a dispatch to a leaving endpoint by
// an instance that could learn of the leave neither from the log nor from a peer.
func (f *Fleet) fromUninformed(v history.Violation) bool {
	return v.Guarantee == history.GuaranteeLeaving && f.uninformed[v.Request]
}

// checkLate checks that each answer comes at most maxAnswerDelay after the deadline.
// Requests whose entry instance was frozen are exempt.
func (f *Fleet) checkLate() (out []history.Violation) {
	answers := make(map[entity.RequestID]time.Time)
	for i := range f.events {
		if e := &f.events[i]; e.Kind == history.KindAnswer {
			answers[e.Request] = e.At
		}
	}
	for _, s := range f.sentRequests {
		at, ok := answers[s.call.work.ID]
		due := s.call.work.Deadline.Add(maxAnswerDelay)
		if ok && at.After(due) && !s.in.wasFrozen {
			out = append(out, history.Violation{Guarantee: history.GuaranteeOneFinalAnswer, At: at, Request: s.call.work.ID,
				Instance: s.in.id, Message: fmt.Sprintf("answered %v after the deadline", at.Sub(s.call.work.Deadline))})
		}
	}
	return out
}

// checkStops checks that each planned stop has ended.
func (f *Fleet) checkStops() (out []history.Violation) {
	for _, in := range f.instances {
		if in.stopping && in.state == stateLive {
			out = append(out, history.Violation{Guarantee: history.GuaranteeGracefulStop, At: f.now, Instance: in.id,
				Message: fmt.Sprintf("the planned stop has not ended: %d in flight, %d unanswered", in.node.InFlight(), in.unanswered())})
		}
	}
	return out
}
