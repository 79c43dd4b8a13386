package measure

import (
	"math/rand"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// netDelay is one way between an instance and anything else.
	netDelay = 500 * time.Microsecond
	// arriveFor is how long requests arrive, drainFor how long answers are
	// waited for after that.
	arriveFor = 120 * time.Second
	drainFor  = 240 * time.Second
	// killAt is when an instance dies, in runs with that fault, and slowAt when
	// an engine becomes slow.
	killAt = 50 * time.Second
	slowAt = 20 * time.Second
	// slowBy is how much slower.
	slowBy = 4
	// reportEvery and the two lags are about load reports.
	reportEvery = 500 * time.Millisecond
	reportLag   = 200 * time.Millisecond
	staleLag    = 2 * time.Second
	lostEvents  = 0.3
	killed      = 3 // which instance
)

// Condition is one fault that a run is made with.
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

// policy is a scheduler under measurement.
type policy interface {
	submit(r *arrived)
	// stopped tells that r is over without an answer and was cancelled.
	stopped(r *arrived)
	// killed tells that an instance is dead, and which requests are lost with it.
	killed(instance int, lost []*arrived)
	messages() int
}

// run is one run of one policy.
type run struct {
	d         *Deployment
	c         *clock
	cond      Condition
	rows      []entity.Endpoint
	endpoints map[entity.EndpointID]endpoint
	engines   []*engine
	// loads is what endpoints said of their load, with a lag.
	loads   map[entity.EndpointID]int
	serving map[*arrived]struct{}
	dead    map[int]bool
	all     []*arrived
	policy  policy
	result  *Result
	ledger  *ledger
}

// Run measures one policy.
func Run(d Deployment, load float64, cond Condition, p Policy, seed int64) *Result {
	r := newRun(&d, cond, seed)
	r.policy = p.make(r)
	for _, a := range d.arrivals(seed, arriveFor, load) {
		r.c.after(a.at, func() { r.arrive(a) })
	}
	r.c.runUntil(r.c.now.Add(arriveFor + drainFor))
	return r.finish()
}

func newRun(d *Deployment, cond Condition, seed int64) *run {
	r := &run{
		d: d, c: newClock(), cond: cond, rows: d.endpoints(),
		endpoints: make(map[entity.EndpointID]endpoint), loads: make(map[entity.EndpointID]int),
		serving: make(map[*arrived]struct{}), dead: make(map[int]bool),
		result: newResult(), ledger: newLedger(),
	}
	for i := range r.rows {
		r.addEndpoint(i, seed)
	}
	r.c.every(reportEvery, r.report)
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
	if r.cond == LostEvents {
		e.lose = lostEvents
	}
	if r.cond == SlowEngine && i == 0 {
		r.c.after(slowAt, func() { e.slow *= slowBy })
	}
	r.endpoints[row.ID] = e
	r.engines = append(r.engines, e)
}

func (r *run) arrive(a *arrival) {
	patience := a.deadline()
	q := &arrived{a: a, run: r, arrived: r.c.now, deadline: r.c.now.Add(patience)}
	q.a.work.Deadline = q.deadline
	r.all = append(r.all, q)
	r.result.tier(q).Offered++
	for r.dead[a.entry] {
		a.entry = (a.entry + 1) % instances
	}
	r.c.after(patience, func() { r.give(q, verdict.ReasonDeadline) })
	r.policy.submit(q)
}

// give ends a request without an answer, and whatever runs for it.
func (r *run) give(q *arrived, why verdict.Reason) {
	if q.over {
		return
	}
	q.refuse(why)
	q.stop()
	r.policy.stopped(q)
}

// kill ends an instance: its callers lose their connections, and endpoints
// drop the streams they sent to it.
func (r *run) kill() {
	r.dead[killed] = true
	var lost []*arrived
	for _, q := range r.all {
		if !q.over && q.a.entry == killed {
			q.refuse(verdict.ReasonConnectionLost)
			q.stop()
			lost = append(lost, q)
		}
	}
	r.policy.killed(killed, lost)
}

// report publishes the endpoints' load, which arrives with a lag.
func (r *run) report() {
	lag := reportLag
	if r.cond == StaleLoad {
		lag = staleLag
	}
	for _, row := range r.rows {
		n := r.endpoints[row.ID].load()
		r.c.after(lag, func() { r.loads[row.ID] = n })
	}
}

// lowerServed says that work of a lower tier is served where q could be.
func (r *run) lowerServed(q *arrived) bool {
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
	r.result.Prefill, r.result.Reprocessed = r.ledger.total, r.ledger.again
	r.result.Messages = r.policy.messages()
	return r.result
}
