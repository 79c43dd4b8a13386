package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// key returns the key of a test request.
func key(name string) entity.PartID { return RequestKey([]byte(name)) }

// requestLoad is a load on engines of which some requests crash each one that begins to run them.
type requestLoad struct {
	name                      string
	instances, engines, slots int
	perSecond                 float64       // sound requests, each with a key of its own
	runFor                    time.Duration // of a sound request
	deadly                    int           // requests that crash engines
	every                     time.Duration // between two sends of a deadly request
	away                      time.Duration // of a crashed engine
	retries                   int           // by callers of lost requests
	lostAnswers               float64       // share of the sound runs whose connection ends early
	hot                       float64       // share of the sound requests that are the same one
	restartEvery              time.Duration // of one instance in turn
}

// requestRun is a request on an engine or on its way there.
type requestRun struct {
	key      entity.PartID
	deadly   int // number of the deadly request, -1 for a sound one
	instance int
	attempts int // by the instance
	retries  int // left to the caller
	endsAt   time.Duration
}

// requestWorld plays a requestLoad.
type requestWorld struct {
	requestLoad
	rng     *rand.Rand
	now     time.Duration
	tables  []*Table
	sent    []map[int]uint64
	engines []*requestEngine
	n       int

	crashes                [][]time.Duration // by deadly request
	refused, served, sound int
}

type requestEngine struct {
	incarnation int64
	backAt      time.Duration
	runs        []*requestRun
}

func playRequests(l requestLoad, seed uint64) *requestWorld {
	const length = 100 * time.Second
	w := &requestWorld{requestLoad: l, rng: rand.New(rand.NewPCG(seed, 2)), crashes: make([][]time.Duration, l.deadly)}
	for range l.instances {
		w.tables, w.sent = append(w.tables, New()), append(w.sent, map[int]uint64{})
	}
	for range l.engines {
		w.engines = append(w.engines, &requestEngine{incarnation: 1})
	}
	for ; w.now < length; w.now += tick {
		w.step()
	}
	return w
}

func (w *requestWorld) at() time.Time { return start.Add(w.now) }

func (w *requestWorld) step() {
	for n := w.perSecond * tick.Seconds(); n > 0; n-- {
		if n >= 1 || w.rng.Float64() < n {
			w.n++
			name := fmt.Sprint("sound", w.n)
			if w.rng.Float64() < w.hot {
				name = "hot"
			}
			w.sound++
			w.offer(&requestRun{key: key(name), deadly: -1, retries: w.retries})
		}
	}
	for d := range w.deadly {
		if w.now > 3*time.Second && (w.now+time.Duration(d)*time.Second)%w.every == 0 {
			w.offer(&requestRun{key: key(fmt.Sprint("deadly", d)), deadly: d, retries: w.retries})
		}
	}
	for i, e := range w.engines {
		w.advance(i, e)
	}
	if w.restartEvery > 0 && w.now%w.restartEvery == 0 {
		i := int(w.now/w.restartEvery) % w.instances
		w.tables[i], w.sent[i] = New(), map[int]uint64{}
		for _, sent := range w.sent {
			delete(sent, i)
		}
	}
	if w.now%gossipEvery == 0 {
		w.exchange()
	}
}

// exchange sends the records of all instances to the first one, and its own to all.
func (w *requestWorld) exchange() {
	for range 2 {
		for i := 1; i < w.instances; i++ {
			for _, pair := range [][2]int{{i, 0}, {0, i}} {
				from, to := w.tables[pair[0]], w.tables[pair[1]]
				if s := from.StateSince(w.at(), w.sent[pair[0]][pair[1]]); s != nil {
					to.Merge(w.at(), s)
				}
				w.sent[pair[0]][pair[1]] = from.Version()
			}
		}
	}
}

// offer lets a request arrive at a random instance.
func (w *requestWorld) offer(r *requestRun) {
	r.instance, r.attempts = w.rng.IntN(w.instances), 0
	w.dispatch(r)
}

