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
	testMaxOrderDuration = 2 * time.Second
	leaseRetention       = 90 * time.Second
)

// leaseCluster has three candidates for one lease and two endpoints, to which the
// holder sends orders all the time. One endpoint checks fencing numbers, the
// other doesn't.
type leaseCluster struct {
	*sim
	t              *testing.T
	seed           int64
	log            *fakeLog
	nodes          []*leaseNode
	highestFence   platform.Offset           // highest fencing number received by the endpoint that checks them
	refused        int                       // orders refused by that endpoint
	inFlightOrders map[entity.InstanceID]int // unfinished orders at the endpoint that doesn't check, by sender
	acceptedOrders map[entity.InstanceID]int // orders accepted by the endpoint that checks, by sender
	holderChanges  int
	lastSender     entity.InstanceID // sender of the latest accepted order
}

type leaseNode struct {
	*process
	cluster *leaseCluster
	l       *lease.Lease
}

func newLeaseCluster(t *testing.T, seed int64) *leaseCluster {
	s := newSim(seed)
	cl := &leaseCluster{
		sim: s, t: t, seed: seed, log: newFakeLog(newNetwork(s), leaseRetention), highestFence: -1,
		inFlightOrders: map[entity.InstanceID]int{}, acceptedOrders: map[entity.InstanceID]int{},
	}
	for i := range 3 {
		cl.nodes = append(cl.nodes, cl.newNode(fmt.Sprintf("n%d", i), i))
	}
	return cl
}

// newNode starts a candidate. Each is in its own zone of the fake network, so
// that it can be partitioned from the others and from the log individually.
func (cl *leaseCluster) newNode(id string, i int) *leaseNode {
	l, err := lease.New(lease.Settings{
		Name: "orders", Instance: entity.InstanceID(id), Term: 10 * time.Second, RenewEvery: 3 * time.Second,
		MaxOrderDuration: testMaxOrderDuration, MaxClockDrift: 2 * clockRateError,
	})
	if err != nil {
		panic(err)
	}
	n := &leaseNode{process: newProcess(cl.sim, entity.InstanceID(id), i), cluster: cl, l: l}
	l.Campaign(n.clock(), i)
	n.every(100*time.Millisecond, func() {
		l.Tick(n.clock())
		n.serve()
		n.sendOrder(true)
		n.sendOrder(false)
	})
	return n
}

func (n *leaseNode) serve() {
	r := n.l.Ready()
	if r.Append != nil {
		n.cluster.log.append(n.process, lease.DefaultStream, r.Append.Data, func(st stream.AppendStatus, _ platform.Offset) {
			n.l.HandleAppendResult(n.clock(), r.Append.ID, st)
			n.serve()
		})
	}
	if r.Read != nil {
		n.cluster.log.read(n.process, r.Read, func(rs []platform.Record, first, next platform.Offset) {
			n.l.ApplyRecords(n.clock(), rs, first, next)
			n.serve()
		}, func(err error) {
			n.l.ReadFailed(n.clock(), err)
			n.serve()
		})
	}
}

// sendOrder sends an order, if the lease allows it, to the endpoint that checks
// fencing numbers or to the one that doesn't. No time passes between the check of
// the lease and the sending.
func (n *leaseNode) sendOrder(checks bool) {
	fence, ok := n.l.MaySendOrder(n.clock(), checks)
	if !ok {
		return
	}
	cl := n.cluster
	if checks {
		cl.after(cl.between(0, testMaxOrderDuration), func() { cl.receiveFenced(n, fence) })
		return
	}
	cl.receiveUnfenced(n)
}

// receiveFenced handles an order at the endpoint that checks fencing numbers.
func (cl *leaseCluster) receiveFenced(n *leaseNode, fence platform.Offset) {
	if fence < cl.highestFence {
		cl.refused++
		return
	}
	if cl.lastSender != n.id && cl.lastSender != "" {
		if fence == cl.highestFence {
			cl.t.Errorf("seed %d: %s and %s both send orders with fencing number %d", cl.seed, cl.lastSender, n.id, fence)
		}
		cl.holderChanges++
	}
	cl.highestFence, cl.lastSender = fence, n.id
	cl.acceptedOrders[n.id]++
}

