package limit

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// fleet runs borrowers and homes under a virtual clock. Each instance gets a
// changed membership view after a random delay of up to viewDelay.
type fleet struct {
	t         testing.TB
	rng       *rand.Rand
	now       time.Time
	nodes     []*testNode
	contracts map[entity.OrgID]Limit
	events    eventHeap
	eventSeq  int
	loss      float64
	cut       func(a, b *testNode) bool // whether messages between a and b are lost
	viewDelay time.Duration
	admitted  map[entity.OrgID][]time.Time
	refused   map[verdict.Reason]int
	offered   int
	messages  int
	naive     map[entity.OrgID]*naiveLimiter
	traffic   func(from entity.InstanceID, o Outgoing)
	// otherZones counts instances of other zones, which only affect the weights.
	otherZones int
}

type testNode struct {
	self     entity.Instance
	borrower *Borrower
	home     *Home
	dead     bool
	diedAt   time.Time
	frozen   bool
	// backlog holds the events of a frozen instance until it resumes.
	backlog []func()
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

const (
	tickEvery = 100 * time.Millisecond
	// deathConfirmedAfter is how long a dead instance still counts towards FleetSize.
	deathConfirmedAfter = 20 * time.Second
)

func newFleet(t testing.TB, seed int64, zones, perZone int, contracts map[entity.OrgID]Limit) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), contracts: contracts,
		cut: func(_, _ *testNode) bool { return false }, viewDelay: 5 * time.Second,
		admitted: map[entity.OrgID][]time.Time{}, refused: map[verdict.Reason]int{},
		naive: map[entity.OrgID]*naiveLimiter{},
	}
	for z := range zones {
		for range perZone {
			f.add(entity.ZoneID(fmt.Sprintf("z%d", z)))
		}
	}
	for _, n := range f.nodes {
		f.setView(n, f.view(n))
	}
	return f
}

func (f *fleet) lookup(org entity.OrgID) (Limit, bool) {
	l, ok := f.contracts[org]
	return l, ok
}

func (f *fleet) add(zone entity.ZoneID) *testNode {
	id := entity.InstanceID(fmt.Sprintf("i%03d-%s", len(f.nodes), zone))
	n := &testNode{self: entity.Instance{ID: id, Zone: zone}}
	n.borrower = NewBorrower(DefaultSettings(), f.lookup)
	n.home = NewHome(DefaultSettings(), id, f.lookup)
	f.nodes = append(f.nodes, n)
	f.tick(n)
	return n
}

func (f *fleet) after(d time.Duration, do func()) {
	f.eventSeq++
	heap.Push(&f.events, event{at: f.now.Add(d), seq: f.eventSeq, do: do})
}

func (f *fleet) kill(n *testNode) { n.dead, n.diedAt = true, f.now }

// on runs do at an instance: after it resumes if it is frozen, never if it is dead.
func (f *fleet) on(n *testNode, do func()) {
	switch {
	case n.dead:
	case n.frozen:
		n.backlog = append(n.backlog, do)
	default:
		do()
		f.flush(n)
	}
}

