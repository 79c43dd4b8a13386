package broker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	zoneA = entity.ZoneID("a")
	llm   = entity.PoolID("llm")
)

// bench drives a broker by a virtual clock.
type bench struct {
	t   *testing.T
	b   *Broker
	now time.Time
}

func newBench(t *testing.T, engines, slots int) *bench {
	h := &bench{t: t, b: New(DefaultSettings(zoneA)), now: time.Unix(1_700_000_000, 0)}
	h.setEngines(engines, slots)
	return h
}

func engineRow(i, slots int) catalog.Endpoint {
	return catalog.Endpoint{Endpoint: entity.Endpoint{
		ID: entity.EndpointID(fmt.Sprintf("e%d", i)), Pool: llm, Zone: zoneA, Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: slots,
	}, Incarnation: 1}
}

func (h *bench) setEngines(engines, slots int) {
	var rows []catalog.Endpoint
	for i := range engines {
		rows = append(rows, engineRow(i, slots))
	}
	h.b.SetEndpoints(h.now, []entity.PoolID{llm}, catalog.NewEndpoints(rows))
}

// advance lets time pass in ticks.
func (h *bench) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(TickInterval)
		h.b.Tick(h.now)
	}
}

// ask asks for a slot and returns the messages that it led to.
func (h *bench) ask(id string, change func(*SlotRequest)) []entity.Outgoing {
	a := SlotRequest{ID: entity.RequestID(id), From: "entry", Seq: 1, Pool: llm, PromptTokens: 600, AnswerTokens: 100,
		TargetIn: 400 * time.Millisecond, DeadlineIn: 10 * time.Second}
	if change != nil {
		change(&a)
	}
	h.b.HandleSlotRequest(h.now, a)
	return h.b.Ready()
}

func grants(messages []entity.Outgoing) []string {
	var out []string
	for _, m := range messages {
		if g, ok := m.Message.(Grant); ok {
			out = append(out, string(g.ID))
		}
	}
	return out
}

func denials(messages []entity.Outgoing) []Deny {
	var out []Deny
	for _, m := range messages {
		if d, ok := m.Message.(Deny); ok {
			out = append(out, d)
		}
	}
	return out
}

func (h *bench) done(id string) []entity.Outgoing {
	h.b.HandleDone(h.now, Done{ID: entity.RequestID(id), Seq: 1})
	return h.b.Ready()
}

func want(t *testing.T, got []string, want ...string) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("granted %v, want %v", got, want)
	}
}

func TestNoMoreThanSlotsRun(t *testing.T) {
	h := newBench(t, 2, 3)
	granted := 0
	for i := range 20 {
		granted += len(grants(h.ask(fmt.Sprint("r", i), nil)))
	}
	if granted != 6 || h.b.Running() != 6 {
		t.Errorf("%d granted, %d running, there are 6 slots", granted, h.b.Running())
	}
}

func TestFreedSlotGoesToTheHighestRankThenTheNextTarget(t *testing.T) {
	h := newBench(t, 1, 1)
	h.ask("first", nil)
	h.ask("low", func(a *SlotRequest) { a.Rank = 2 })
	h.ask("high-later", func(a *SlotRequest) { a.TargetIn = 900 * time.Millisecond })
	h.ask("high-sooner", func(a *SlotRequest) { a.TargetIn = 500 * time.Millisecond })
	want(t, grants(h.done("first")), "high-sooner")
	want(t, grants(h.done("high-sooner")), "high-later")
	want(t, grants(h.done("high-later")), "low")
}

func TestInTimeComesBeforeLate(t *testing.T) {
	h := newBench(t, 1, 1)
	h.b.settings.LateBacklog = 5 * time.Second // the order is tested, not who is refused
	h.ask("first", nil)
	h.ask("late-high", func(a *SlotRequest) { a.TargetIn = -time.Second })
	h.ask("in-time-low", func(a *SlotRequest) { a.Rank = 2 })
	want(t, grants(h.done("first")), "in-time-low")
	want(t, grants(h.done("in-time-low")), "late-high")
}

