package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ConnBytes is what a connection takes in memory while it has no request, in bytes: buffers and goroutine. It covers
	// a head of headAllowance, as ordinary requests have.
	ConnBytes     = 14 << 10
	headAllowance = 6 << 10
	// requestBytes is what a whole request takes beside its head and body: goroutines, and the buffers of the connection
	// to the endpoint.
	requestBytes = 16 << 10
	// chargeStep is the least number of bytes that are charged for a head at a time.
	chargeStep = 4 << 10
	// readBytes is the most that is read at a time while it isn't known where the request ends.
	readBytes = 4 << 10
)

// ErrRefused is returned by reads from, and writes to, a connection that was refused or let go.
var ErrRefused = errors.New("the request was refused before it was whole")

// phase is how far the present request of a connection has come.
type phase uint8

const (
	// phaseIdle: no byte of a request has arrived.
	phaseIdle phase = iota
	phaseHead
	// phaseBody: the head is complete, the body is not.
	phaseBody
	// phaseWhole: the request is complete, and its response is not.
	phaseWhole
	// phaseRefused: nothing that arrives is passed on any more.
	phaseRefused
)

// Conn is a client's connection. The HTTP server reads from it no more than the limits and the account allow.
type Conn struct {
	net.Conn
	listener *Listener
	holding  *Holding

	mu    sync.Mutex
	phase phase
	// since is when the present wait for the client began, served whether a request was served before.
	since  time.Time
	served bool
	meter  meter
	// blankBytes is the number of bytes of empty lines before a head.
	blankBytes int64
	// pending has arrived and belongs to the next part or request.
	pending []byte
	// charged is what is charged for the request beside its body, in bytes, held what the handler has added.
	charged, held int64
	wait          headWait
	// begun is set once the handler has the request, answered once a response was begun.
	begun, answered bool
	// writingSince is when a write to the client began, zero if there is none.
	writingSince time.Time
	// ahead is the number of bytes of the next request that were read before it was known that no body comes.
	ahead int
	// last is set if no further request can be read.
	last bool
	// aborted is set once no write is to be completed any more.
	aborted atomic.Bool
}

// connKey is the key of the client's connection in a request's context.
type connKey struct{}

// connContext is the ConnContext hook of the HTTP server.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf returns the connection on which a request came, nil if it came through no Listener.
func ConnOf(r *http.Request) *Conn {
	conn, _ := r.Context().Value(connKey{}).(*Conn)
	return conn
}

// Holding returns what is held for the connection.
func (c *Conn) Holding() *Holding { return c.holding }

// Read implements net.Conn. Once the connection is refused, the HTTP server gets no further bytes.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, err := c.fetch(b)
		kept, refused := c.arrived(b[:n])
		switch {
		case refused != nil:
			c.endRefused()
			return 0, refused
		case kept > 0 || err != nil || n == 0:
			return kept, err
		}
	}
}

// fetch reads what is pending, or else from the client. It reads past the end of a request only while that is not known.
func (c *Conn) fetch(b []byte) (int, error) {
	c.mu.Lock()
	if len(c.pending) > 0 {
		n := copy(b, c.pending)
		c.pending = c.pending[n:]
		if len(c.pending) == 0 {
			c.pending = nil
		}
		c.mu.Unlock()
		return n, nil
	}
	limit := int64(readBytes)
	if c.meter.part == partLength {
		limit = c.meter.left
	}
	last := c.last
	c.mu.Unlock()
	if last {
		return 0, io.EOF
	}
	return c.Conn.Read(b[:min(int64(len(b)), limit)])
}

// arrived decides on bytes that have arrived. It returns how many of them may be used: b begins with them afterwards.
func (c *Conn) arrived(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseRefused {
		return 0, ErrRefused
	}
	if c.meter.part == partUndecided || c.meter.part == partHead && c.meter.bytes == 0 {
		b = c.skipBlank(b)
	}
	if len(b) == 0 {
		return 0, c.checkHead()
	}
	if c.meter.part == partUndecided {
		c.ahead += len(b)
		c.last = c.last || c.ahead > 1 // the HTTP server reads one byte ahead while a request without a body runs
		return len(b), nil
	}
	inHead := c.meter.part == partHead
	if c.phase == phaseIdle {
		c.phase = phaseHead
	}
	n, ends := c.meter.add(b)
	if ends || n < len(b) {
		c.pending = append(append(make([]byte, 0, len(b)-n+len(c.pending)), b[n:]...), c.pending...)
	}
	if err := c.checkHead(); err != nil {
		return 0, err
	}
	switch {
	case ends && inHead:
		return n, c.headEnded()
	case ends:
		return n, c.bodyEnded()
	case inHead && c.phase == phaseHead:
		c.startWait()
	}
	return n, nil
}

// skipBlank moves what follows empty lines to the start of b, and returns it.
func (c *Conn) skipBlank(b []byte) []byte {
	n := 0
	for n < len(b) && (b[n] == '\r' || b[n] == '\n') {
		n++
	}
	c.blankBytes += int64(n)
	return b[:copy(b, b[n:])]
}

// checkHead refuses a head that exceeds the limit, or for which there is no memory.
func (c *Conn) checkHead() error {
	const headEnd = int64(len("\r\n"))
	if c.meter.bytes > c.listener.headLimit()+headEnd || c.blankBytes > c.listener.headLimit() {
		return c.refuse(headTooLarge, refusalWriteTimeout)
	}
	if missing := c.meter.cost() - headAllowance - c.charged; missing > 0 && !c.charge(max(missing, chargeStep)) {
		return c.refuse(noMemory, refusalWriteTimeout)
	}
	return nil
}

// charge counts n more bytes for the request. It returns false if there is no room for them.
func (c *Conn) charge(n int64) bool {
	if !c.holding.Grow(n) {
		return false
	}
	c.charged += n
	return true
}

// headEnded records that the head is complete.
func (c *Conn) headEnded() error {
	c.wait.end()
	c.meter.part = partUndecided
	c.phase, c.ahead = phaseBody, 0
	if !c.charge(requestBytes) {
		return c.refuse(noMemory, refusalWriteTimeout)
	}
	return nil
}

// bodyEnded records that the request is whole.
func (c *Conn) bodyEnded() error {
	c.meter.next()
	if !c.holding.setWhole() {
		return c.refuse(noMemory, refusalWriteTimeout)
	}
	c.phase = phaseWhole
	return nil
}

// begin records that the handler has the request. It returns false if the client was told that it doesn't run.
func (c *Conn) begin(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseRefused {
		return false
	}
	c.begun = true
	if r.ContentLength != 0 {
		c.meter.beginBody(r.ContentLength)
		return true
	}
	if c.bodyEnded() != nil {
		return false
	}
	c.meter.bytes, c.meter.lineBytes = int64(c.ahead), c.ahead
	return true
}

// setState is told the state of the connection by the HTTP server. It begins the wait for a request when a response has
// ended.
func (c *Conn) setState(state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseRefused {
		return
	}
	// A body that was not read to its end, or no handler: it isn't known what follows.
	c.last = c.last || c.meter.part != partHead
	c.phase, c.since, c.served, c.begun, c.answered, c.blankBytes = phaseIdle, time.Now(), true, false, false, 0
	c.holding.Shrink(c.charged + c.held)
	c.charged, c.held = 0, 0
	c.holding.setUnfinished()
	if c.meter.bytes > 0 || len(c.pending) > 0 {
		c.phase = phaseHead
		c.startWait()
	}
}
