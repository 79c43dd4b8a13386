package broker

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/endpointlimit"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// limitsOf returns the same limit for engines e0 to e(n-1).
func limitsOf(n int, perSecond float64) map[entity.EndpointID]endpointlimit.Limit {
	out := make(map[entity.EndpointID]endpointlimit.Limit)
	for i := range n {
		out[engineRow(i, 1).ID] = endpointlimit.Limit{Incarnation: 1, Limited: true, PerSecond: perSecond}
	}
	return out
}

// limitedLoad sends a request of each of two ranks every interval, and ends each after 100 ms.
// It returns the grants by endpoint and by rank, and the refusals.
func (h *harness) limitedLoad(length, interval time.Duration, tokens int) (byEndpoint map[entity.EndpointID]int, byRank map[int]int, denied []Deny) {
	byEndpoint, byRank = make(map[entity.EndpointID]int), make(map[int]int)
	ends := make(map[string]time.Time)
	next, n := h.now, 0
	for end := h.now.Add(length); h.now.Before(end); {
		h.advance(TickInterval)
		for id, at := range ends {
			if h.now.After(at) {
				h.b.HandleDone(h.now, Done{ID: entity.RequestID(id), Seq: 1})
				delete(ends, id)
			}
		}
		for ; !next.After(h.now); next = next.Add(interval) {
			for rank := range 2 {
				h.b.HandleSlotRequest(h.now, SlotRequest{ID: entity.RequestID(fmt.Sprintf("%d/%d", rank, n)), From: "entry", Seq: 1, Pool: llm,
					Rank: rank, PromptTokens: 10 * tokens, AnswerTokens: tokens, TargetIn: 400 * time.Millisecond, DeadlineIn: 10 * time.Second})
			}
			n++
		}
		for _, m := range h.b.Ready() {
			switch g := m.Message.(type) {
			case Grant:
				byEndpoint[g.Endpoint]++
				byRank[int(g.ID[0]-'0')]++
				ends[string(g.ID)] = h.now.Add(100 * time.Millisecond)
			case Deny:
				denied = append(denied, g)
			}
		}
	}
	return byEndpoint, byRank, denied
}

func TestEngineWithALimitIsGrantedNoMore(t *testing.T) {
	h := newHarness(t, 2, 8)
	h.b.SetLimits(h.now, limitsOf(1, 2), 1)
	got, _, denied := h.limitedLoad(10*time.Second, 50*time.Millisecond, 10)
	if n := got["e0"]; n < 15 || n > 20 {
		t.Errorf("%d requests were granted in 10 s to an engine that takes 2 a second", n)
	}
	if len(denied) > 0 {
		t.Errorf("%d requests were refused, the first for %s, although the other engine can serve all", len(denied), denied[0].Reason)
	}
}

// All engines of a pool have limits: what they take is used, by rank, and who is refused learns
// early and when to return.
func TestPoolWhoseEnginesAllHaveLimits(t *testing.T) {
	for _, tokens := range []int{0, 10} { // plain services state no tokens
		testLimitedPool(t, tokens)
	}
}

func testLimitedPool(t *testing.T, tokens int) {
	h := newHarness(t, 4, 8)
	h.b.SetLimits(h.now, limitsOf(4, 5), 1)
	got, byRank, denied := h.limitedLoad(10*time.Second, 50*time.Millisecond, tokens)
	for id, n := range got {
		if n < 45 || n > 50 {
			t.Errorf("%d requests were granted in 10 s to %s, which takes 5 a second", n, id)
		}
	}
	if byRank[0] < 10*byRank[1] {
		t.Errorf("%d requests of the higher rank were granted and %d of the lower, want only few of the lower", byRank[0], byRank[1])
	}
	for _, d := range denied {
		if d.RetryAfter <= 0 || d.Reason != DenyLimit {
			t.Fatalf("got the refusal %+v, want %s with a time", d, DenyLimit)
		}
	}
	if h.b.Waiting() > 15 {
		t.Errorf("%d tokens: %d requests wait, of which 20 a second can be served and none later than after 0.5 s", tokens, h.b.Waiting())
	}
}

