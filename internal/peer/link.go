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

// outboxSize is the maximum number of messages that wait for one instance.
// Further messages fail at once; senders must handle failed messages anyway.
const outboxSize = 8192

// maxAttempts is the number of times that a message or query is sent: once, and
// once more over a new connection.
const maxAttempts = 2

// idleTimeout is the time after which a link without messages is closed.
const idleTimeout = 2 * time.Minute

// link queues messages for one instance and sends them over a connection that
// it dials when needed.
type link struct {
	t      *Transport
	to     entity.InstanceID
	ctx    context.Context
	cancel context.CancelFunc
	// wake signals that the outbox may have messages. dialLock is a lock held
	// while dialling; it is a channel so that waiting for it can be cancelled.
	wake, dialLock chan struct{}

	// mu is never held during I/O, so that Send doesn't block.
	mu      sync.Mutex
	address string
	outbox  []envelope
	conn    *jsonrpc2.Conn
	closed  bool
}

// envelope is a message with the number of failed attempts to send it.
type envelope struct {
	msg      any
	attempts int
}

func newLink(t *Transport, to entity.InstanceID, address string) *link {
	ctx, cancel := context.WithCancel(t.ctx)
	return &link{t: t, to: to, address: address, ctx: ctx, cancel: cancel,
		wake: make(chan struct{}, 1), dialLock: make(chan struct{}, 1)}
}

func (l *link) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = address
}

// enqueue puts a message into the outbox, or passes it to OnSendFailed if the
// outbox is full. It returns false if the link is closed, and the message must
// be given to another link.
func (l *link) enqueue(e envelope) bool {
	l.mu.Lock()
	closed, full := l.closed, len(l.outbox) >= outboxSize
	if !closed && !full {
		l.outbox = append(l.outbox, e)
	}
	l.mu.Unlock()
	switch {
	case closed:
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

// dequeue removes and returns the message to send next. It returns false if the
// outbox is empty.
func (l *link) dequeue() (envelope, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outbox) == 0 {
		l.outbox = nil // frees the memory that a burst of messages took
		return envelope{}, false
	}
	e := l.outbox[0]
	l.outbox[0] = envelope{}
	l.outbox = l.outbox[1:]
	return e, true
}

// run sends the messages of the outbox in order until the link is closed.
func (l *link) run() {
	defer l.t.wg.Done()
	defer l.shutdown()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		l.sendQueued()
		idle.Reset(idleTimeout)
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		case <-idle.C:
			if l.t.removeIdle(l) {
				return
			}
		}
	}
}

// sendQueued sends the messages in the outbox.
func (l *link) sendQueued() {
	for l.ctx.Err() == nil {
		e, ok := l.dequeue()
		if !ok {
			return
		}
		l.send(e)
	}
}

// shutdown closes the link and its connection. Messages that still wait are
// passed to OnSendFailed, unless the whole transport is closed.
func (l *link) shutdown() {
	l.cancel()
	l.mu.Lock()
	l.closed = true
	unsent, conn := l.outbox, l.conn
	l.outbox, l.conn = nil, nil
	l.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	if l.t.ctx.Err() != nil {
		return
	}
	for _, e := range unsent {
		l.t.opts.OnSendFailed(l.to, e.msg)
	}
}

// send writes one message and starts a goroutine that waits for the
// acknowledgement.
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
		l.dialFailed(e)
		return
	}
	l.t.opts.Metrics.PeerMessage(k.method)
	call, err := conn.DispatchCall(ctx, k.method, params)
	if err != nil {
		cancel()
		l.closeConn(conn)
		l.retryOrFail(e)
		return
	}
	cancel()
	sentAt := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, l.t.patience.current())
		defer cancel()
		l.await(ctx, conn, call, e, sentAt)
	}()
}

// encode returns the kind of a message and its JSON encoding, in the wire form.
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
		err = trace.LimitExceeded("message of %d bytes exceeds the limit of %d bytes", len(params), maxFrameBytes)
	}
	return k, params, trace.Wrap(err)
}

// await waits for the acknowledgement of a message. If none arrives, it closes
// the connection and retries the message.
func (l *link) await(ctx context.Context, conn *jsonrpc2.Conn, call jsonrpc2.Waiter, e envelope, sentAt time.Time) {
	err := call.Wait(ctx, nil)
	if err == nil {
		l.t.patience.acknowledged(time.Since(sentAt))
		return
	}
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) {
		l.t.opts.OnSendFailed(l.to, e.msg) // the peer rejected it, so sending it again is of no use
		return
	}
	l.closeStalled(ctx, conn)
	l.retryOrFail(e)
}

// closeStalled closes a connection on which an exchange did not complete, and
// logs it if the exchange timed out.
func (l *link) closeStalled(ctx context.Context, conn *jsonrpc2.Conn) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		telemetry.Log(l.t.opts.Log, telemetry.EventPeerUnresponsive, "peer", l.to)
		if l.openConn() == conn {
			l.t.patience.timedOut()
		}
	}
	l.closeConn(conn)
}

// retryOrFail counts a failed attempt. It queues the message again, or passes it
// to OnSendFailed when no attempts are left.
func (l *link) retryOrFail(e envelope) {
	e.attempts++
	if e.attempts < maxAttempts && l.enqueue(e) {
		return
	}
	if l.t.ctx.Err() == nil {
		l.t.opts.OnSendFailed(l.to, e.msg)
	}
}

// dialFailed counts a failed attempt for a message and for all messages queued
// behind it, so that an unreachable address is not dialled once per message.
func (l *link) dialFailed(e envelope) {
	l.mu.Lock()
	waiting := l.outbox
	l.outbox = nil
	l.mu.Unlock()
	l.retryOrFail(e)
	for _, w := range waiting {
		l.retryOrFail(w)
	}
}

// closeConn closes a connection and clears it from the link.
func (l *link) closeConn(conn *jsonrpc2.Conn) {
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	l.mu.Unlock()
	conn.Close()
}