// dispatch sends a request to an engine unless it is quarantined.
func (w *requestWorld) dispatch(r *requestRun) {
	if w.tables[r.instance].Decide(w.at(), []entity.PartID{r.key}).Refused != nil {
		if r.deadly < 0 {
			w.refused++
		}
		return
	}
	var best *requestEngine
	for _, e := range w.engines {
		if w.now >= e.backAt && len(e.runs) < w.slots && (best == nil || len(e.runs) < len(best.runs)) {
			best = e
		}
	}
	if best == nil {
		return
	}
	r.attempts++
	r.endsAt = w.now + time.Duration((0.5+w.rng.Float64())*float64(w.runFor))
	if r.deadly >= 0 {
		r.endsAt = w.now + time.Duration(20+w.rng.IntN(100))*time.Millisecond
	}
	best.runs = append(best.runs, r)
}

// advance ends what has run to its end on an engine, and the engine if that is deadly.
func (w *requestWorld) advance(id int, e *requestEngine) {
	runs := e.runs
	e.runs = nil
	for _, r := range runs {
		switch {
		case w.now < r.endsAt:
			e.runs = append(e.runs, r)
		case r.deadly >= 0:
			w.crashes[r.deadly] = append(w.crashes[r.deadly], w.now)
			w.crash(id, e, runs)
			return
		case w.rng.Float64() < w.lostAnswers:
			w.lose(id, e.incarnation, r)
		default:
			w.served++
			w.tables[r.instance].RecordAnswer(w.at(), nil, r.key)
		}
	}
}

func (w *requestWorld) crash(id int, e *requestEngine, runs []*requestRun) {
	incarnation := e.incarnation
	e.incarnation++
	e.backAt, e.runs = w.now+w.away, nil
	for _, r := range runs {
		w.lose(id, incarnation, r)
	}
}

// lose ends a run without an answer. The instance may send the request again, once, and then its
// caller does.
func (w *requestWorld) lose(id int, incarnation int64, r *requestRun) {
	table := w.tables[r.instance]
	table.RecordLoss(w.at(), Loss{Request: entity.RequestID(fmt.Sprint(r.key, r.retries)), Endpoint: entity.EndpointID(fmt.Sprint(id)), Incarnation: incarnation, Key: r.key})
	if r.attempts < 2 && table.MayRetry(r.key) {
		w.dispatch(r)
		return
	}
	if r.deadly < 0 && r.retries > 0 {
		w.offer(&requestRun{key: r.key, deadly: -1, retries: r.retries - 1})
	}
}

// late counts the crashes by a deadly request later than contact after the third.
func (w *requestWorld) late(d int) int {
	n := 0
	for i, at := range w.crashes[d] {
		if i > 2 && at > w.crashes[d][2]+contact {
			n++
		}
	}
	return n
}