// Who is late and finds no slot hears so after a quarter of the time in which
// its answer must begin, and has the rest to come back in.
func TestLateRequestsHearSoon(t *testing.T) {
	h := newBench(t, 1, 1)
	h.ask("first", nil)
	h.ask("late", func(a *SlotRequest) {
		a.TargetIn, a.DeadlineIn, a.AnswerTokens = -time.Second, 3200*time.Millisecond, 10
	})
	h.advance(700 * time.Millisecond)
	if d := denials(h.b.Ready()); len(d) != 0 {
		t.Fatalf("refused %v, a slot could still come free in time", d)
	}
	h.advance(200 * time.Millisecond)
	if d := denials(h.b.Ready()); len(d) != 1 || d[0].ID != "late" || d[0].RetryAfter <= 0 {
		t.Errorf("refused %v, want the late one with when to come back", d)
	}
}

func TestWhoComesBackIsServedBeforeOtherLateOnes(t *testing.T) {
	h := newBench(t, 1, 1)
	h.ask("first", nil)
	h.ask("late", func(a *SlotRequest) { a.TargetIn = -time.Second })
	h.ask("late-again", func(a *SlotRequest) { a.TargetIn, a.IsRetry = -time.Second, true })
	want(t, grants(h.done("first")), "late-again")
}

func TestRefusedAtOnceWithWhenToComeBack(t *testing.T) {
	h := newBench(t, 1, 1)
	h.ask("first", nil)
	got := denials(h.ask("hopeless", func(a *SlotRequest) { a.DeadlineIn = time.Millisecond }))
	if len(got) != 1 || got[0].Reason != DenyDeadline || got[0].RetryAfter <= 0 {
		t.Errorf("denied %+v, want one for the deadline with a time to come back", got)
	}
}

func TestLateBacklogIsBounded(t *testing.T) {
	h := newBench(t, 1, 2)
	refused := 0
	for i := range 200 {
		refused += len(denials(h.ask(fmt.Sprint("r", i), func(a *SlotRequest) { a.TargetIn = -time.Second })))
	}
	waiting := h.b.Waiting()
	if refused == 0 || refused+waiting+h.b.Running() != 200 {
		t.Errorf("%d refused, %d waiting, %d running of 200", refused, waiting, h.b.Running())
	}
	work := time.Duration(waiting) * defaultPace().occupancy(600, 100)
	if work/2 > DefaultSettings(zoneA).LateBacklog+defaultPace().occupancy(600, 100) {
		t.Errorf("%v of work waits for two slots", work)
	}
}

func TestLateRequestIsNotHeldTowardsItsDeadline(t *testing.T) {
	h := newBench(t, 1, 1)
	h.ask("first", nil)
	h.ask("late", func(a *SlotRequest) { a.TargetIn = -time.Second })
	h.advance(time.Duration(DefaultSettings(zoneA).LateWaitFraction*float64(10*time.Second)) + 3*TickInterval)
	got := denials(h.b.Ready())
	if len(got) != 1 || got[0].ID != "late" {
		t.Errorf("denied %+v, want the late one", got)
	}
}

func TestNewTargetGoesToTheEngineThatIsFastest(t *testing.T) {
	h := newBench(t, 2, 4)
	// Engine e0 turns out slow, e1 fast.
	for i := range 8 {
		id := fmt.Sprint("probe", i)
		var at entity.EndpointID
		for _, m := range h.ask(id, func(a *SlotRequest) { a.PromptTokens = 5000; a.TargetIn = 5 * time.Second }) {
			at = m.Message.(Grant).Endpoint
		}
		after := 400 * time.Millisecond
		if at == "e1" {
			after = 50 * time.Millisecond
		}
		h.advance(after)
		h.b.HandleStarted(h.now, Started{ID: entity.RequestID(id), After: after})
		h.done(id)
	}
	for _, m := range h.ask("next", func(a *SlotRequest) { a.PromptTokens = 5000 }) {
		if g := m.Message.(Grant); g.Endpoint != "e1" {
			t.Errorf("granted %s, e1 is eight times as fast", g.Endpoint)
		}
	}
}

