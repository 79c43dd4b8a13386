package edge

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// headerGrace is how long the header timeout waits for bytes that have arrived and were not read yet:
	// this process may have stood still. maxHeaderGraces bounds how often.
	headerGrace     = 50 * time.Millisecond
	maxHeaderGraces = 20
)

// errRefused is returned by reads from a connection on which status 408 was sent.
var errRefused = errors.New("the header timeout was answered")

// headerWait is the state of a connection with regard to the next request header. Either the header becomes
// complete and the request may run, or the connection is refused and it never does.
type headerWait struct {
	// awaited is set from the end of a response, or the opening of the connection, until the next header is
	// complete.
	awaited bool
	// timer runs while a header has arrived in part, graces counts how often it was extended.
	timer  *time.Timer
	graces int
	// tail holds the last bytes that were read, which may begin the end of the header.
	tail []byte
	// refused is set once status 408 is being sent.
	refused bool
}

// Ends of a header: the second one is not in the standard, and the HTTP server accepts it.
var (
	headerEnd      = []byte("\n\r\n")
	shortHeaderEnd = []byte("\n\n")
)

// add processes bytes of the header, and reports whether it is complete.
func (h *headerWait) add(b []byte) bool {
	if len(h.tail) > 0 {
		b = slices.Concat(h.tail, b)
	}
	if bytes.Contains(b, headerEnd) || bytes.Contains(b, shortHeaderEnd) {
		return true
	}
	h.tail = bytes.Clone(b[max(0, len(b)-len(headerEnd)+1):])
	return false
}

// end ends the wait.
func (h *headerWait) end() {
	if h.timer != nil {
		h.timer.Stop()
	}
	*h = headerWait{refused: h.refused}
}

// Read implements net.Conn. Once the connection is refused, the HTTP server gets no further bytes.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.onRead(b[:n]) {
		return 0, errRefused
	}
	return n, err
}

// onRead starts the timer when the first bytes of a header arrive without its end, and stops it with the end.
// It reports whether the bytes may be used.
func (c *callerConn) onRead(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &c.header
	switch {
	case h.refused:
		return false
	case !h.awaited:
	case h.add(b):
		h.end()
	case h.timer == nil:
		h.timer = time.AfterFunc(c.server.headerTimeout(), c.headerTimedOut)
	}
	return true
}

// setState begins the wait for a header when a response has ended, and ends it when the HTTP server has the
// header or the connection is closed.
func (c *callerConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header.end()
	c.header.awaited = state == http.StateNew || state == http.StateIdle
}

// isRefused reports whether status 408 was sent on the connection.
func (c *callerConn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.header.refused
}

// headerTimedOut refuses a request whose header did not arrive in time and closes the connection. A reader may
// be about to pass on what has arrived meanwhile.
func (c *callerConn) headerTimedOut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &c.header
	if !h.awaited || h.timer == nil {
		return
	}
	if h.graces == 0 || h.graces < maxHeaderGraces && hasUnread(c.Conn) {
		h.graces++
		h.timer.Reset(headerGrace)
		return
	}
	h.refused = true
	h.end()
	c.server.recordSlowHeader(c.RemoteAddr())
	// Errors are ignored: the connection is closed whether or not the caller reads the response.
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = c.Write(slowHeaderResponse)
	_ = c.Close()
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
