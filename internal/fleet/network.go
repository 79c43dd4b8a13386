package fleet

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/node"
)

const (
	// exchangeTimeout is when an exchange without an answer is given up.
	exchangeTimeout = time.Second
	// maxAttempts is how often a message is sent, as in package peer.
	maxAttempts = 2
	minHop      = 200 * time.Microsecond
	maxHop      = time.Millisecond
	// lateHop bounds the delay of a message that is held up on its way.
	lateHop = 120 * time.Millisecond
)

// platformZone stands for the platform's place in the network.
const platformZone entity.ZoneID = "platform"

type zonePair struct{ a, b entity.ZoneID }

type peerPair struct{ from, to entity.InstanceID }

// network says who reaches whom.
type network struct {
	// cuts counts the cuts that hold between two places.
	cuts map[zonePair]int
	// silent are connections between instances that lost their way; a fresh
	// connection works.
	silent map[peerPair]bool
	conns  map[peerPair]*conn
	// lastHop keeps messages of one connection in order.
	lastHop map[peerPair]time.Time
	// loss and late are shares of the messages.
	loss, late float64
}

func newNetwork() *network {
	return &network{cuts: make(map[zonePair]int), silent: make(map[peerPair]bool), conns: make(map[peerPair]*conn), lastHop: make(map[peerPair]time.Time)}
}

func (n *network) cut(a, b entity.ZoneID, by int) {
	n.cuts[zonePair{a, b}] += by
	n.cuts[zonePair{b, a}] += by
}

func (n *network) reaches(a, b entity.ZoneID) bool { return n.cuts[zonePair{a, b}] == 0 }

// conn is a connection between two instances, from dialling on. It is
// condemned as a whole by the first exchange that makes no progress.
type conn struct {
	from    *instance
	pair    peerPair
	proven  bool // something was acknowledged over it
	lost    bool
	waiting []*exchange
}

// exchange is one sending of a message.
type exchange struct {
	out     node.Outgoing
	attempt int
	done    bool
}

// send carries a message between instances as package peer does: at least
// once if it can be delivered, twice at most, and a word to the sender if not.
func (f *Fleet) send(from *instance, out node.Outgoing) { f.attempt(from, out, 1) }

func (f *Fleet) attempt(from *instance, out node.Outgoing, n int) {
	f.sent++
	to := f.byID[out.To]
	pair := peerPair{from.id, out.To}
	x := &exchange{out: out, attempt: n}
	if to == nil || to.state == stateDead && f.net.reaches(from.zone, to.zone) {
		f.after(f.between(minHop, maxHop), func() {
			if c := f.net.conns[pair]; c != nil {
				f.condemn(c)
			}
			f.undelivered(from, x)
		})
		return
	}
	c := f.net.conns[pair]
	if c == nil {
		c = &conn{from: from, pair: pair}
		f.net.conns[pair] = c
	}
	c.add(x)
	f.exchange(c, to, x)
	f.after(exchangeTimeout, func() {
		if !x.done {
			f.condemn(c)
		}
	})
}

// exchange has a message arrive, if the network lets it, and its
// acknowledgement return.
func (f *Fleet) exchange(c *conn, to *instance, x *exchange) {
	lost := f.net.silent[c.pair] || f.chance(f.net.loss)
	ackLost := f.net.silent[peerPair{c.pair.to, c.pair.from}] || f.chance(f.net.loss)
	if lost {
		return
	}
	sentAt := f.now
	f.at(f.arrival(c.pair), func() {
		if !f.net.reaches(c.from.zone, to.zone) || to.state == stateDead {
			return
		}
		to.do(func() { f.deliver(c.from, to, sentAt, x.out.Msg) })
		if !ackLost && to.state == stateLive && !c.lost {
			x.done, c.proven = true, true
		}
	})
}

// add notes an exchange and forgets those that are over.
func (c *conn) add(x *exchange) {
	c.waiting = append(slices.DeleteFunc(c.waiting, func(x *exchange) bool { return x.done }), x)
}

// arrival returns when a message arrives; messages of a connection keep their
// order, but for some that belong to another one.
func (f *Fleet) arrival(pair peerPair) time.Time {
	at := f.now.Add(f.between(minHop, maxHop))
	if f.chance(f.net.late) {
		return at.Add(f.between(0, lateHop))
	}
	if last := f.net.lastHop[pair]; at.Before(last) {
		at = last
	}
	f.net.lastHop[pair] = at
	return at
}

// condemn gives a connection up that made no progress, with all that waits on it.
func (f *Fleet) condemn(c *conn) {
	if c.lost {
		return
	}
	c.lost = true
	delete(f.net.conns, c.pair)
	delete(f.net.silent, c.pair)
	if c.proven {
		c.from.post(node.PeerDisconnected{Peer: c.pair.to})
	}
	for _, x := range c.waiting {
		if !x.done {
			f.undelivered(c.from, x)
		}
	}
}

// undelivered sends a message again over a fresh connection, or gives it up.
func (f *Fleet) undelivered(from *instance, x *exchange) {
	x.done = true
	if x.attempt < maxAttempts {
		f.attempt(from, x.out, x.attempt+1)
		return
	}
	from.post(node.SendFailed{To: x.out.To, Msg: x.out.Msg})
}

func (f *Fleet) deliver(from, to *instance, sentAt time.Time, msg any) {
	if r, ok := msg.(entity.Reservation); ok {
		// The deadline travels as a remaining time.
		r.Work.Deadline = f.now.Add(r.Work.Deadline.Sub(sentAt))
		msg = r
	}
	if f.trace != nil {
		f.tracef("%s <- %s %T%+v", to.id, from.id, msg, msg)
	}
	to.step(node.FromPeer{From: from.id, Msg: msg})
}