func TestEngineThatFailsIsPassedOver(t *testing.T) {
	h := newBench(t, 2, 8)
	for i := range 6 {
		id := entity.RequestID(fmt.Sprint("r", i))
		for _, m := range h.ask(string(id), nil) {
			g := m.Message.(Grant)
			h.b.HandleDone(h.now, Done{ID: id, Seq: 1, Failed: g.Endpoint == "e0"})
		}
	}
	for i := range 4 {
		for _, m := range h.ask(fmt.Sprint("next", i), nil) {
			if g := m.Message.(Grant); g.Endpoint == "e0" {
				t.Error("granted the engine that fails all requests")
			}
		}
	}
}

func TestEngineThatIsSilentGetsNothingMore(t *testing.T) {
	h := newBench(t, 1, 8)
	h.ask("first", nil)
	h.advance(minOverdue + 10*TickInterval)
	h.b.MessageReceived(h.now, "entry") // its entry is there
	h.advance(TickInterval)
	if got := grants(h.ask("second", nil)); len(got) != 0 {
		t.Errorf("granted %v at an engine that has not begun its only request", got)
	}
	h.b.HandleStarted(h.now, Started{ID: "first", After: time.Second})
	h.advance(TickInterval)
	want(t, grants(h.b.Ready()), "second")
}

// Word of a request's beginning can't come from an entry that is cut off; that
// says nothing of the engine.
func TestSilentEntryDoesNotCondemnTheEngine(t *testing.T) {
	h := newBench(t, 1, 8)
	h.ask("cut-off", func(a *SlotRequest) { a.From = "entry-of-a-cut-zone" })
	h.advance(minOverdue + 10*TickInterval)
	want(t, grants(h.ask("next", nil)), "next")
}

func TestLeavingEngineGetsNothing(t *testing.T) {
	h := newBench(t, 1, 2)
	row := engineRow(0, 2)
	row.Leaving = true
	h.b.SetEndpoints(h.now, []entity.PoolID{llm}, catalog.NewEndpoints([]catalog.Endpoint{row}))
	if got := denials(h.ask("r", nil)); len(got) != 1 || got[0].Reason != DenyNoEndpoint {
		t.Errorf("answered %+v, want a refusal: the only engine is leaving", got)
	}
}

func TestSlotsOfAnEntryThatIsGoneAreGivenBack(t *testing.T) {
	h := newBench(t, 1, 1)
	h.ask("first", nil)
	h.ask("other", func(a *SlotRequest) { a.From = "entry2"; a.TargetIn = 5 * time.Second })
	h.b.EntryLost(h.now, "entry")
	h.advance(orphanFor + 2*TickInterval)
	want(t, grants(h.b.Ready()), "other")
}

func TestNewBrokerCountsWhatEntriesAlreadyRun(t *testing.T) {
	h := newBench(t, 1, 2)
	h.b.HandleRunningReport(h.now, "entry", RunningReport{Pool: llm, Requests: []RunningRequest{
		{ID: "a", Seq: 4, Endpoint: "e0", DeadlineIn: time.Second}, {ID: "b", Seq: 5, Endpoint: "e0", DeadlineIn: time.Second},
	}})
	if got := grants(h.ask("next", nil)); len(got) != 0 {
		t.Errorf("granted %v, both slots are taken", got)
	}
	h.b.HandleDone(h.now, Done{ID: "b", Seq: 5})
	want(t, grants(h.b.Ready()), "next")
}

func TestBrokerThatWasAwayForgets(t *testing.T) {
	h := newBench(t, 1, 1)
	h.ask("first", nil)
	h.ask("second", nil)
	h.now = h.now.Add(awayAfter + time.Millisecond)
	if got := grants(h.ask("third", nil)); len(got) != 1 || h.b.Waiting() != 0 {
		t.Errorf("granted %v with %d waiting; what it knew is out of date", got, h.b.Waiting())
	}
}

func TestRepeatedAndOvertakenQuestions(t *testing.T) {
	h := newBench(t, 1, 1)
	h.ask("r", func(a *SlotRequest) { a.Seq = 3 })
	if got := h.ask("r", func(a *SlotRequest) { a.Seq = 2 }); len(got) != 0 {
		t.Errorf("an overtaken question was answered: %v", got)
	}
	h.b.HandleWithdraw(h.now, Withdraw{ID: "r", Seq: 2})
	if h.b.Running() != 1 {
		t.Error("an overtaken withdrawal freed the slot")
	}
	h.b.HandleWithdraw(h.now, Withdraw{ID: "r", Seq: 3})
	if h.b.Running() != 0 {
		t.Error("the withdrawal did not free the slot")
	}
}

