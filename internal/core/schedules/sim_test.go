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

// forEachSeed calls run once per schedule and stops at the first failure.
func forEachSeed(t *testing.T, run func(t *testing.T, seed int64)) {
	for seed := *firstSeed; seed < *firstSeed+int64(*schedules); seed++ {
		run(t, seed)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// sim is a virtual clock with a queue of timers.
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

// between returns a random duration from lo to hi.
func (s *sim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int63n(int64(hi-lo)+1))
}

// process is one instance, which can be killed or frozen. Its clock has an offset
// and a rate error of up to clockRateError.
type process struct {
	*sim
	id      entity.InstanceID
	zone    int
	dead    bool
	frozen  bool
	backlog []func() // steps that became due during the freeze
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

// do runs a step in the process: at once, or after the freeze if it is frozen. A
// dead process runs nothing.
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
			if p.frozen { // a step has frozen the process again
				p.backlog = append(p.backlog, steps[i:]...)
				return
			}
			step()
		}
	})
}

// network simulates the network between zones, and between zones and the log. The
// partitions are counted, since those that overlap end at different times.
type network struct {
	*sim
	peerPartitions map[[2]int]int
	logPartitions  map[int]int
}

func newNetwork(s *sim) *network {
	return &network{sim: s, peerPartitions: map[[2]int]int{}, logPartitions: map[int]int{}}
}

func (n *network) delay() time.Duration { return n.between(200*time.Microsecond, 20*time.Millisecond) }

// send delivers a message between processes. It may be lost, late or duplicated.
func (n *network) send(from, to *process, step func()) {
	copies := 1
	switch {
	case n.peerPartitions[[2]int{from.zone, to.zone}]+n.peerPartitions[[2]int{to.zone, from.zone}] > 0, n.chance(0.01):
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

// fakeLog simulates the log service, including outages, slow answers, and answers
// that are lost although the record was appended.
type fakeLog struct {
	*network
	streams        map[platform.Stream]*fakeStream
	retention      time.Duration
	down           int // outages in force
	slow           int // faults in force that slow the log down
	losingAnswers  int // faults in force that lose half of the answers to appends
	appends        int
	answerLossRate float64 // probability that an answer is lost without any fault
}

type fakeStream struct {
	records []platform.Record // within retention
	first   platform.Offset   // of records
}

func newFakeLog(n *network, retention time.Duration) *fakeLog {
	return &fakeLog{network: n, streams: map[platform.Stream]*fakeStream{}, retention: retention, answerLossRate: 0.005}
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

// append adds a record. If the answer gets lost, done isn't called, or is called
// with stream.AppendUnknown.
func (l *fakeLog) append(p *process, name platform.Stream, data []byte, done func(stream.AppendStatus, platform.Offset)) {
	l.appends++
	answer := func(st stream.AppendStatus, o platform.Offset) {
		if l.logPartitions[p.zone] > 0 || (l.losingAnswers > 0 && l.chance(0.5)) || l.chance(l.answerLossRate) {
			if l.chance(0.5) {
				return
			}
			st = stream.AppendUnknown
		}
		l.after(l.latency(), func() { p.do(func() { done(st, o) }) })
	}
	if l.logPartitions[p.zone] > 0 && l.chance(0.8) { // otherwise the append was sent before the partition began
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

// read calls done with records or failed with an error, or neither if the answer
// gets lost.
func (l *fakeLog) read(p *process, r *stream.ReadRequest, done func([]platform.Record, platform.Offset, platform.Offset), failed func(error)) {
	if l.logPartitions[p.zone] > 0 || l.chance(l.answerLossRate) {
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

// faultKind is a kind of fault. A killed process is replaced at once; every other
// fault ends after a random time.
type faultKind int

const (
	faultKill faultKind = iota
	faultFreeze
	faultLogPartition
	faultZonePartition
	faultOutage
	faultSlowLog
	faultLostAnswers
	faultKinds
)

func (k faultKind) String() string {
	return [...]string{"kill", "freeze", "log partition", "zone partition", "outage", "slow log", "lost answers"}[k]
}

// faultCounts counts the faults of all schedules of a test by kind.
type faultCounts map[faultKind]int

// planFaults schedules n faults at random times. Some are accompanied by a second
// fault at the same time, or followed by one of the same kind.
func (l *fakeLog) planFaults(n int, until time.Duration, counts faultCounts, processes func() []*process, kill func(int)) {
	for range n {
		at, kind := l.between(0, until), faultKind(l.rng.Intn(int(faultKinds)))
		start := func(at time.Duration, k faultKind) {
			counts[k]++
			l.after(at, func() { l.injectFault(k, processes(), kill) })
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

// injectFault starts a fault at a random process or zone, or in the log.
func (l *fakeLog) injectFault(kind faultKind, processes []*process, kill func(int)) {
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
	case faultLogPartition:
		l.logPartitions[zone]++
		l.after(d, func() { l.logPartitions[zone]-- })
	case faultZonePartition:
		pair := [2]int{zone, l.rng.Intn(3)}
		l.peerPartitions[pair]++
		l.after(d, func() { l.peerPartitions[pair]-- })
	case faultOutage:
		during(&l.down)
	case faultSlowLog:
		during(&l.slow)
	case faultLostAnswers:
		during(&l.losingAnswers)
	}
}
