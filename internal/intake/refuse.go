package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// refusalWriteTimeout bounds the time for writing a refusal to a client that has just sent something,
	// evictionWriteTimeout to one that is let go for another one's sake, which waits.
	refusalWriteTimeout  = time.Second
	evictionWriteTimeout = 20 * time.Millisecond
	// lingerTimeout and lingerBytes bound what is read after a refusal: if the connection were closed at once, unread
	// bytes would reset it, and the client would often lose the refusal. maxLingering bounds how many do so at a time.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	maxLingering  = 16
)

// refusal is why a connection refuses a request itself.
type refusal struct {
	status  int
	reason  verdict.Reason
	message string
}

var (
	headTooLarge = refusal{http.StatusRequestHeaderFieldsTooLarge, verdict.ReasonHeaderTooLarge, "the header is over the limit"}
	headTooSlow  = refusal{http.StatusRequestTimeout, verdict.ReasonRequestTimeout, "the header came too slowly"}
	noMemory     = refusal{http.StatusServiceUnavailable, verdict.ReasonOverload, "too much is held for clients"}
	noConnection = refusal{http.StatusServiceUnavailable, verdict.ReasonOverload, "too many connections are open"}
)

// response returns the complete response of a refusal.
func (r refusal) response(retryAfter time.Duration) []byte {
	body := r.message + "\n"
	retry := ""
	if r.status == http.StatusServiceUnavailable || r.status == http.StatusRequestTimeout {
		retry = fmt.Sprintf("Retry-After: %.3f\r\n", retryAfter.Seconds())
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		r.status, http.StatusText(r.status), retry, len(body), body)
}

// refuse makes the connection pass nothing on any more, and tells the client so if that is true of its request: that
// is not whole, and no response to it was begun. It returns ErrRefused. The caller must hold c.mu.
func (c *Conn) refuse(r refusal, writeTimeout time.Duration) error {
	if c.phase == phaseWhole {
		c.last = true // what comes after the request that runs is not read
		return ErrRefused
	}
	asked := c.phase == phaseHead || c.phase == phaseBody || r == headTooLarge
	tells := asked && (!c.begun || !c.answered && c.listener.opts.WholeBodies)
	if asked && !c.begun { // otherwise the handler says what becomes of the request
		c.listener.opts.refused(r, c.RemoteAddr())
	}
	c.phase = phaseRefused
	c.wait.end()
	if tells {
		// Errors are ignored: the connection is closed whether or not the client reads the response.
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = c.Conn.Write(r.response(c.listener.opts.RetryAfter))
	}
	return ErrRefused
}

// endRefused ends a connection that was refused while it was read from.
func (c *Conn) endRefused() {
	l := c.listener
	if l.lingering.Add(1) <= maxLingering {
		c.linger()
	}
	l.lingering.Add(-1)
	_ = c.closeSocket() // the error is ignored: it has ended then
}

// linger lets a client that is still sending read the refusal.
func (c *Conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	// Errors are ignored: the connection is closed in any case.
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// letGo ends what the client makes the process hold: an unfinished request is refused, and a response that isn't read
// breaks off.
func (c *Conn) letGo() {
	if !c.refuseUnfinished(noMemory) && !c.IsRefused() {
		c.Abort()
		return
	}
	_ = c.closeSocket() // the error is ignored: it has ended then
}

// IsRefused reports whether the connection was refused, or let go, before its request was whole.
func (c *Conn) IsRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseRefused
}

// hasUnread reports whether bytes have arrived on a connection that were not read yet.
func hasUnread(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	// Control does not wait for a read in progress, as Read would.
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		unread, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return unread > 0
}