func TestRequestGoesOnToAZoneWithRoom(t *testing.T) {
	h := newBench(t, 1, 1)
	h.ask("first", nil)
	h.b.HandleZoneState(h.now, "broker-b", ZoneState{Pool: llm, Zone: "b", Free: spillReserve + 1})
	got := h.ask("second", nil)
	if len(got) != 2 || got[0].Instance != "broker-b" || !got[0].Message.(SlotRequest).NoForward {
		t.Fatalf("sent %+v, want the question passed on", got)
	}
	if got[1].Instance != "entry" || got[1].Message != (Forwarded{ID: "second", Seq: 1, To: "broker-b"}) {
		t.Errorf("told the entry %+v, want who has its question", got[1])
	}
	if got := h.ask("third", nil); got[0].Instance == "broker-b" {
		t.Error("passed on more than the other zone has room for")
	}
}

func TestRequestGoesOnToAZoneWithAShorterQueue(t *testing.T) {
	h := newBench(t, 1, 1)
	h.ask("first", nil)
	for i := range 3 {
		h.ask(fmt.Sprint("waits", i), func(a *SlotRequest) { a.TargetIn = 5 * time.Second })
	}
	h.b.HandleZoneState(h.now, "broker-b", ZoneState{Pool: llm, Zone: "b", Slots: 1, WaitsMs: [rankClasses]int64{rankClasses - 1: 10_000}})
	got := h.ask("next", func(a *SlotRequest) { a.TargetIn = 5 * time.Second })
	if len(got) != 2 || got[0].Instance != "broker-b" {
		t.Errorf("sent %+v, want the question passed on: nobody of its rank waits there", got)
	}
	if got := h.ask("low", func(a *SlotRequest) { a.Rank = rankClasses; a.TargetIn = 5 * time.Second }); got[0].Instance == "broker-b" {
		t.Error("passed on a request that would wait longer there")
	}
}

func TestInstanceAloneUsesItsPart(t *testing.T) {
	h := newBench(t, 1, 8)
	h.b.SetSlotShare(1.5 / 6)
	granted := 0
	for i := range 8 {
		granted += len(grants(h.ask(fmt.Sprint("r", i), nil)))
	}
	if granted != 2 {
		t.Errorf("granted %d of 8 slots, its part is 2", granted)
	}
}

// Many instances without their broker send no more to the engines, nor to one
// of them, than those can run, and leave none of them idle.
func TestInstancesAloneTogetherUseTheSlots(t *testing.T) {
	const instances, engines, slots, part = 32, 15, 8, 1.5
	total, byEngine := 0, make(map[entity.EndpointID]int)
	for i := range instances {
		s := DefaultSettings(zoneA)
		s.Self, s.SlotShare = entity.InstanceID(fmt.Sprint("instance-", i)), part/instances
		h := &bench{t: t, b: New(s), now: time.Unix(1_700_000_000, 0)}
		h.setEngines(engines, slots)
		own := 0
		for r := range 20 {
			for _, m := range h.ask(fmt.Sprint("r", r), nil) {
				if g, ok := m.Message.(Grant); ok {
					byEngine[g.Endpoint]++
					own++
				}
			}
		}
		if own == 0 {
			t.Errorf("instance %d has no slot at all", i)
		}
		total += own
	}
	if most := int(1.25 * part * engines * slots); total > most {
		t.Errorf("%d granted on %d slots, want at most %d", total, engines*slots, most)
	}
	for id, n := range byEngine {
		if n > 3*slots {
			t.Errorf("%d granted on the %d slots of %s", n, slots, id)
		}
	}
	if len(byEngine) != engines {
		t.Errorf("%d of %d engines are used", len(byEngine), engines)
	}
}

