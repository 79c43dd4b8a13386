package intake

import (
	"net"
	"sync"
	"time"
)

// peerConnBytes is what a connection of another instance takes in memory, in bytes: buffers in both directions and
// goroutines.
const peerConnBytes = 24 << 10

// Gate accepts TCP connections that have to prove something, such as a key, and keeps at most a number of those that
// have not.
type Gate struct {
	net.Listener
	account *Account
	room    *room
}

// NewGate returns a Gate of the connections that l accepts, with at most unproved of them that have proved nothing.
func NewGate(l net.Listener, a *Account, unproved int) *Gate {
	return &Gate{Listener: l, account: a, room: newRoom(unproved)}
}

// Accept implements net.Listener.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		c := &gatedConn{TCPConn: tcp, gate: g, since: time.Now()}
		c.holding = g.account.Open(func() { c.Close() })
		c.holding.Charge(peerConnBytes)
		if g.room.admit(c) {
			return c, nil
		}
		c.Close()
	}
}

// gatedConn is a connection that a Gate has accepted.
type gatedConn struct {
	*net.TCPConn
	gate    *Gate
	holding *Holding
	since   time.Time
	closing sync.Once
}

// claim implements member.
func (c *gatedConn) claim() (claim, time.Time) { return claimNone, c.since }

// evict implements member.
func (c *gatedConn) evict() { c.Close() }

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.closing.Do(func() {
		c.gate.room.remove(c)
		c.holding.Close()
	})
	return c.TCPConn.Close()
}

// Proved records that the other side of a connection has proved what a Gate asks for. It does nothing for connections
// that no Gate has accepted.
func Proved(conn net.Conn) {
	for conn != nil {
		if gated, ok := conn.(*gatedConn); ok {
			gated.gate.room.remove(gated)
			return
		}
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		conn = wrapped.NetConn()
	}
}