func (f *fleet) tick(n *testNode) {
	f.after(tickEvery, func() {
		if !n.frozen {
			f.on(n, func() { n.home.Tick(f.now); n.borrower.Tick(f.now) })
		}
		if !n.dead {
			f.tick(n)
		}
	})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// flush sends the messages that an instance has ready; those to itself arrive at once.
func (f *fleet) flush(n *testNode) {
	for {
		out := n.borrower.Ready().Messages
		out = append(out, n.home.Ready().Messages...)
		if len(out) == 0 {
			return
		}
		for _, o := range out {
			f.send(n, o)
		}
	}
}

func (f *fleet) send(from *testNode, o Outgoing) {
	i := slices.IndexFunc(f.nodes, func(n *testNode) bool { return n.self.ID == o.To })
	to := f.nodes[i]
	if to == from {
		f.step(to, from, o)
		return
	}
	f.messages++
	if f.traffic != nil {
		f.traffic(from.self.ID, o)
	}
	if f.cut(from, to) || f.rng.Float64() < f.loss {
		return
	}
	f.after(time.Millisecond+time.Duration(f.rng.Int63n(int64(3*time.Millisecond))), func() {
		f.on(to, func() { f.step(to, from, o) })
	})
}

func (f *fleet) step(to, from *testNode, o Outgoing) {
	if o.Demand != nil {
		to.home.Step(f.now, from.self.ID, *o.Demand)
	} else {
		to.borrower.Step(f.now, from.self.ID, *o.Share)
	}
}

// view returns the membership view that an instance has once all changes have reached it.
func (f *fleet) view(n *testNode) Zone {
	z := Zone{FleetSize: f.otherZones}
	for _, o := range f.nodes {
		if o.dead && f.now.Sub(o.diedAt) > deathConfirmedAfter {
			continue
		}
		z.FleetSize++
		if o.dead {
			continue
		}
		sameZone := o.self.Zone == n.self.Zone
		if sameZone && o != n && (o.frozen || f.cut(n, o)) {
			continue
		}
		if sameZone {
			z.Members = append(z.Members, o.self)
		}
	}
	return z
}

func (f *fleet) setView(n *testNode, z Zone) {
	n.home.SetZone(f.now, z)
	n.borrower.SetZone(f.now, z)
	f.flush(n)
}

// spreadViews gives each instance its current view after a random delay.
func (f *fleet) spreadViews() {
	for _, n := range f.nodes {
		f.after(time.Duration(f.rng.Int63n(int64(f.viewDelay))), func() {
			f.on(n, func() { f.setView(n, f.view(n)) })
		})
	}
}

// request offers one request to an instance and to the naive limiter.
func (f *fleet) request(n *testNode, org entity.OrgID, duration time.Duration) {
	f.offered++
	if !n.dead && !n.frozen {
		f.offerNaive(org, duration)
	}
	f.on(n, func() { f.try(n, org, duration, 0) })
}

// naiveLimiter is the reference: one token bucket and one counter for the whole fleet.
type naiveLimiter struct {
	bucket
	inFlight, admitted int
}

func (f *fleet) offerNaive(org entity.OrgID, duration time.Duration) {
	l, n := f.contracts[org], f.naive[org]
	if n == nil {
		n = &naiveLimiter{bucket: bucket{tokens: float64(l.Burst), at: f.now}}
		f.naive[org] = n
	}
	n.refill(f.now, l.Rate, float64(l.Burst))
	if n.tokens < 1 || n.inFlight >= l.Concurrent {
		return
	}
	n.tokens--
	n.inFlight++
	n.admitted++
	f.after(duration, func() { n.inFlight-- })
}

// try calls Admit, again every 10 ms for up to a second while the request is undecided.
func (f *fleet) try(n *testNode, org entity.OrgID, duration, waited time.Duration) {
	ok, reason, _ := n.borrower.Admit(f.now, org)
	switch {
	case ok:
		f.admitted[org] = append(f.admitted[org], f.now)
		f.after(duration, func() { f.on(n, func() { n.borrower.Done(f.now, org) }) })
	case reason == verdict.ReasonNone && waited < time.Second:
		const retryAfter = 10 * time.Millisecond
		f.after(retryAfter, func() { f.on(n, func() { f.try(n, org, duration, waited+retryAfter) }) })
	default:
		f.refused[reason]++
	}
}

// resume ends a freeze and delivers the backlog in random order.
func (f *fleet) resume(n *testNode) {
	n.frozen = false
	backlog := n.backlog
	n.backlog = nil
	f.rng.Shuffle(len(backlog), func(i, j int) { backlog[i], backlog[j] = backlog[j], backlog[i] })
	for _, do := range backlog {
		f.on(n, do)
	}
}

// inFlight counts requests in flight at live instances.
func (f *fleet) inFlight(org entity.OrgID) int {
	sum := 0
	for _, n := range f.nodes {
		if !n.dead {
			sum += n.borrower.InFlight(org)
		}
	}
	return sum
}

// load offers requests at random times during the given period to random instances among the
// given ones.
func (f *fleet) load(org entity.OrgID, rate float64, meanDuration, period time.Duration, among []*testNode) {
	for at := time.Duration(0); at < period; at += time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second)) {
		n := among[f.rng.Intn(len(among))]
		d := min(time.Duration(f.rng.ExpFloat64()*float64(meanDuration)), longestRequest)
		f.after(at, func() { f.request(n, org, d) })
	}
}
