package intake

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/backlog"
)

const (
	// admitPatience is how long a new connection waits until others can be let go, looked at each admitInterval.
	admitPatience = 300 * time.Millisecond
	admitInterval = 10 * time.Millisecond
	// evictionDivisor sets how many connections are let go at a time, as a fraction of all: the choice looks at all.
	evictionDivisor = 32
)

// claim is how good a claim a connection has to stay in a room that is full.
type claim uint8

const (
	// claimNone: the client has been served nothing and owes a whole request.
	claimNone claim = iota
	// claimServed: the client owes a whole request, and was served before.
	claimServed
	// claimSlow: the client does not read its answer, which it would lose.
	claimSlow
	// claimRunning: a request runs. The connection stays.
	claimRunning
)

// member is a connection in a room.
type member interface {
	// claim returns the claim of the connection, and since when the client has kept it waiting.
	claim() (c claim, since time.Time)
	// evict lets the client go.
	evict()
}

// room keeps the connections of a listener. It is safe for concurrent use.
type room struct {
	// size is the number of connections that may be open, 0 for any.
	size int

	mu      sync.Mutex
	members map[member]struct{}
}

func newRoom(size int) *room { return &room{size: size, members: make(map[member]struct{})} }

// admit adds a connection. It lets others go for it, and returns false if it finds none for a while.
func (r *room) admit(m member) bool {
	for end := time.Now().Add(admitPatience); !r.add(m); time.Sleep(admitInterval) {
		now := time.Now()
		for _, waiting := range r.longestWaiting(now) {
			go waiting.evict()
		}
		if now.After(end) {
			return r.add(m)
		}
	}
	return true
}

// add adds a connection if there is room for it.
func (r *room) add(m member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size > 0 && len(r.members) >= r.size {
		return false
	}
	r.members[m] = struct{}{}
	return true
}

// remove removes a connection.
func (r *room) remove(m member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.members, m)
}

// longestWaiting returns the connections to let go for new ones: of those with the least claim, the ones whose clients
// have kept them waiting for longest, and for patience at least.
func (r *room) longestWaiting(now time.Time) []member {
	type candidate struct {
		member
		since time.Time
	}
	var list []candidate
	least := claimRunning
	for _, m := range r.list() {
		c, since := m.claim()
		if c < least {
			least, list = c, list[:0]
		}
		if c == least && now.Sub(since) >= patience(c) {
			list = append(list, candidate{m, since})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return a.since.Compare(b.since) })
	var out []member
	for _, k := range list[:min(len(list), 1+r.size/evictionDivisor)] {
		out = append(out, k.member)
	}
	return out
}

// patience returns how long a client may keep a connection of a claim waiting before it may be let go.
func patience(c claim) time.Duration {
	switch c {
	case claimNone, claimServed:
		return backlog.MinUnfinished
	case claimSlow:
		return backlog.MinSlow
	}
	return math.MaxInt64
}

// list returns the open connections.
func (r *room) list() []member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]member, 0, len(r.members))
	for m := range r.members {
		out = append(out, m)
	}
	return out
}

// claim implements member.
func (c *Conn) claim() (claim, time.Time) {
	if !c.mu.TryLock() {
		return claimRunning, time.Now() // bytes have just arrived, or it is being refused
	}
	defer c.mu.Unlock()
	switch {
	case c.phase < phaseWhole && c.served:
		return claimServed, c.since
	case c.phase < phaseWhole:
		return claimNone, c.since
	case !c.writingSince.IsZero():
		return claimSlow, c.writingSince
	}
	return claimRunning, time.Now()
}

// evict implements member. It does nothing if a request runs by now.
func (c *Conn) evict() {
	if c.refuseUnfinished(noConnection) || c.isUnread() {
		c.holding.LetGo(CauseConnections)
	}
}

// refuseUnfinished refuses the request unless it is whole, and reports whether it did.
func (c *Conn) refuseUnfinished(r refusal) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase >= phaseWhole {
		return false
	}
	_ = c.refuse(r, evictionWriteTimeout)
	c.listener.opts.letGo(r)
	return true
}

// isUnread reports whether the client has kept a write waiting for long.
func (c *Conn) isUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writingSince.IsZero() && time.Since(c.writingSince) >= backlog.MinSlow
}
