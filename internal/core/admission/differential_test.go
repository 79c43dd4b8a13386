package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// randomHistory drives an Owner through a random history and checks its messages
// against the contract of the package.
type randomHistory struct {
	t       *rapid.T
	o       *Owner
	now     time.Time
	next    int
	queued  map[entity.RequestID]entity.Work
	running map[entity.RequestID]entity.Grant
	paused  map[entity.RequestID]entity.Endpoint
	works   map[entity.RequestID]entity.Work // all requests reserved so far
	// guarantees holds the guarantees given by refusals. Each is counted from when the
	// reservation was sent, as the entry counts it.
	guarantees []naiveGuarantee
	sentAt     map[entity.RequestID]time.Time
	rows       []entity.Endpoint
}

func newRandomHistory(t *rapid.T, rows []entity.Endpoint) *randomHistory {
	h := &randomHistory{
		t: t, now: epoch, rows: rows,
		queued: make(map[entity.RequestID]entity.Work), running: make(map[entity.RequestID]entity.Grant),
		paused: make(map[entity.RequestID]entity.Endpoint), works: make(map[entity.RequestID]entity.Work),
		sentAt: make(map[entity.RequestID]time.Time),
	}
	s := DefaultSettings()
	s.QueuePerEndpoint = 4
	h.o = New(s)
	h.o.SetEndpoints(h.now, rows)
	h.now = h.now.Add(s.SettleFor)
	return h
}

// work draws a request. With plain, requests differ only in their tier.
func (h *randomHistory) work(plain bool) entity.Work {
	h.next++
	w := work(fmt.Sprintf("r%04d", h.next), entity.Tier(rapid.IntRange(0, 4).Draw(h.t, "tier")))
	w.PromptTokens = 0
	if plain {
		return w
	}
	w.Org = entity.OrgID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(h.t, "org"))
	w.PromptTokens = rapid.IntRange(0, 3000).Draw(h.t, "prompt")
	w.NonIdempotent = rapid.IntRange(0, 5).Draw(h.t, "idempotent") == 0
	w.ShedRank = rapid.IntRange(0, 2).Draw(h.t, "rank")
	w.Prefix = []entity.BlockHash{entity.BlockHash(rapid.IntRange(1, 4).Draw(h.t, "head"))}
	if rapid.Bool().Draw(h.t, "has deadline") {
		w.Deadline = h.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(h.t, "deadline")) * time.Millisecond)
	}
	return w
}

func (h *randomHistory) reserve(w entity.Work, noWait bool) {
	h.works[w.ID], h.queued[w.ID], h.sentAt[w.ID] = w, w, h.now
	h.o.HandleReservation(h.now, entity.Reservation{Work: w, From: "entry", NoWait: noWait})
	h.drain()
}

func (h *randomHistory) release(id entity.RequestID, paused bool) {
	g := h.running[id]
	delete(h.running, id)
	h.o.HandleRelease(h.now, entity.Release{ID: id, Endpoint: g.Endpoint, Paused: paused})
	if paused {
		h.queued[id] = h.works[id]
		h.o.HandleReservation(h.now, entity.Reservation{Work: h.works[id], From: "entry", Resume: g.Endpoint})
	}
	h.drain()
}

func (h *randomHistory) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.o.Tick(h.now)
	h.drain()
}

// drain processes and checks the owner's messages.
func (h *randomHistory) drain() {
	r := h.o.Ready()
	for _, f := range r.Refusals {
		h.refused(f.Refusal)
	}
	for _, g := range r.Grants {
		h.granted(g.Grant)
	}
	for _, p := range r.Preemptions {
		h.preempted(p.Preemption)
	}
}

func (h *randomHistory) refused(f entity.Refusal) {
	w, ok := h.queued[f.ID]
	if !ok {
		h.t.Fatalf("%s was refused without a pending reservation", f.ID)
	}
	delete(h.queued, f.ID)
	if f.Infeasible {
		return
	}
	if f.Floor == NoFloor || f.RetryAfter <= 0 {
		h.t.Fatalf("got refusal %+v on settled endpoints, want a floor and a retry-after time", f)
	}
	for id := range h.running {
		if h.works[id].Tier > f.Floor {
			h.t.Fatalf("%s (tier %d) was refused with floor %d while %s of tier %d runs", f.ID, w.Tier, f.Floor, id, h.works[id].Tier)
		}
	}
	h.guarantees = append(h.guarantees, naiveGuarantee{f.Floor, h.sentAt[f.ID].Add(f.FloorFor)})
}

