package measure

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/admission"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	corenode "github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/core/routing"
)

// membershipDelay is the time after which the other instances act on the end of an
// instance.
const membershipDelay = time.Second

// cluster is the policy that runs the decision core: all instances, and the messages
// between them.
type cluster struct {
	run   *run
	nodes map[entity.InstanceID]*node
	order []*node
	sent  int
}

// newCluster returns a cluster whose instances use the given settings.
func newCluster(r *run, as admission.Settings, rs routing.Settings) policy {
	c := &cluster{run: r, nodes: make(map[entity.InstanceID]*node)}
	for i := range instances {
		n := newNode(c, i, as, rs)
		c.nodes[n.id] = n
		c.order = append(c.order, n)
	}
	for _, n := range c.order {
		c.configure(n)
	}
	c.subscribe()
	return c
}

// subscribe delivers the cache events and load reports of the endpoints to their owners,
// and schedules the ticks.
func (c *cluster) subscribe() {
	for _, e := range c.run.engines {
		e.onEvent = func(ev entity.CacheEvent) {
			o := c.nodes[c.ownerOf(&e.row)]
			c.step(o, func(a *admission.Owner, now time.Time) { a.HandleCacheEvent(now, ev) })
		}
	}
	c.run.clock.every(admission.TickInterval, func() {
		for _, n := range c.order {
			c.step(n, func(o *admission.Owner, now time.Time) { o.Tick(now) })
		}
	})
	c.run.clock.every(corenode.TickInterval, func() {
		for _, n := range c.order {
			n.step(func(e *request.Entry, now time.Time) { e.Tick(now) })
		}
	})
	c.run.clock.every(reportInterval, c.report)
}

// report sends the endpoints' load reports to their owners.
func (c *cluster) report() {
	for i := range c.run.rows {
		row := &c.run.rows[i]
		rep := entity.LoadReport{Endpoint: row.ID, At: c.run.clock.now, Running: c.run.endpoints[row.ID].load()}
		lag := reportLag
		if c.run.condition == StaleLoad {
			lag = staleLag
		}
		c.run.clock.after(lag, func() {
			c.step(c.nodes[c.ownerOf(row)], func(o *admission.Owner, now time.Time) { o.HandleLoadReport(now, rep) })
		})
	}
}

// ownerOf returns the instance that owns the endpoint, chosen by rendezvous hash among
// the live instances of its zone, or "" if there is none.
func (c *cluster) ownerOf(row *entity.Endpoint) entity.InstanceID {
	var best entity.InstanceID
	var maxHash uint64
	for _, n := range c.order {
		if n.zone != row.Zone || n.dead() {
			continue
		}
		if h := xxhash.Sum64String(string(n.id) + "/" + string(row.ID)); h >= maxHash {
			best, maxHash = n.id, h
		}
	}
	return best
}

// configure passes the owners of all endpoints to n's router, and the endpoints that n
// owns to its admission.Owner.
func (c *cluster) configure(n *node) {
	var mine []entity.Endpoint
	pools := make(map[entity.PoolID][]routing.OwnedEndpoint)
	for i := range c.run.rows {
		row := &c.run.rows[i]
		owner := c.ownerOf(row)
		pools[row.Pool] = append(pools[row.Pool], routing.OwnedEndpoint{Endpoint: *row, Owner: owner})
		if owner == n.id {
			mine = append(mine, *row)
		}
	}
	for id, rows := range pools {
		n.router.SetPool(id, rows)
	}
	c.step(n, func(o *admission.Owner, now time.Time) { o.SetEndpoints(now, mine) })
}

// toOwner sends a message to an owner and steps it.
func (c *cluster) toOwner(from *node, to entity.InstanceID, fn func(*admission.Owner, time.Time)) {
	c.deliver(from.id, to, func() { c.step(c.nodes[to], fn) })
}

// deliver runs fn at an instance after the network delay, or without delay if the sender
// is the same instance.
func (c *cluster) deliver(from, to entity.InstanceID, fn func()) {
	if from == to {
		c.run.clock.after(0, fn)
		return
	}
	c.sent++
	c.run.clock.after(netDelay, fn)
}

// step calls fn with n's owner and sends the resulting decisions to the entries. It does
// nothing if n is nil or dead.
func (c *cluster) step(n *node, fn func(*admission.Owner, time.Time)) {
	if n == nil || n.dead() {
		return
	}
	fn(n.owner, c.run.clock.now)
	ready := n.owner.Ready()
	for _, g := range ready.Grants {
		c.toEntry(n, g.To, func(e *node) { e.step(func(e *request.Entry, now time.Time) { e.HandleGrant(now, n.id, g.Grant) }) })
	}
	for _, p := range ready.Preemptions {
		c.toEntry(n, p.To, func(e *node) {
			e.step(func(e *request.Entry, now time.Time) { e.HandlePreemption(now, n.id, p.Preemption) })
		})
	}
	for _, f := range ready.Refusals {
		c.toEntry(n, f.To, func(e *node) { e.step(func(e *request.Entry, now time.Time) { e.HandleRefusal(now, n.id, f.Refusal) }) })
	}
}

// toEntry runs fn at an entry instance after the network delay, unless it is dead then.
func (c *cluster) toEntry(from *node, to entity.InstanceID, fn func(*node)) {
	c.deliver(from.id, to, func() {
		if e := c.nodes[to]; !e.dead() {
			fn(e)
		}
	})
}

func (c *cluster) submit(r *requestState) { c.order[r.arrival.entry].submit(r) }

func (c *cluster) requestCancelled(r *requestState) {
	n := c.order[r.arrival.entry]
	if f := n.inFlight[r.arrival.work.ID]; f != nil {
		n.requestCancelled(f)
	}
}

// instanceKilled assigns the dead instance's endpoints to new owners, and reports to
// these owners which slots the entries hold there.
func (c *cluster) instanceKilled(instance int, _ []*requestState) {
	dead := instanceID(instance)
	c.run.clock.after(membershipDelay, func() {
		for _, n := range c.order {
			if n.dead() {
				continue
			}
			c.configure(n)
			c.step(n, func(o *admission.Owner, now time.Time) { o.EntryLost(now, dead) })
		}
		for _, n := range c.order {
			if !n.dead() {
				n.reportHeldSlots(dead)
			}
		}
	})
}

// reportHeldSlots reports the slots that n holds on the dead owner's endpoints to the new
// owners. Requests of n that wait for a slot of the dead owner go to another owner.
func (n *node) reportHeldSlots(dead entity.InstanceID) {
	n.step(func(e *request.Entry, now time.Time) { e.OwnerLost(now, dead) })
	for i := range n.cluster.run.rows {
		row := &n.cluster.run.rows[i]
		owner := n.cluster.ownerOf(row)
		var held []entity.HeldSlot
		n.step(func(e *request.Entry, now time.Time) { held = e.OwnerChanged(now, row.ID, owner) })
		if len(held) > 0 {
			n.cluster.toOwner(n, owner, func(o *admission.Owner, now time.Time) { o.HandleHeldSlots(now, held) })
		}
	}
}

func (c *cluster) row(id entity.EndpointID) *entity.Endpoint {
	i := slices.IndexFunc(c.run.rows, func(e entity.Endpoint) bool { return e.ID == id })
	return &c.run.rows[i]
}

func (c *cluster) messages() int { return c.sent }
