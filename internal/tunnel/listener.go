package tunnel

import (
	"context"
	"net"
	"time"

	"github.com/medlarhold/medlarhold/internal/accept"
)

// firstByteTimeout is how long an accepted connection may take to send its first byte.
const firstByteTimeout = 2 * time.Second

// Listener accepts the connections of a port that tunnels and other connections share. It gives
// tunnels to a Server, and returns the others from Accept.
type Listener struct {
	net.Listener
	ctx      context.Context
	server   *Server
	accepted chan net.Conn
	failed   chan error
}

// Split returns a Listener that takes over l until ctx ends.
func Split(ctx context.Context, l net.Listener, s *Server) *Listener {
	out := &Listener{Listener: l, ctx: ctx, server: s, accepted: make(chan net.Conn), failed: make(chan error, 1)}
	go out.run()
	return out
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case err := <-l.failed:
		l.failed <- err
		return nil, err
	}
}

// run accepts connections until the listener fails.
func (l *Listener) run() {
	for {
		conn, err := accept.Next(l.ctx, l.Listener)
		if err != nil {
			l.failed <- err
			return
		}
		go l.sort(conn)
	}
}

// sort reads the first byte of a connection and passes it on.
func (l *Listener) sort(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(firstByteTimeout)) // fails only for a closed connection
	first, err := byteReader{conn}.ReadByte()
	if err != nil {
		conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	if first == firstByte {
		l.server.Serve(l.ctx, conn)
		return
	}
	select {
	case l.accepted <- &prefixedConn{Conn: conn, first: []byte{first}}:
	case <-l.ctx.Done():
		conn.Close()
	}
}

// prefixedConn is a connection whose first byte has been read already.
type prefixedConn struct {
	net.Conn
	first []byte
}

// NetConn returns the connection itself.
func (c *prefixedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *prefixedConn) Read(p []byte) (int, error) {
	if len(c.first) > 0 && len(p) > 0 {
		p[0], c.first = c.first[0], nil
		return 1, nil
	}
	return c.Conn.Read(p)
}