func (h *randomHistory) granted(g entity.Grant) {
	w, ok := h.queued[g.ID]
	if !ok {
		h.t.Fatalf("%s was granted without a pending reservation", g.ID)
	}
	delete(h.queued, g.ID)
	for _, p := range h.guarantees {
		if w.Tier > p.tier && h.now.Before(p.until) {
			h.t.Fatalf("tier %d was granted a slot against the guarantee of floor %d", w.Tier, p.tier)
		}
	}
	h.running[g.ID] = g
	taken := 0
	for _, other := range h.running {
		if other.Endpoint == g.Endpoint {
			taken++
		}
	}
	i := slices.IndexFunc(h.rows, func(e entity.Endpoint) bool { return e.ID == g.Endpoint })
	if taken > h.rows[i].Slots {
		h.t.Fatalf("%d slots of %s are granted, more than it has", taken, g.Endpoint)
	}
}

func (h *randomHistory) preempted(p entity.Preemption) {
	w := h.works[p.ID]
	if w.NonIdempotent {
		h.t.Fatalf("%s is not idempotent and was preempted", p.ID)
	}
	higher := false
	for _, q := range h.queued {
		higher = higher || q.Tier < w.Tier
	}
	if !higher {
		h.t.Fatalf("%s of tier %d was preempted, but nothing of a higher tier is queued", p.ID, w.Tier)
	}
	if _, ok := h.running[p.ID]; ok && p.Pause {
		h.release(p.ID, true)
	}
}

// drawRequest draws one request ID of m; the keys are sorted first, so that a seed always
// draws the same one.
func drawRequest[V any](t *rapid.T, m map[entity.RequestID]V) entity.RequestID {
	keys := make([]entity.RequestID, 0, len(m))
	for id := range m {
		keys = append(keys, id)
	}
	slices.Sort(keys)
	return rapid.SampledFrom(keys).Draw(t, "request")
}

// The contract of the package holds over random histories: no slot is granted
// twice, the guarantees of refusals are true when given and hold for FloorFor,
// non-idempotent work is not preempted, and every reservation is answered.
func TestContractHoldsOverRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newRandomHistory(t, []entity.Endpoint{engine("e0", 2), engine("e1", 1), engine("e2", 3)})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				h.reserve(h.work(false), rapid.Bool().Draw(t, "nowait"))
			case 2:
				if len(h.running) > 0 {
					h.release(drawRequest(t, h.running), false)
				}
			default:
				h.advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			}
		}
		h.finish()
	})
}

// finish repeatedly ends all running work, and checks that the queue is empty at the
// end: queued work of every tier must be granted or refused once there are free slots.
func (h *randomHistory) finish() {
	for range 400 {
		for len(h.running) > 0 {
			h.release(drawRequest(h.t, h.running), false)
		}
		h.advance(TickInterval)
	}
	if len(h.queued) > 0 {
		h.t.Fatalf("%d requests are still queued, want 0: %v", len(h.queued), h.queued)
	}
}

// For work of one organisation that differs only in its tier, and without
// preemption, Owner grants the same requests in the same order as naiveOwner.
func TestOwnerAgreesWithNaiveOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := []entity.Endpoint{engine("e0", 2), engine("e1", 1)}
		for i := range rows {
			rows[i].Kind = entity.KindService
		}
		s := DefaultSettings()
		s.QueuePerEndpoint = 1000
		o, n, now := New(s), newNaiveOwner(rows), epoch
		o.SetEndpoints(now, rows)
		now = now.Add(s.SettleFor)
		h := &randomHistory{t: t, now: now}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if len(n.running) > 0 && rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				id := drawRequest(t, n.running)
				n.end(id)
				o.HandleRelease(now, entity.Release{ID: id})
			} else {
				w := h.work(true)
				n.queue = append(n.queue, w)
				o.HandleReservation(now, reservation(w))
			}
			var got []entity.RequestID
			r := o.Ready()
			for _, g := range r.Grants {
				got = append(got, g.Grant.ID)
			}
			if want := n.grants(now); !slices.Equal(got, want) {
				t.Fatalf("got grants %v, want %v", got, want)
			}
			if len(r.Refusals)+len(r.Preemptions) > 0 {
				t.Fatalf("got refusals or preemptions although the queue has room: %+v", r)
			}
		}
	})
}