// The order of waiting requests agrees with a naive one: sort by the rule as
// it is written down.
func TestOrderAgainstNaive(t *testing.T) {
	h := newBench(t, 1, 1)
	h.ask("first", nil)
	for i := range 40 {
		h.ask(fmt.Sprintf("r%02d", i), func(a *SlotRequest) {
			a.Rank = (i * 7) % 3
			a.TargetIn = time.Duration((i*13)%20+30) * 100 * time.Millisecond
			a.DeadlineIn = time.Minute
		})
	}
	p := h.b.pool(llm)
	for i := 1; i < len(p.waiting); i++ {
		a, b := p.waiting[i-1], p.waiting[i]
		if a.ask.Rank > b.ask.Rank || (a.ask.Rank == b.ask.Rank && a.target.After(b.target)) {
			t.Fatalf("%s stands before %s", a.ask.ID, b.ask.ID)
		}
	}
}

// Under a load that the highest rank alone could take whole, the lowest one
// gets its guaranteed part of the slots' time, and no more.
func TestLowestRankDoesNotStarve(t *testing.T) {
	h := newBench(t, 1, 4)
	running := map[string]time.Time{}
	served := map[int]time.Duration{}
	long, short := defaultPace().occupancy(600, 300), defaultPace().occupancy(100, 6)
	for i := range 3000 {
		h.now = h.now.Add(TickInterval)
		for id, end := range running {
			if !h.now.Before(end) {
				delete(running, id)
				h.b.HandleDone(h.now, Done{ID: entity.RequestID(id), Seq: 1})
			}
		}
		h.b.Tick(h.now)
		if i%5 == 0 {
			h.ask(fmt.Sprint("high", i), func(a *SlotRequest) { a.AnswerTokens = 300; a.Rank = 1 })
			h.b.HandleSlotRequest(h.now, SlotRequest{ID: entity.RequestID(fmt.Sprint("low", i)), From: "entry", Seq: 1, Pool: llm, Rank: 2, PromptTokens: 100,
				AnswerTokens: 6, TargetIn: 500 * time.Millisecond, DeadlineIn: 3 * time.Second})
		}
		for id := range h.b.runs {
			if _, ok := running[string(id)]; ok {
				continue
			}
			rank, d := 1, long
			if strings.HasPrefix(string(id), "low") {
				rank, d = 2, short
			}
			running[string(id)] = h.now.Add(d)
			served[rank] += d
			h.b.HandleStarted(h.now, Started{ID: id, After: 20 * time.Millisecond})
		}
		h.b.Ready()
	}
	part := served[2].Seconds() / (served[1] + served[2]).Seconds()
	if part < guaranteedPart/3 || part > 1.5*guaranteedPart {
		t.Errorf("the lowest rank got %.1f%% of the time, %.0f%% are kept for it", 100*part, 100*guaranteedPart)
	}
}

// The word that a request has ended may be lost. Its slot must not stay taken
// until after the deadline.
func TestSlotsWithoutAWordAreAskedAbout(t *testing.T) {
	h := newBench(t, 1, 1)
	h.ask("lost", nil)
	h.advance(auditAfter + auditInterval)
	var asked []AuditedRun
	for _, m := range h.b.Ready() {
		if a, ok := m.Message.(Audit); ok && m.Instance == "entry" {
			asked = append(asked, a.Runs...)
		}
	}
	if len(asked) != 1 || asked[0] != (AuditedRun{ID: "lost", Seq: 1}) {
		t.Fatalf("asked about %v, want the slot that nobody has spoken of", asked)
	}
	h.b.HandleWithdraw(h.now, Withdraw{ID: "lost", Seq: 1})
	want(t, grants(h.ask("next", nil)), "next")
}

// paced is a bench of engines whose times for one token of an answer are given.
func paced(t *testing.T, perToken ...time.Duration) *bench {
	h := newBench(t, len(perToken), 1)
	for i, d := range perToken {
		h.b.pool(llm).engines[i].pace.answerToken = d
	}
	return h
}

func endpoints(messages []entity.Outgoing) []string {
	var out []string
	for _, m := range messages {
		if g, ok := m.Message.(Grant); ok {
			out = append(out, string(g.ID)+" "+string(g.Endpoint))
		}
	}
	return out
}