func TestDeadlyRequestsAreKeptAwayAndSoundOnesGoOn(t *testing.T) {
	for _, l := range []requestLoad{
		{name: "plain endpoints, all away together", instances: 15, engines: 3, slots: 8, perSecond: 20, runFor: 30 * time.Millisecond, deadly: 1, every: 700 * time.Millisecond, away: 3 * time.Second, retries: 2},
		{name: "plain endpoints, often", instances: 15, engines: 8, slots: 8, perSecond: 100, runFor: 30 * time.Millisecond, deadly: 1, every: 100 * time.Millisecond, away: 3 * time.Second, retries: 2},
		{name: "engines with long answers", instances: 15, engines: 12, slots: 8, perSecond: 40, runFor: 2 * time.Second, deadly: 1, every: 500 * time.Millisecond, away: 3 * time.Second, retries: 3},
		{name: "rarely", instances: 15, engines: 8, slots: 8, perSecond: 40, runFor: 200 * time.Millisecond, deadly: 1, every: 9 * time.Second, away: 3 * time.Second, retries: 2},
		{name: "three deadly requests", instances: 15, engines: 12, slots: 8, perSecond: 40, runFor: 500 * time.Millisecond, deadly: 3, every: time.Second, away: 3 * time.Second, retries: 2},
		{name: "one hot sound request", instances: 15, engines: 12, slots: 8, perSecond: 60, runFor: 500 * time.Millisecond, deadly: 1, every: time.Second, away: 3 * time.Second, retries: 2, hot: 0.5},
		{name: "lost answers", instances: 15, engines: 8, slots: 8, perSecond: 100, runFor: 30 * time.Millisecond, deadly: 1, every: time.Second, away: 3 * time.Second, retries: 3, lostAnswers: 0.05},
		{name: "restarts", instances: 15, engines: 8, slots: 8, perSecond: 40, runFor: 200 * time.Millisecond, deadly: 1, every: time.Second, away: 3 * time.Second, retries: 2, restartEvery: 2 * time.Second},
		{name: "300 instances", instances: 300, engines: 20, slots: 8, perSecond: 200, runFor: 100 * time.Millisecond, deadly: 1, every: 300 * time.Millisecond, away: 3 * time.Second, retries: 2},
	} {
		for seed := range uint64(3) {
			w := playRequests(l, seed)
			for d := range l.deadly {
				if late := w.late(d); late > 3 {
					t.Errorf("%s, seed %d: deadly request %d crashed engines %d times later than %v after the third, %d in all", l.name, seed, d, late, contact, len(w.crashes[d]))
				}
			}
			if w.refused > w.sound/500 {
				t.Errorf("%s, seed %d: %d of %d sound requests were refused as quarantined", l.name, seed, w.refused, w.sound)
			}
		}
	}
}

// recordCrashes records n crashes with the given requests, one a second from a time on.
func recordCrashes(t *Table, from time.Duration, n int, keys ...entity.PartID) {
	for i := range n {
		at := start.Add(from + time.Duration(i)*time.Second)
		for _, k := range keys {
			t.RecordLoss(at, Loss{Request: entity.RequestID(fmt.Sprint(k, i)), Endpoint: entity.EndpointID(fmt.Sprint(from, i)), Key: k})
		}
	}
}

func refuses(t *Table, at time.Duration, k entity.PartID) bool {
	return t.Decide(start.Add(at), []entity.PartID{k}).Refused != nil
}

func TestWhichRequestIsQuarantined(t *testing.T) {
	guilty, other := key("guilty"), key("other")
	for _, tt := range []struct {
		name          string
		record        func(t *Table)
		guilty, other bool
	}{
		{"two crashes", func(t *Table) { recordCrashes(t, 0, 2, guilty) }, false, false},
		{"three crashes", func(t *Table) { recordCrashes(t, 0, 3, guilty) }, true, false},
		{"another one in two of them", func(t *Table) {
			recordCrashes(t, 0, 2, guilty, other)
			recordCrashes(t, 2*time.Second, 1, guilty)
		}, true, false},
		{"another one in all three", func(t *Table) { recordCrashes(t, 0, 3, guilty, other) }, false, false},
		{"another one in three of four", func(t *Table) {
			recordCrashes(t, 0, 3, guilty, other)
			recordCrashes(t, 3*time.Second, 1, guilty)
		}, true, false},
		{"another one in all three, then served", func(t *Table) {
			recordCrashes(t, 0, 3, guilty, other)
			t.RecordAnswer(start.Add(4*time.Second), nil, other)
		}, true, false},
		{"sound before, three crashes", func(t *Table) {
			t.RecordAnswer(start.Add(-time.Minute), nil, guilty)
			recordCrashes(t, 0, 3, guilty)
		}, false, false},
		{"sound before, five crashes", func(t *Table) {
			t.RecordAnswer(start.Add(-time.Minute), nil, guilty)
			recordCrashes(t, 0, 5, guilty)
		}, true, false},
		{"served in between", func(t *Table) {
			recordCrashes(t, 0, 2, guilty)
			t.RecordAnswer(start.Add(1500*time.Millisecond), nil, guilty)
			recordCrashes(t, 2*time.Second, 1, guilty)
		}, false, false},
	} {
		table := New()
		tt.record(table)
		if got := refuses(table, 6*time.Second, guilty); got != tt.guilty {
			t.Errorf("%s: guilty request refused: %t, want %t", tt.name, got, tt.guilty)
		}
		if got := refuses(table, 6*time.Second, other); got != tt.other {
			t.Errorf("%s: other request refused: %t, want %t", tt.name, got, tt.other)
		}
	}
}

