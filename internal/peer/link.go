package peer

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// outboxSize bounds the messages that wait for one instance. Beyond it they
// fail at once, which their senders must handle anyhow.
const outboxSize = 8192

// maxAttempts is how often a message is sent: once, and once more over a fresh
// connection.
const maxAttempts = 2

// idleTimeout is how long a link without messages keeps its connection.
const idleTimeout = 2 * time.Minute

// link is the sending side towards one instance.
type link struct {
	t      *Transport
	to     entity.InstanceID
	ctx    context.Context
	cancel context.CancelFunc
	// wake says that the outbox has messages, dialling is held while dialling.
	wake, dialling chan struct{}

	// mu is never held over I/O, so that Send doesn't block.
	mu      sync.Mutex
	address string
	outbox  []envelope
	conn    *jsonrpc2.Conn
	ended   bool
}

// envelope is a message with the number of times that sending it failed.
type envelope struct {
	msg      any
	attempts int
}

func newLink(t *Transport, to entity.InstanceID, address string) *link {
	ctx, cancel := context.WithCancel(t.ctx)
	return &link{t: t, to: to, address: address, ctx: ctx, cancel: cancel,
		wake: make(chan struct{}, 1), dialling: make(chan struct{}, 1)}
}

func (l *link) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = address
}

// push puts a message into the outbox. It returns false when the link has
// ended and the message needs another one.
func (l *link) push(e envelope) bool {
	l.mu.Lock()
	ended, full := l.ended, len(l.outbox) >= outboxSize
	if !ended && !full {
		l.outbox = append(l.outbox, e)
	}
	l.mu.Unlock()
	switch {
	case ended:
		return false
	case full:
		l.t.opts.OnSendFailed(l.to, e.msg)
	default:
		l.signal()
	}
	return true
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// pop returns the message that is sent next.
func (l *link) pop() (envelope, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outbox) == 0 {
		l.outbox = nil // gives back what a burst took
		return envelope{}, false
	}
	e := l.outbox[0]
	l.outbox[0] = envelope{}
	l.outbox = l.outbox[1:]
	return e, true
}

// run sends the messages of the outbox in order.
func (l *link) run() {
	defer l.t.wg.Done()
	defer l.end()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		l.sendWaiting()
		idle.Reset(idleTimeout)
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		case <-idle.C:
			if l.t.retire(l) {
				return
			}
		}
	}
}

// sendWaiting sends what is in the outbox.
func (l *link) sendWaiting() {
	for l.ctx.Err() == nil {
		e, ok := l.pop()
		if !ok {
			return
		}
		l.send(e)
	}
}

// end closes the connection. Messages that still wait have failed, unless the
// whole transport is closed.
func (l *link) end() {
	l.cancel()
	l.mu.Lock()
	l.ended = true
	left, conn := l.outbox, l.conn
	l.outbox, l.conn = nil, nil
	l.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	if l.t.ctx.Err() != nil {
		return
	}
	for _, e := range left {
		l.t.opts.OnSendFailed(l.to, e.msg)
	}
}

// send writes one message; a goroutine of its own waits for the acknowledgement.
func (l *link) send(e envelope) {
	k, params, err := l.encode(e.msg)
	if err != nil {
		l.t.opts.OnSendFailed(l.to, e.msg)
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.t.opts.ExchangeTimeout)
	conn, err := l.connection(ctx)
	if err != nil {
		cancel()
		l.outOfReach(e)
		return
	}
	call, err := conn.DispatchCall(ctx, k.method, params)
	if err != nil {
		cancel()
		l.drop(conn)
		l.failed(e)
		return
	}
	go func() {
		defer cancel()
		l.await(ctx, conn, call, e)
	}()
}

// encode returns the kind of a message and what travels for it.
func (l *link) encode(msg any) (kind, json.RawMessage, error) {
	if r, ok := msg.(entity.Reservation); ok {
		msg = ToWire(l.t.opts.Clock(), r)
	}
	k, err := l.t.opts.Registry.kindOf(msg)
	if err != nil {
		return kind{}, nil, trace.Wrap(err)
	}
	params, err := json.Marshal(msg)
	if err == nil && len(params)+frameOverheadBytes > maxFrameBytes {
		err = trace.LimitExceeded("message of %d bytes is over %d", len(params), maxFrameBytes)
	}
	return k, params, trace.Wrap(err)
}

// await waits for the acknowledgement. Without one the connection is condemned.
func (l *link) await(ctx context.Context, conn *jsonrpc2.Conn, call jsonrpc2.Waiter, e envelope) {
	err := call.Wait(ctx, nil)
	if err == nil {
		return
	}
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) {
		l.t.opts.OnSendFailed(l.to, e.msg) // the peer is there and won't have it
		return
	}
	l.condemn(ctx, conn)
	l.failed(e)
}

// condemn closes a connection over which an exchange came to no end.
func (l *link) condemn(ctx context.Context, conn *jsonrpc2.Conn) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		telemetry.Log(l.t.opts.Log, telemetry.EventPeerUnresponsive, "peer", l.to)
	}
	l.drop(conn)
}

// failed sends a message again over a fresh connection, or gives it up.
func (l *link) failed(e envelope) {
	e.attempts++
	if e.attempts < maxAttempts && l.push(e) {
		return
	}
	if l.t.ctx.Err() == nil {
		l.t.opts.OnSendFailed(l.to, e.msg)
	}
}

// outOfReach counts a failed attempt for a message and for all that wait
// behind it, so that a dead address costs them no dial each.
func (l *link) outOfReach(e envelope) {
	l.mu.Lock()
	waiting := l.outbox
	l.outbox = nil
	l.mu.Unlock()
	l.failed(e)
	for _, w := range waiting {
		l.failed(w)
	}
}

// drop closes a connection that carries nothing any more.
func (l *link) drop(conn *jsonrpc2.Conn) {
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	l.mu.Unlock()
	conn.Close()
}