// A long answer goes to an engine that can end it before the request's time is
// over. Slots of other engines stay for others meanwhile.
func TestLongAnswersGoWhereTheyCanEnd(t *testing.T) {
	const fast, slow = 2 * time.Millisecond, 10 * time.Millisecond
	long := func(a *SlotRequest) { a.AnswerTokens, a.EndIn, a.TargetIn = 2000, 12*time.Second, 5*time.Second }
	tests := []struct {
		name string
		play func(h *bench) []entity.Outgoing
		want []string
	}{
		{"the fast one", func(h *bench) []entity.Outgoing { return h.ask("long", long) }, []string{"long e1"}},
		{"it waits for the fast one", func(h *bench) []entity.Outgoing {
			h.ask("first", long)
			h.ask("long", long)
			m := h.ask("short", nil)
			return append(m, h.done("first")...)
		}, []string{"short e0", "long e1"}},
		{"none could: the quickest", func(h *bench) []entity.Outgoing {
			return h.ask("long", func(a *SlotRequest) { a.AnswerTokens, a.EndIn = 20_000, 12*time.Second })
		}, []string{"long e1"}},
		{"no end known", func(h *bench) []entity.Outgoing {
			return h.ask("long", func(a *SlotRequest) { a.AnswerTokens = 2000 })
		}, []string{"long e0"}},
		{"the fast one is leaving", func(h *bench) []entity.Outgoing {
			h.b.pool(llm).engines[1].row.Leaving = true
			return h.ask("long", long)
		}, []string{"long e0"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { want(t, endpoints(tt.play(paced(t, slow, fast))), tt.want...) })
	}
}

// An engine's pace is learned from the tokens that came, where they were counted.
func TestPaceIsLearnedFromCountedTokens(t *testing.T) {
	h := newBench(t, 1, 1)
	for i := range 40 {
		id := fmt.Sprint("r", i)
		h.ask(id, func(a *SlotRequest) { a.AnswerTokens = 100 })
		h.b.HandleDone(h.now, Done{ID: entity.RequestID(id), Seq: 1, Tokens: 400, Streaming: 800 * time.Millisecond})
		h.b.Ready()
	}
	if got := h.b.pool(llm).engines[0].pace.answerToken; got < 1900*time.Microsecond || got > 2100*time.Microsecond {
		t.Errorf("learned %v for a token, want 2 ms", got)
	}
}

// What waits is handed to the pool's next broker with the time that is left,
// and the entries hear of it.
func TestHandOver(t *testing.T) {
	h := newBench(t, 1, 1)
	h.ask("runs", nil)
	h.ask("waits", func(a *SlotRequest) { a.TargetIn = time.Second })
	h.advance(100 * time.Millisecond)
	h.b.Ready()
	h.b.HandOver(h.now, llm, "next")
	messages := h.b.Ready()
	if len(messages) != 2 || h.b.Waiting() != 0 || h.b.Running() != 1 {
		t.Fatalf("sent %v, %d wait, %d run", messages, h.b.Waiting(), h.b.Running())
	}
	ask, ok := messages[0].Message.(SlotRequest)
	if !ok || messages[0].Instance != "next" || ask.ID != "waits" || ask.NoForward || ask.TargetIn != 900*time.Millisecond {
		t.Errorf("handed over %+v to %s", ask, messages[0].Instance)
	}
	if p, ok := messages[1].Message.(Forwarded); !ok || messages[1].Instance != "entry" || p.To != "next" {
		t.Errorf("the entry was told %v", messages[1])
	}
}

// Of an engine that has answered nothing yet, its prompts tell how slow it is;
// the first answers then count for much.
func TestPaceOfANewEngine(t *testing.T) {
	const slow = 5
	p := defaultPace()
	expected := p.prefill(6000)
	for range 3 {
		p.learnPrefill(6000, p.prefill(6000), slow*expected)
	}
	if want := 3 * defaultAnswer; p.answerToken < want {
		t.Errorf("an engine whose prompts take %d times as long is taken to need %v for a token, want %v or more", slow, p.answerToken, want)
	}
	p.learnAnswer(100, 100*12*time.Millisecond)
	p.learnAnswer(100, 100*12*time.Millisecond)
	if got := p.answerToken; got < 11*time.Millisecond || got > 13*time.Millisecond {
		t.Errorf("after two answers of 12 ms a token: %v", got)
	}
}
