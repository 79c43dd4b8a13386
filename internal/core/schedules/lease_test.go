package schedules

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/lease"
	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/platform"
)

const (
	testLongestOrder = 2 * time.Second
	leaseRetention   = 90 * time.Second
)

// leaseWorld is one zone's candidates for one lease and two endpoints that the
// holder keeps writing to: one checks fencing numbers, one doesn't.
type leaseWorld struct {
	*sim
	t       *testing.T
	seed    int64
	log     *fakeLog
	nodes   []*leaseNode
	highest platform.Offset // seen by the endpoint that checks
	refused int
	busy    map[entity.InstanceID]int // orders under way at the other one
	writes  map[entity.InstanceID]int
	changes int
	last    entity.InstanceID
}

type leaseNode struct {
	*process
	w *leaseWorld
	l *lease.Lease
}

func newLeaseWorld(t *testing.T, seed int64) *leaseWorld {
	s := newSim(seed)
	w := &leaseWorld{
		sim: s, t: t, seed: seed, log: newFakeLog(newNetwork(s), leaseRetention), highest: -1,
		busy: map[entity.InstanceID]int{}, writes: map[entity.InstanceID]int{},
	}
	for i := range 3 {
		w.nodes = append(w.nodes, w.newNode(fmt.Sprintf("n%d", i), i))
	}
	return w
}

// newNode starts a candidate. Each stands in its own zone of the fake network,
// so that it can be cut off alone.
func (w *leaseWorld) newNode(id string, i int) *leaseNode {
	l, err := lease.New(lease.Settings{
		Name: "orders", Instance: entity.InstanceID(id), Term: 10 * time.Second, RenewEvery: 3 * time.Second,
		MaxOrderDuration: testLongestOrder, MaxClockDrift: 2 * clockRateError,
	})
	if err != nil {
		panic(err)
	}
	n := &leaseNode{process: newProcess(w.sim, entity.InstanceID(id), i), w: w, l: l}
	l.Campaign(n.clock(), i)
	n.every(100*time.Millisecond, func() {
		l.Tick(n.clock())
		n.serve()
		n.write(true)
		n.write(false)
	})
	return n
}

func (n *leaseNode) serve() {
	r := n.l.Ready()
	if r.Append != nil {
		n.w.log.append(n.process, lease.DefaultStream, r.Append.Data, func(st stream.AppendStatus, _ platform.Offset) {
			n.l.AppendResult(n.clock(), r.Append.ID, st)
			n.serve()
		})
	}
	if r.Read != nil {
		n.w.log.read(n.process, r.Read, func(rs []platform.Record, first, next platform.Offset) {
			n.l.ApplyRecords(n.clock(), rs, first, next)
			n.serve()
		}, func(err error) {
			n.l.ReadFailed(n.clock(), err)
			n.serve()
		})
	}
}

// write sends an order: the check and the sending are one step.
func (n *leaseNode) write(checks bool) {
	fence, ok := n.l.MayWrite(n.clock(), checks)
	if !ok {
		return
	}
	w := n.w
	if checks {
		w.after(w.between(0, testLongestOrder), func() { w.fenced(n, fence) })
		return
	}
	w.unfenced(n)
}

// fenced is an order that reaches the endpoint that checks.
func (w *leaseWorld) fenced(n *leaseNode, fence platform.Offset) {
	if fence < w.highest {
		w.refused++
		return
	}
	if w.last != n.id && w.last != "" {
		if fence == w.highest {
			w.t.Errorf("seed %d: %s and %s write under fence %d", w.seed, w.last, n.id, fence)
		}
		w.changes++
	}
	w.highest, w.last = fence, n.id
	w.writes[n.id]++
}

// unfenced is an order to the endpoint that ignores fences: it is under way
// for up to LongestOrder.
func (w *leaseWorld) unfenced(n *leaseNode) {
	for id, orders := range w.busy {
		if orders > 0 && id != n.id {
			w.t.Errorf("seed %d: at %v %s writes while an order of %s is under way", w.seed, w.now.Sub(epoch), n.id, id)
		}
	}
	w.busy[n.id]++
	w.after(w.between(0, testLongestOrder), func() { w.busy[n.id]-- })
}

func (w *leaseWorld) kill(i int) {
	w.nodes[i].dead = true
	w.nodes[i] = w.newNode(string(w.nodes[i].id)+"+", i)
}

// resign is a planned stop: the successor need not wait out the lease.
func (w *leaseWorld) resign(i int) {
	n := w.nodes[i]
	n.do(func() {
		n.l.Resign(n.clock())
		n.later(30*time.Second, func() { n.l.Campaign(n.clock(), i) })
	})
}

func (w *leaseWorld) processes() []*process {
	var ps []*process
	for _, n := range w.nodes {
		ps = append(ps, n.process)
	}
	return ps
}

func (w *leaseWorld) holders() (held []entity.InstanceID) {
	for _, n := range w.nodes {
		if _, ok := n.l.StillHeld(n.clock()); ok && !n.dead {
			held = append(held, n.id)
		}
	}
	return held
}

func TestLeaseHoldersNeverOverlapUnderFaults(t *testing.T) {
	changes, refused, faults := 0, 0, faultCounts{}
	forEachSeed(t, func(t *testing.T, seed int64) {
		w := newLeaseWorld(t, seed)
		w.log.plan(3+w.rng.Intn(6), scheduleFor, faults, w.processes, w.kill)
		w.after(w.between(0, scheduleFor), func() { w.resign(w.rng.Intn(3)) })
		w.runUntil(epoch.Add(scheduleFor + quietFor))
		if h := w.holders(); len(h) != 1 {
			t.Errorf("seed %d: held by %v after all faults are over", seed, h)
		}
		changes += w.changes
		refused += w.refused
	})
	if changes == 0 || refused == 0 {
		t.Errorf("the schedules show too little: %d changes of holder, %d orders refused by their fence", changes, refused)
	}
	t.Logf("%d schedules, faults %v, %d changes of holder, %d orders refused by their fence", *schedules, faults, changes, refused)
}

// A holder that stands still past its lease writes nothing when it goes on.
func TestPausedHolderWritesNothing(t *testing.T) {
	w := newLeaseWorld(t, *firstSeed)
	w.runUntil(epoch.Add(20 * time.Second))
	held := w.holders()
	if len(held) != 1 {
		t.Fatalf("held by %v", held)
	}
	var old *leaseNode
	for _, n := range w.nodes {
		if n.id == held[0] {
			old = n
		}
	}
	old.freeze(60 * time.Second)
	w.runUntil(epoch.Add(79 * time.Second))
	before := w.writes[old.id]
	w.runUntil(epoch.Add(100 * time.Second))
	if now := w.holders(); len(now) != 1 || now[0] == old.id {
		t.Errorf("held by %v, by %s before", now, old.id)
	}
	if w.writes[old.id] != before {
		t.Errorf("%s wrote %d times after its pause", old.id, w.writes[old.id]-before)
	}
}

// A planned stop hands over well before the term is over.
func TestResignedLeaseIsTakenWithoutWaiting(t *testing.T) {
	w := newLeaseWorld(t, *firstSeed)
	w.runUntil(epoch.Add(20 * time.Second))
	held := w.holders()
	for i, n := range w.nodes {
		if len(held) == 1 && n.id == held[0] {
			w.resign(i)
		}
	}
	w.runUntil(epoch.Add(26 * time.Second))
	if now := w.holders(); len(now) != 1 || now[0] == held[0] {
		t.Errorf("held by %v, by %v before", now, held)
	}
}
