package fleet

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/node"
)

const (
	// exchangeTimeout is how long an exchange waits for its acknowledgement.
	exchangeTimeout = time.Second
	// maxAttempts is how often a message is sent at most, as in package peer.
	maxAttempts = 2
	minDelay    = 200 * time.Microsecond
	maxDelay    = time.Millisecond
	// maxExtraDelay limits the additional delay of a delayed message.
	maxExtraDelay = 120 * time.Millisecond
)

// platformZone is the place of the platform's services in the network.
const platformZone entity.ZoneID = "platform"

type zonePair struct{ a, b entity.ZoneID }

type peerPair struct{ from, to entity.InstanceID }

// network holds the state of the connections between zones and between instances.
type network struct {
	// cuts counts the partitions in force between two zones, or between a zone and
	// platformZone.
	cuts map[zonePair]int
	// oneWayLoss holds the pairs whose current connection loses all messages in this
	// direction. A new connection works.
	oneWayLoss map[peerPair]bool
	conns      map[peerPair]*conn
	// lastArrival is the arrival time of the latest message of a pair. It keeps the
	// messages of one connection in order.
	lastArrival map[peerPair]time.Time
	// loss and delayed are the fractions of messages that are lost or delayed.
	loss, delayed float64
}

func newNetwork() *network {
	return &network{cuts: make(map[zonePair]int), oneWayLoss: make(map[peerPair]bool), conns: make(map[peerPair]*conn), lastArrival: make(map[peerPair]time.Time)}
}

// adjustCut changes the number of partitions between two zones, in both directions.
func (n *network) adjustCut(a, b entity.ZoneID, by int) {
	n.cuts[zonePair{a, b}] += by
	n.cuts[zonePair{b, a}] += by
}

func (n *network) reaches(a, b entity.ZoneID) bool { return n.cuts[zonePair{a, b}] == 0 }

// conn is a connection between two instances, from dialling on. The first exchange
// that times out closes it, with all other exchanges that are pending on it.
type conn struct {
	from         *instance
	pair         peerPair
	acknowledged bool // a message was acknowledged over it
	closed       bool
	pending      []*exchange
}

// exchange is one attempt to send a message.
type exchange struct {
	out     node.Outgoing
	attempt int
	done    bool
}

// send sends a message to another instance with the delivery rules of package peer:
// it makes up to maxAttempts attempts, so that a message may arrive twice, and
// reports a failure to the sender if all attempts fail.
func (f *Fleet) send(from *instance, out node.Outgoing) { f.attempt(from, out, 1) }

func (f *Fleet) attempt(from *instance, out node.Outgoing, n int) {
	f.messageCount++
	to := f.byID[out.To]
	pair := peerPair{from.id, out.To}
	x := &exchange{out: out, attempt: n}
	if to == nil || to.state == stateDead && f.net.reaches(from.zone, to.zone) {
		f.after(f.between(minDelay, maxDelay), func() {
			if c := f.net.conns[pair]; c != nil {
				f.closeConn(c)
			}
			f.retryOrFail(from, x)
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
			f.closeConn(c)
		}
	})
}

// exchange delivers a message and its acknowledgement, unless the network loses one
// of them.
func (f *Fleet) exchange(c *conn, to *instance, x *exchange) {
	lost := f.net.oneWayLoss[c.pair] || f.chance(f.net.loss)
	ackLost := f.net.oneWayLoss[peerPair{c.pair.to, c.pair.from}] || f.chance(f.net.loss)
	if lost {
		return
	}
	sentAt := f.now
	f.at(f.arrival(c.pair), func() {
		if !f.net.reaches(c.from.zone, to.zone) || to.state == stateDead {
			return
		}
		to.do(func() { f.deliver(c.from, to, sentAt, x.out.Msg) })
		if !ackLost && to.state == stateLive && !c.closed {
			x.done, c.acknowledged = true, true
		}
	})
}

// add adds a pending exchange and removes those that are done.
func (c *conn) add(x *exchange) {
	c.pending = append(slices.DeleteFunc(c.pending, func(x *exchange) bool { return x.done }), x)
}

// arrival returns when a message arrives. Messages between two instances keep their
// order, except for delayed ones, which stand for messages of another connection.
func (f *Fleet) arrival(pair peerPair) time.Time {
	at := f.now.Add(f.between(minDelay, maxDelay))
	if f.chance(f.net.delayed) {
		return at.Add(f.between(0, maxExtraDelay))
	}
	if last := f.net.lastArrival[pair]; at.Before(last) {
		at = last
	}
	f.net.lastArrival[pair] = at
	return at
}

// closeConn closes a connection that made no progress, and handles the exchanges
// pending on it as failed.
func (f *Fleet) closeConn(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	delete(f.net.conns, c.pair)
	delete(f.net.oneWayLoss, c.pair)
	if c.acknowledged {
		c.from.post(node.PeerDisconnected{Peer: c.pair.to})
	}
	for _, x := range c.pending {
		if !x.done {
			f.retryOrFail(c.from, x)
		}
	}
}

// retryOrFail sends a message again over a new connection, or after maxAttempts
// reports the failure to the sender.
func (f *Fleet) retryOrFail(from *instance, x *exchange) {
	x.done = true
	if x.attempt < maxAttempts {
		f.attempt(from, x.out, x.attempt+1)
		return
	}
	from.post(node.SendFailed{To: x.out.To, Msg: x.out.Msg})
}

func (f *Fleet) deliver(from, to *instance, sentAt time.Time, msg any) {
	if r, ok := msg.(entity.Reservation); ok {
		// The deadline is transmitted as the remaining time, so that the time on
		// the way is added to it.
		r.Work.Deadline = f.now.Add(r.Work.Deadline.Sub(sentAt))
		msg = r
	}
	if f.trace != nil {
		f.tracef("%s <- %s %T%+v", to.id, from.id, msg, msg)
	}
	to.step(node.FromPeer{From: from.id, Msg: msg})
}