func TestLimitEndsWithTheIncarnation(t *testing.T) {
	h := newHarness(t, 1, 8)
	h.b.SetLimits(h.now, limitsOf(1, 0), 1)
	if got := grants(h.requestSlot("first", nil)); len(got) > 0 {
		t.Errorf("granted %v on an engine that takes none", got)
	}
	row := engineRow(0, 8)
	row.Incarnation = 2
	h.b.SetEndpoints(h.now, []entity.PoolID{llm}, catalog.NewEndpoints([]catalog.Endpoint{row}))
	want(t, grants(h.b.Ready()), "first")
}

// limitedZone is a zone whose instances each have an elected and a local broker, and are cut into
// parts. The first instance of each part is its broker.
type limitedZone struct {
	now     time.Time
	rnd     *rand.Rand
	parts   [][]int // instances that reach each other
	joined  []bool
	elected []*Broker
	local   []*Broker
	sent    []time.Time
	// brokers holds the broker of each part.
	brokers []int
	n       int
}

func newLimitedZone(seed int64, instances int) *limitedZone {
	z := &limitedZone{now: time.Unix(1_700_000_000, 0), rnd: rand.New(rand.NewSource(seed)), joined: make([]bool, instances)}
	z.elected, z.local = make([]*Broker, instances), make([]*Broker, instances)
	all := make([]int, instances)
	for i := range instances {
		all[i] = i
		z.start(i)
		z.joined[i] = true
	}
	z.parts = [][]int{all}
	z.brokers = []int{0}
	return z
}

// start replaces the process of an instance.
func (z *limitedZone) start(i int) {
	local := DefaultSettings(zoneA)
	local.SlotShare, local.Self = 1, entity.InstanceID(fmt.Sprint(i, z.now))
	z.elected[i], z.local[i], z.joined[i] = New(DefaultSettings(zoneA)), New(local), false
	row := catalog.NewEndpoints([]catalog.Endpoint{engineRow(0, 64)})
	for _, b := range []*Broker{z.elected[i], z.local[i]} {
		b.SetEndpoints(z.now, []entity.PoolID{llm}, row)
	}
}

// elect makes the first instance of each part its broker.
func (z *limitedZone) elect() {
	before := z.brokers
	z.brokers = nil
	for _, part := range z.parts {
		z.brokers = append(z.brokers, part[0])
		if !slices.Contains(before, part[0]) {
			z.elected[part[0]].TakeOver(z.now, llm)
		}
	}
}

// setLimits tells all brokers the limit and their shares.
func (z *limitedZone) setLimits(perSecond float64) {
	for _, part := range z.parts {
		for _, i := range part {
			view := endpointlimit.Zone{Joined: z.joined[i], Reachable: len(part), Known: len(z.elected)}
			z.elected[i].SetLimits(z.now, limitsOf(1, perSecond), view.Share())
			z.local[i].SetLimits(z.now, limitsOf(1, perSecond), view.LocalShare())
		}
	}
}

// fault cuts or heals the zone, restarts one or all instances, or moves the role of broker.
func (z *limitedZone) fault() {
	switch z.rnd.Intn(5) {
	case 0:
		z.parts = [][]int{slices.Concat(z.parts...)}
	case 1:
		all := slices.Concat(z.parts...)
		z.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		if cut := z.rnd.Intn(len(all)); cut > 0 {
			z.parts = [][]int{all[:cut], all[cut:]}
		}
	case 2:
		z.start(z.rnd.Intn(len(z.elected)))
	case 3:
		for i := range z.elected {
			z.start(i)
		}
	default:
		part := z.parts[z.rnd.Intn(len(z.parts))]
		z.rnd.Shuffle(len(part), func(i, j int) { part[i], part[j] = part[j], part[i] })
	}
}

