package edge

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// defaultHeaderTimeout is how long a caller may take for a header where the
	// configuration names no time.
	defaultHeaderTimeout = 10 * time.Second
	// refusalWriteTimeout bounds the writing of an answer to a caller that was too slow.
	refusalWriteTimeout = time.Second
)

// slowHeaderMessage says why a caller is refused whose header did not come in time;
// slowHeaderAnswer is what it is sent.
const slowHeaderMessage = "the header came too slowly"

var slowHeaderResponse = fmt.Appendf(nil, "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain; charset=utf-8\r\n"+
	"Content-Length: %d\r\nConnection: close\r\n\r\n%s\n", len(slowHeaderMessage)+len("\n"), slowHeaderMessage)

var headerEnd = []byte("\r\n\r\n")

// listener accepts callers' connections and answers those who take too long to
// send a header, which the HTTP server would only cut off.
type listener struct {
	net.Listener
	server *Server
}

// WrapListener wraps the listener from which an HTTP server takes callers, and has
// that server tell what becomes of their connections.
func (s *Server) WrapListener(l net.Listener, h *http.Server) net.Listener {
	h.ConnState = connState
	return &listener{Listener: l, server: s}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, server: l.server, awaitingHeader: true}, nil
}

// connState is the ConnState hook of the HTTP server.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok {
		c.setState(state)
	}
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// awaitingHeader is set from one answer's end until the next header is complete.
	awaitingHeader bool
	// headerTimer runs while a part of a header has come.
	headerTimer *time.Timer
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.onRead(b[:n])
	}
	return n, err
}

// onRead starts the clock with the first part of a header.
func (c *callerConn) onRead(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaitingHeader || c.headerTimer != nil || bytes.Contains(b, headerEnd) {
		return
	}
	c.headerTimer = time.AfterFunc(c.server.headerTimeout(), c.headerTimedOut)
}

// setState stops the clock when a request is complete or the connection is over.
func (c *callerConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingHeader = state == http.StateNew || state == http.StateIdle
	if !c.awaitingHeader && c.headerTimer != nil {
		c.headerTimer.Stop()
		c.headerTimer = nil
	}
}

// headerTimedOut ends a connection whose header did not come in time.
func (c *callerConn) headerTimedOut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaitingHeader || c.headerTimer == nil {
		return
	}
	c.awaitingHeader = false
	c.server.recordSlowHeader(c.RemoteAddr())
	// A caller that reads nothing either is closed all the same.
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = c.Write(slowHeaderResponse)
	_ = c.Close()
}

// headerTimeout is how long a caller may take for a header, from its first byte on.
func (s *Server) headerTimeout() time.Duration {
	if config := s.opts.Scheduler.Config(); config != nil && config.Bounds.HeaderTimeout > 0 {
		return config.Bounds.HeaderTimeout
	}
	return defaultHeaderTimeout
}

// recordSlowHeader counts and logs a caller that was too slow.
func (s *Server) recordSlowHeader(from net.Addr) {
	s.opts.Metrics.Refused(verdict.ReasonRequestTimeout, verdict.NotRun)
	telemetry.Log(s.opts.Log, telemetry.EventCallEnded, "request", "", "from", from.String(),
		"verdict", verdict.NotRun, "reason", verdict.ReasonRequestTimeout, "why", slowHeaderMessage)
}
