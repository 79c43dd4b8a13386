package edge

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// defaultHeaderTimeout is how long a caller may take to send a request header if
	// the configuration sets no time.
	defaultHeaderTimeout = 10 * time.Second
	// refusalWriteTimeout bounds the time for writing the 408 response to a caller
	// whose header came too slowly.
	refusalWriteTimeout = time.Second
)

// slowHeaderMessage is the error message for a header that did not arrive in time;
// slowHeaderResponse is the complete response with that message.
const slowHeaderMessage = "the header came too slowly"

var slowHeaderResponse = fmt.Appendf(nil, "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain; charset=utf-8\r\n"+
	"Content-Length: %d\r\nConnection: close\r\n\r\n%s\n", len(slowHeaderMessage)+len("\n"), slowHeaderMessage)

// listener accepts callers' connections and sends status 408 to callers that take too
// long to send a header. The HTTP server's own timeout would close the connection
// without a response.
type listener struct {
	net.Listener
	server *Server
}

// WrapListener returns a listener that enforces the header timeout on connections
// accepted from l. It sets h.ConnState and h.ConnContext; h must serve from the returned listener.
func (s *Server) WrapListener(l net.Listener, h *http.Server) net.Listener {
	h.ConnState = connState
	h.ConnContext = connContext
	return &listener{Listener: l, server: s}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limitUnsent(conn)
	return &callerConn{Conn: conn, server: l.server, header: headerWait{awaited: true}}, nil
}

// connState is the ConnState hook of the HTTP server. It passes the new state to the connection.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok {
		c.setState(state)
	}
}

// callerConn is a caller's connection whose header timeout is enforced.
type callerConn struct {
	net.Conn
	server *Server

	mu     sync.Mutex
	header headerWait
	// aborted is set once no write is to be completed any more.
	aborted atomic.Bool
}

// Write implements net.Conn. The write deadline bounds how long the caller may read nothing: it is
// extended while the caller reads.
func (c *callerConn) Write(b []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n == 0 || c.aborted.Load() {
			// The HTTP server closes the connection next: what the kernel holds is freed at once.
			setLinger(c, lingerReset)
			return written, err
		}
		// The error is ignored: the next write shows it.
		_ = c.SetWriteDeadline(time.Now().Add(c.server.opts.WriteTimeout))
	}
}

// SetWriteDeadline implements net.Conn. It has no effect on a connection that was aborted.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	err := c.Conn.SetWriteDeadline(t)
	if c.aborted.Load() {
		return c.Conn.SetWriteDeadline(time.Unix(1, 0))
	}
	return err
}

// abort makes the present write and all further ones fail.
func (c *callerConn) abort() {
	c.aborted.Store(true)
	// The error is ignored: a connection that has ended is not written to.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
}

// maxUnsentBytes is how much the kernel holds of what was written to a caller and can't be sent yet,
// because the caller does not read. What is beyond it waits in the instance, which counts it.
const maxUnsentBytes = 16 << 10

// limitUnsent sets maxUnsentBytes for a connection.
func limitUnsent(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// Errors are ignored: without the option the kernel holds more.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}

// headerTimeout returns how long a caller may take to send a header, counted from its first byte.
func (s *Server) headerTimeout() time.Duration {
	if config := s.opts.Scheduler.Config(); config != nil && config.Bounds.HeaderTimeout > 0 {
		return config.Bounds.HeaderTimeout
	}
	return defaultHeaderTimeout
}

// recordSlowHeader counts and logs a request whose header did not arrive in time.
func (s *Server) recordSlowHeader(from net.Addr) {
	s.opts.Metrics.Refused(verdict.ReasonRequestTimeout, verdict.NotRun)
	telemetry.Log(s.opts.Log, telemetry.EventCallEnded, "request", "", "from", from.String(),
		"verdict", verdict.NotRun, "reason", verdict.ReasonRequestTimeout, "why", slowHeaderMessage)
}
