package measure

import (
	"math/rand"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// netDelay is the one-way network delay between an instance and anything else.
	netDelay = 500 * time.Microsecond
	// arrivalPeriod is how long requests arrive, drainPeriod how long the run waits
	// for answers after that.
	arrivalPeriod = 120 * time.Second
	drainPeriod   = 240 * time.Second
	// killAt is when an instance is killed, and slowAt when an engine becomes slow,
	// in runs with the respective fault.
	killAt = 50 * time.Second
	slowAt = 20 * time.Second
	// slowFactor is the factor by which the slow engine is slower.
	slowFactor = 4
	// reportInterval is the time between load reports; reportLag is their delay, and
	// staleLag that in runs with StaleLoad.
	reportInterval = 500 * time.Millisecond
	reportLag      = 200 * time.Millisecond
	staleLag       = 2 * time.Second
	eventLossRate  = 0.3
	killedIndex    = 3 // index of the instance that is killed
)

// Condition names the fault that is injected in a run, or the absence of one.
type Condition string

// The conditions of a run.
const (
	Healthy        Condition = "healthy"
	SlowEngine     Condition = "slow engine"
	StaleLoad      Condition = "stale load"
	LostEvents     Condition = "lost events"
	KilledInstance Condition = "killed instance"
)

// Conditions returns all conditions.
func Conditions() []Condition {
	return []Condition{Healthy, SlowEngine, StaleLoad, LostEvents, KilledInstance}
}

// policy is a scheduler that is measured.
type policy interface {
	// submit schedules a request that has arrived.
	submit(r *requestState)
	// requestCancelled is called when r has ended without an answer and was cancelled.
	requestCancelled(r *requestState)
	// instanceKilled is called when an instance has been killed, with the requests
	// that were lost with it.
	instanceKilled(instance int, lost []*requestState)
	// messages returns the number of messages sent between instances.
	messages() int
}

// run is one run of one policy.
type run struct {
	d         *Deployment
	c         *clock
	condition Condition
	rows      []entity.Endpoint
	endpoints map[entity.EndpointID]endpoint
	engines   []*engine
	// loads holds the latest load that each endpoint reported, which arrives with a
	// lag.
	loads   map[entity.EndpointID]int
	serving map[*requestState]struct{}
	dead    map[int]bool
	all     []*requestState
	policy  policy
	result  *Result
	ledger  *ledger
}

// Run measures one policy with the arrivals of a seed, at load times the deployment's
// capacity.
func Run(d Deployment, load float64, cond Condition, p Policy, seed int64) *Result {
	r := newRun(&d, cond, seed)
	r.policy = p.make(r)
	for _, a := range d.arrivals(seed, arrivalPeriod, load) {
		r.c.after(a.at, func() { r.arrive(a) })
	}
	r.c.runUntil(r.c.now.Add(arrivalPeriod + drainPeriod))
	return r.finish()
}

func newRun(d *Deployment, cond Condition, seed int64) *run {
	r := &run{
		d: d, c: newClock(), condition: cond, rows: d.endpoints(),
		endpoints: make(map[entity.EndpointID]endpoint), loads: make(map[entity.EndpointID]int),
		serving: make(map[*requestState]struct{}), dead: make(map[int]bool),
		result: newResult(), ledger: newLedger(),
	}
	for i := range r.rows {
		r.addEndpoint(i, seed)
	}
	r.c.every(reportInterval, r.report)
	if cond == KilledInstance {
		r.c.after(killAt, r.kill)
	}
	return r
}

func (r *run) addEndpoint(i int, seed int64) {
	row := r.rows[i]
	if row.Kind == entity.KindService {
		r.endpoints[row.ID] = &service{c: r.c, slow: 1}
		return
	}
	e := newEngine(r.c, row, generationSpeed(i), r.ledger, rand.New(rand.NewSource(seed+int64(i))))
	if r.condition == LostEvents {
		e.eventLoss = eventLossRate
	}
	if r.condition == SlowEngine && i == 0 {
		r.c.after(slowAt, func() { e.slow *= slowFactor })
	}
	r.endpoints[row.ID] = e
	r.engines = append(r.engines, e)
}

func (r *run) arrive(a *arrival) {
	timeout := a.timeout()
	q := &requestState{a: a, run: r, arrived: r.c.now, deadline: r.c.now.Add(timeout)}
	q.a.work.Deadline = q.deadline
	r.all = append(r.all, q)
	r.result.tier(q).Offered++
	for r.dead[a.entry] {
		a.entry = (a.entry + 1) % instances
	}
	r.c.after(timeout, func() { r.abandon(q, verdict.ReasonDeadline) })
	r.policy.submit(q)
}

// abandon ends a request without an answer, and cancels it at its endpoint.
func (r *run) abandon(q *requestState, reason verdict.Reason) {
	if q.finished {
		return
	}
	q.refuse(reason)
	q.stop()
	r.policy.requestCancelled(q)
}

// kill kills an instance. Its callers lose their connections, and endpoints cancel the
// streams that they sent to it.
func (r *run) kill() {
	r.dead[killedIndex] = true
	var lost []*requestState
	for _, q := range r.all {
		if !q.finished && q.a.entry == killedIndex {
			q.refuse(verdict.ReasonConnectionLost)
			q.stop()
			lost = append(lost, q)
		}
	}
	r.policy.instanceKilled(killedIndex, lost)
}

// report records the endpoints' load in loads after a lag.
func (r *run) report() {
	lag := reportLag
	if r.condition == StaleLoad {
		lag = staleLag
	}
	for _, row := range r.rows {
		n := r.endpoints[row.ID].load()
		r.c.after(lag, func() { r.loads[row.ID] = n })
	}
}

// lowerTierServed reports whether the pool of q is serving a request of a lower tier.
func (r *run) lowerTierServed(q *requestState) bool {
	for s := range r.serving {
		if s.a.work.Pool == q.a.work.Pool && s.a.work.Tier > q.a.work.Tier {
			return true
		}
	}
	return false
}

func (r *run) finish() *Result {
	for _, q := range r.all {
		if q.dispatches > 1 {
			r.result.Redispatched++
		}
	}
	r.result.Prefill, r.result.Reprocessed = r.ledger.total, r.ledger.reprocessed
	r.result.Messages = r.policy.messages()
	return r.result
}