// step lets each instance send a request to a broker: mostly the elected one of its part, its own
// local one if useLocal is set.
func (z *limitedZone) step(useLocal bool) {
	z.now = z.now.Add(TickInterval)
	for _, part := range z.parts {
		for _, i := range part {
			b := z.elected[part[0]]
			if useLocal {
				b = z.local[i]
			}
			z.n++
			b.HandleSlotRequest(z.now, SlotRequest{ID: entity.RequestID(fmt.Sprint(z.n)), From: "entry", Seq: 1, Pool: llm, DeadlineIn: 100 * time.Millisecond})
		}
	}
	for _, b := range slices.Concat(z.elected, z.local) {
		b.Tick(z.now)
		for _, m := range b.Ready() {
			if g, ok := m.Message.(Grant); ok {
				z.sent = append(z.sent, z.now)
				b.HandleDone(z.now, Done{ID: g.ID, Seq: 1})
			}
		}
	}
}

// Whatever is cut, restarted or elected, all brokers of a zone together send an endpoint little
// more than one and a half times its limit.
func TestBrokersOfAZoneKeepTheLimitTogether(t *testing.T) {
	const window = 4 * time.Second
	for seed := range int64(24) {
		rnd := rand.New(rand.NewSource(seed))
		limit := []float64{0, 0.3, 1, 2.2, 5, 12}[rnd.Intn(6)]
		z := newLimitedZone(seed, 1+rnd.Intn(20))
		z.setLimits(limit)
		nextFault, localUntil := z.now, z.now
		for end := z.now.Add(60 * time.Second); z.now.Before(end); {
			if !z.now.Before(nextFault) {
				z.fault()
				z.elect()
				z.setLimits(limit)
				nextFault = z.now.Add(time.Duration(2000+z.rnd.Intn(4000)) * time.Millisecond)
				localUntil = z.now.Add(time.Duration(z.rnd.Intn(2)) * time.Second)
			}
			if i := z.rnd.Intn(len(z.joined)); !z.joined[i] {
				z.joined[i] = true
				z.setLimits(limit)
			}
			z.step(z.now.Before(localUntil))
		}
		first, most, allowed := 0, 0, int(1.5*limit*window.Seconds())+5
		for i, at := range z.sent {
			for at.Sub(z.sent[first]) >= window {
				first++
			}
			most = max(most, i-first+1)
		}
		if most > allowed {
			t.Errorf("seed %d: %d requests within %v to an endpoint that takes %v a second from %d instances, want at most %d", seed, most, window, limit, len(z.elected), allowed)
		}
	}
}

// A pool of plain endpoints gets a broker when one of them states a limit. Where all are in other
// zones, requests wait until their brokers are heard of.
func TestRequestsWaitForTheOtherZonesOfANewPool(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.b.SetEndpoints(h.now, []entity.PoolID{"other"}, catalog.NewEndpoints([]catalog.Endpoint{engineRow(0, 1)}))
	h.b.TakeOver(h.now, llm)
	h.requestSlot("early", nil)
	h.advance(100 * time.Millisecond)
	h.b.HandleZoneState(h.now, "there", ZoneState{Pool: llm, Zone: "b", Slots: 1})
	h.advance(TickInterval)
	messages := h.b.Ready()
	if len(denials(messages)) > 0 || !slices.ContainsFunc(messages, func(m entity.Outgoing) bool { return m.Instance == "there" }) {
		t.Errorf("got %v, want the request forwarded", messages)
	}
	h.advance(time.Second)
	if got := denials(h.requestSlot("late", nil)); len(got) != 1 || got[0].Reason != DenyNoEndpoint {
		t.Errorf("got the refusals %v without any engine, want one", got)
	}
}

// While no engine can serve, late requests don't wait for one.
func TestLateRequestIsRefusedWhileAllEnginesArePaused(t *testing.T) {
	h := newHarness(t, 1, 4)
	for _, from := range []entity.InstanceID{"entry", "other"} { // for all only after two entries
		h.requestSlot(string(from), func(r *SlotRequest) { r.From = from })
	}
	for _, from := range []entity.InstanceID{"entry", "other"} {
		h.b.HandleDone(h.now, Done{ID: entity.RequestID(from), Seq: 1, NotRun: true, Failed: true})
	}
	got := denials(h.requestSlot("late", func(r *SlotRequest) { r.TargetIn = -time.Second }))
	if len(got) != 1 || got[0].Reason != DenyOverload {
		t.Errorf("got the refusals %+v, want one for overload", got)
	}
}