// receiveUnfenced handles an order at the endpoint that ignores fencing numbers.
// The order takes up to testMaxOrderDuration.
func (cl *leaseCluster) receiveUnfenced(n *leaseNode) {
	for id, orders := range cl.inFlightOrders {
		if orders > 0 && id != n.id {
			cl.t.Errorf("seed %d: at %v %s sends an order while one of %s is unfinished", cl.seed, cl.now.Sub(epoch), n.id, id)
		}
	}
	cl.inFlightOrders[n.id]++
	cl.after(cl.between(0, testMaxOrderDuration), func() { cl.inFlightOrders[n.id]-- })
}

func (cl *leaseCluster) kill(i int) {
	cl.nodes[i].dead = true
	cl.nodes[i] = cl.newNode(string(cl.nodes[i].id)+"+", i)
}

// resign makes a node give up the lease as before a planned stop, so that its
// successor need not wait until the lease expires. The node campaigns again after 30 s.
func (cl *leaseCluster) resign(i int) {
	n := cl.nodes[i]
	n.do(func() {
		n.l.Resign(n.clock())
		n.later(30*time.Second, func() { n.l.Campaign(n.clock(), i) })
	})
}

func (cl *leaseCluster) processes() []*process {
	var ps []*process
	for _, n := range cl.nodes {
		ps = append(ps, n.process)
	}
	return ps
}

func (cl *leaseCluster) holders() (held []entity.InstanceID) {
	for _, n := range cl.nodes {
		if _, ok := n.l.StillHeld(n.clock()); ok && !n.dead {
			held = append(held, n.id)
		}
	}
	return held
}

// Under faults, the endpoint that ignores fencing numbers never has orders of two
// holders at a time, the one that checks them never accepts one number from two
// holders, and one instance holds the lease once the faults are over.
func TestLeaseHoldersNeverOverlapUnderFaults(t *testing.T) {
	changes, refused, faults := 0, 0, faultCounts{}
	forEachSeed(t, func(t *testing.T, seed int64) {
		cl := newLeaseCluster(t, seed)
		cl.log.planFaults(3+cl.rng.Intn(6), scheduleDuration, faults, cl.processes, cl.kill)
		cl.after(cl.between(0, scheduleDuration), func() { cl.resign(cl.rng.Intn(3)) })
		cl.runUntil(epoch.Add(scheduleDuration + recoveryDuration))
		if h := cl.holders(); len(h) != 1 {
			t.Errorf("seed %d: got lease holders %v after all faults are over, want one", seed, h)
		}
		changes += cl.holderChanges
		refused += cl.refused
	})
	if changes == 0 || refused == 0 {
		t.Errorf("the schedules miss a case: got %d changes of holder, %d orders refused by fencing number; want some of both",
			changes, refused)
	}
	t.Logf("%d schedules, faults %v, %d changes of holder, %d orders refused by fencing number", *schedules, faults, changes, refused)
}

// A holder whose process is frozen until its lease has expired must not send
// orders when it resumes.
func TestFrozenHolderSendsNoOrders(t *testing.T) {
	cl := newLeaseCluster(t, *firstSeed)
	cl.runUntil(epoch.Add(20 * time.Second))
	held := cl.holders()
	if len(held) != 1 {
		t.Fatalf("got lease holders %v, want one", held)
	}
	var old *leaseNode
	for _, n := range cl.nodes {
		if n.id == held[0] {
			old = n
		}
	}
	old.freeze(60 * time.Second)
	cl.runUntil(epoch.Add(79 * time.Second))
	before := cl.acceptedOrders[old.id]
	cl.runUntil(epoch.Add(100 * time.Second))
	if now := cl.holders(); len(now) != 1 || now[0] == old.id {
		t.Errorf("got lease holders %v, want one other than the frozen %s", now, old.id)
	}
	if cl.acceptedOrders[old.id] != before {
		t.Errorf("%d orders of %s were accepted after its freeze, want none", cl.acceptedOrders[old.id]-before, old.id)
	}
}

// After a planned stop the successor takes the lease well before its term ends.
func TestResignedLeaseIsTakenWithoutWaiting(t *testing.T) {
	cl := newLeaseCluster(t, *firstSeed)
	cl.runUntil(epoch.Add(20 * time.Second))
	held := cl.holders()
	for i, n := range cl.nodes {
		if len(held) == 1 && n.id == held[0] {
			cl.resign(i)
		}
	}
	cl.runUntil(epoch.Add(26 * time.Second))
	if now := cl.holders(); len(now) != 1 || now[0] == held[0] {
		t.Errorf("got lease holders %v, want one other than the resigned %v", now, held)
	}
}