// A sound request that was quarantined is tried a minute later at any instance, and is released
// everywhere.
func TestQuarantinedRequestGetsAWayBack(t *testing.T) {
	k := key("innocent")
	a, b := New(), New()
	b.SetTrialDelay(20 * time.Second)
	recordCrashes(a, 0, 3, k)
	b.Merge(start.Add(3*time.Second), a.StateSince(start.Add(3*time.Second), 0))
	last := 2 * time.Second
	if !refuses(a, last+trialAfter-time.Second, k) || !refuses(b, last+trialAfter+10*time.Second, k) {
		t.Errorf("the request was tried before %v", trialAfter)
	}
	now := start.Add(last + trialAfter)
	if !a.Decide(now, []entity.PartID{k}).Trial {
		t.Fatalf("the request was not tried after %v", trialAfter)
	}
	if !refuses(a, last+trialAfter+time.Second, k) {
		t.Errorf("the request was tried twice")
	}
	version := a.Version()
	a.RecordAnswer(now.Add(time.Second), nil, k)
	b.Merge(now.Add(2*time.Second), a.StateSince(now.Add(2*time.Second), version))
	if refuses(a, last+trialAfter+3*time.Second, k) || refuses(b, last+trialAfter+3*time.Second, k) {
		t.Errorf("the request is refused although the trial was served")
	}
}

// Failed trials of all instances together are few.
func TestTrialsOfARequestAreRare(t *testing.T) {
	const instances = 15
	k := key("deadly")
	tables := make([]*Table, instances)
	for i := range tables {
		tables[i] = New()
		tables[i].SetTrialDelay(time.Duration(i) * 4 * time.Second)
	}
	recordCrashes(tables[0], 0, 3, k)
	trials := 0
	for now := 3 * time.Second; now < 20*time.Minute; now += time.Second {
		for i, table := range tables {
			if now/time.Second%instances == time.Duration(i) && table.Decide(start.Add(now), []entity.PartID{k}).Trial {
				trials++
				recordCrashes(table, now, 1, k)
			}
		}
		for i := range tables {
			for j := range tables {
				if s := tables[i].StateSince(start.Add(now), 0); s != nil {
					tables[j].Merge(start.Add(now), s)
				}
			}
		}
	}
	if trials < 2 || trials > 5 {
		t.Errorf("the request was tried %d times in 20 minutes, want 2 to 5", trials)
	}
}

func TestRequestIsNotSentOnAfterTwoCrashes(t *testing.T) {
	table, k := New(), key("a")
	for n, want := range []bool{true, true, false} {
		if got := table.MayRetry(k); got != want {
			t.Errorf("after %d crashes a request may be sent again: %t, want %t", n, got, want)
		}
		recordCrashes(table, time.Duration(n)*time.Second, 1, k)
	}
	table.RecordAnswer(start.Add(time.Minute), nil, k)
	if !table.MayRetry(k) {
		t.Errorf("a request that was served since may not be sent again")
	}
}

// Callers send a million different requests: the memory stays bounded, and parts that are known
// to be sound are not forgotten for them.
func TestMemoryOfRequestsIsBounded(t *testing.T) {
	table := New()
	table.RecordAnswer(start, []entity.PartID{"part", "own"}, "")
	for i := range 1_000_000 {
		table.RecordAnswer(start, nil, key(fmt.Sprint(i)))
	}
	if n := len(table.servedRequests.current) + len(table.servedRequests.previous); n > 2*maxServed {
		t.Errorf("%d requests are remembered, want at most %d", n, 2*maxServed)
	}
	if _, ok := table.served.at("part"); !ok {
		t.Errorf("a sound part was forgotten")
	}
}
