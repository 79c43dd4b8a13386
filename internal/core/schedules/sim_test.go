package schedules

import (
	"container/heap"
	"flag"
	"math/rand"
	"os"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/platform"
)

var (
	schedules = flag.Int("schedules", 200, "schedules per test")
	firstSeed = flag.Int64("seed", 1, "seed of the first schedule")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

// forEachSeed runs one subtest per schedule.
func forEachSeed(t *testing.T, run func(t *testing.T, seed int64)) {
	for seed := *firstSeed; seed < *firstSeed+int64(*schedules); seed++ {
		run(t, seed)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// sim is a virtual clock with a queue of what happens next.
type sim struct {
	rng   *rand.Rand
	now   time.Time
	queue timers
	seq   int
}

type timer struct {
	at  time.Time
	seq int
	run func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSim(seed int64) *sim { return &sim{rng: rand.New(rand.NewSource(seed)), now: epoch} }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, timer{s.now.Add(d), s.seq, run})
}

func (s *sim) runUntil(end time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(timer)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

// between returns a random duration.
func (s *sim) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int63n(int64(most-least)+1))
}

// process is one instance that can die or stand still. Its clock has an offset
// and runs a little fast or slow.
type process struct {
	*sim
	id      entity.InstanceID
	zone    int
	dead    bool
	frozen  bool
	backlog []func()
	offset  time.Duration
	rate    float64
}

const clockRateError = 0.0005

func newProcess(s *sim, id entity.InstanceID, zone int) *process {
	return &process{
		sim: s, id: id, zone: zone,
		offset: s.between(-time.Second/2, time.Second/2),
		rate:   1 + clockRateError*(2*s.rng.Float64()-1),
	}
}

func (p *process) clock() time.Time {
	return epoch.Add(p.offset + time.Duration(float64(p.now.Sub(epoch))*p.rate))
}

// do runs a step in the process: now, once it thaws, or never.
func (p *process) do(step func()) {
	switch {
	case p.dead:
	case p.frozen:
		p.backlog = append(p.backlog, step)
	default:
		step()
	}
}

func (p *process) later(d time.Duration, step func()) {
	p.after(d, func() { p.do(step) })
}

func (p *process) every(d time.Duration, step func()) {
	p.later(d, func() {
		step()
		p.every(d, step)
	})
}

func (p *process) freeze(d time.Duration) {
	if p.frozen {
		return
	}
	p.frozen = true
	p.after(d, func() {
		p.frozen = false
		steps := p.backlog
		p.backlog = nil
		for i, step := range steps {
			if p.dead {
				return
			}
			if p.frozen { // frozen again on the way
				p.backlog = append(p.backlog, steps[i:]...)
				return
			}
			step()
		}
	})
}

// network says which zones reach each other and the log.
type network struct {
	*sim
	cutPeers map[[2]int]int
	cutLog   map[int]int
}

func newNetwork(s *sim) *network {
	return &network{sim: s, cutPeers: map[[2]int]int{}, cutLog: map[int]int{}}
}

func (n *network) delay() time.Duration { return n.between(200*time.Microsecond, 20*time.Millisecond) }

// send carries a message between processes: it may be lost, late or repeated.
func (n *network) send(from, to *process, step func()) {
	copies := 1
	switch {
	case n.cutPeers[[2]int{from.zone, to.zone}]+n.cutPeers[[2]int{to.zone, from.zone}] > 0, n.chance(0.01):
		return
	case n.chance(0.03):
		copies = 2
	}
	for range copies {
		d := n.delay()
		if n.chance(0.02) {
			d = n.between(0, 5*time.Second)
		}
		n.after(d, func() { to.do(step) })
	}
}

// fakeLog is the log service with its bad habits.
type fakeLog struct {
	*network
	streams   map[platform.Stream]*fakeStream
	retention time.Duration
	down      int
	slow      int
	losing    int // answers get lost
	appends   int
	flaky     float64 // how often an answer is lost without any fault
}

type fakeStream struct {
	records []platform.Record // kept ones
	first   platform.Offset
}

func newFakeLog(n *network, retention time.Duration) *fakeLog {
	return &fakeLog{network: n, streams: map[platform.Stream]*fakeStream{}, retention: retention, flaky: 0.005}
}

func (l *fakeLog) stream(name platform.Stream) *fakeStream {
	if l.streams[name] == nil {
		l.streams[name] = &fakeStream{}
	}
	st := l.streams[name]
	for len(st.records) > 0 && l.now.Sub(st.records[0].Time) > l.retention {
		st.records = st.records[1:]
		st.first++
	}
	return st
}

func (st *fakeStream) next() platform.Offset { return st.first + platform.Offset(len(st.records)) }

func (l *fakeLog) latency() time.Duration {
	if l.slow > 0 {
		return l.between(100*time.Millisecond, 6*time.Second)
	}
	return l.between(time.Millisecond, 30*time.Millisecond)
}

// append adds a record. Without an answer done isn't called, or is told that
// the outcome is unknown.
func (l *fakeLog) append(p *process, name platform.Stream, data []byte, done func(stream.AppendStatus, platform.Offset)) {
	l.appends++
	answer := func(st stream.AppendStatus, o platform.Offset) {
		if l.cutLog[p.zone] > 0 || (l.losing > 0 && l.chance(0.5)) || l.chance(l.flaky) {
			if l.chance(0.5) {
				return
			}
			st = stream.AppendUnknown
		}
		l.after(l.latency(), func() { p.do(func() { done(st, o) }) })
	}
	if l.cutLog[p.zone] > 0 && l.chance(0.8) { // else it was on its way already
		answer(stream.AppendUnknown, 0)
		return
	}
	l.after(l.latency(), func() {
		if l.down > 0 && l.chance(0.9) {
			answer(stream.AppendStatus(l.rng.Intn(2))*stream.AppendFailed, 0)
			return
		}
		st := l.stream(name)
		o := st.next()
		st.records = append(st.records, platform.Record{Offset: o, Time: l.now, Data: data})
		answer(stream.AppendDone, o)
	})
}

// read answers with records, an error, or not at all.
func (l *fakeLog) read(p *process, r *stream.ReadRequest, done func([]platform.Record, platform.Offset, platform.Offset), failed func(error)) {
	if l.cutLog[p.zone] > 0 || l.chance(l.flaky) {
		if l.chance(0.5) {
			p.later(time.Second, func() { failed(platform.ErrUnavailable) })
		}
		return
	}
	l.after(l.latency(), func() {
		st := l.stream(r.Stream)
		if l.down > 0 {
			p.later(l.latency(), func() { failed(platform.ErrUnavailable) })
			return
		}
		var records []platform.Record
		if r.From >= st.first {
			records = st.records[min(len(st.records), int(r.From-st.first)):]
			records = records[:min(len(records), r.Limit)]
		}
		first, next := st.first, st.next()
		p.later(l.latency(), func() { done(records, first, next) })
	})
}

// faultKind names a fault. Each ends by itself.
type faultKind int

const (
	faultKill faultKind = iota
	faultFreeze
	faultCutLog
	faultCutZones
	faultOutage
	faultSlowLog
	faultLostAnswers
	faultKinds
)

func (k faultKind) String() string {
	return [...]string{"kill", "freeze", "cut from log", "cut between zones", "outage", "slow log", "lost answers"}[k]
}

// faultCounts counts the faults of all schedules of a test.
type faultCounts map[faultKind]int

// plan puts faults into a schedule: one alone, two at once, or the same one
// twice.
func (l *fakeLog) plan(n int, until time.Duration, counts faultCounts, processes func() []*process, kill func(int)) {
	for range n {
		at, kind := l.between(0, until), faultKind(l.rng.Intn(int(faultKinds)))
		start := func(at time.Duration, k faultKind) {
			counts[k]++
			l.after(at, func() { l.fault(k, processes(), kill) })
		}
		start(at, kind)
		switch l.rng.Intn(3) {
		case 0:
			start(at, faultKind(l.rng.Intn(int(faultKinds))))
		case 1:
			start(at+l.between(0, 10*time.Second), kind)
		}
	}
}

// fault starts a fault at a random place.
func (l *fakeLog) fault(kind faultKind, processes []*process, kill func(int)) {
	d := l.between(100*time.Millisecond, 25*time.Second)
	i := l.rng.Intn(len(processes))
	zone := processes[i].zone
	during := func(n *int) {
		*n++
		l.after(d, func() { *n-- })
	}
	switch kind {
	case faultKill:
		kill(i)
	case faultFreeze:
		processes[i].freeze(d)
	case faultCutLog:
		l.cutLog[zone]++
		l.after(d, func() { l.cutLog[zone]-- })
	case faultCutZones:
		pair := [2]int{zone, l.rng.Intn(3)}
		l.cutPeers[pair]++
		l.after(d, func() { l.cutPeers[pair]-- })
	case faultOutage:
		during(&l.down)
	case faultSlowLog:
		during(&l.slow)
	case faultLostAnswers:
		during(&l.losing)
	}
}
