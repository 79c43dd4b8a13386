package fleet

import (
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
	// lastHop keeps messages of one connection in order.
	lastHop map[peerPair]time.Time
	// loss and late are shares of the messages.
	loss, late float64
}

func newNetwork() *network {
	return &network{cuts: make(map[zonePair]int), silent: make(map[peerPair]bool), lastHop: make(map[peerPair]time.Time)}
}

func (n *network) cut(a, b entity.ZoneID, by int) {
	n.cuts[zonePair{a, b}] += by
	n.cuts[zonePair{b, a}] += by
}

func (n *network) reaches(a, b entity.ZoneID) bool { return n.cuts[zonePair{a, b}] == 0 }

// send carries a message between instances as package peer does: at least
// once if it can be delivered, twice at most, and a word to the sender if not.
func (f *Fleet) send(from *instance, out node.Outgoing) { f.attempt(from, out, 1) }

func (f *Fleet) attempt(from *instance, out node.Outgoing, n int) {
	f.sent++
	to := f.byID[out.To]
	pair := peerPair{from.id, out.To}
	sentAt := f.now
	if to == nil || to.state == stateDead && f.net.reaches(from.zone, to.zone) {
		f.after(f.between(minHop, maxHop), func() { f.undelivered(from, out, n) })
		return
	}
	lost := f.net.silent[pair] || f.chance(f.net.loss)
	ackLost := f.net.silent[peerPair{out.To, from.id}] || f.chance(f.net.loss)
	acked := false
	if !lost {
		f.at(f.arrival(pair), func() {
			if !f.net.reaches(from.zone, to.zone) || to.state == stateDead {
				return
			}
			to.do(func() { f.deliver(from, to, sentAt, out.Msg) })
			acked = !ackLost && to.state == stateLive
		})
	}
	f.after(exchangeTimeout, func() {
		if !acked {
			f.condemn(from, out, n)
		}
	})
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

// condemn gives a connection up that made no progress.
func (f *Fleet) condemn(from *instance, out node.Outgoing, n int) {
	delete(f.net.silent, peerPair{from.id, out.To})
	from.post(node.PeerLost{Peer: out.To})
	f.undelivered(from, out, n)
}

func (f *Fleet) undelivered(from *instance, out node.Outgoing, n int) {
	if n < maxAttempts {
		f.attempt(from, out, n+1)
		return
	}
	from.post(node.PeerFailed{To: out.To, Msg: out.Msg})
}

func (f *Fleet) deliver(from, to *instance, sentAt time.Time, msg any) {
	if r, ok := msg.(entity.Reservation); ok {
		// The deadline travels as a remaining time.
		r.Work.Deadline = f.now.Add(r.Work.Deadline.Sub(sentAt))
		msg = r
	}
	f.tracef("%s <- %s %T%+v", to.id, from.id, msg, msg)
	to.step(node.FromPeer{From: from.id, Msg: msg})
}
