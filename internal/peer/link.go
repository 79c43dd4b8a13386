package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"

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

// link is the sending side towards one instance.
type link struct {
	t       *Transport
	to      entity.InstanceID
	outbox  chan envelope
	done    chan struct{}
	once    sync.Once
	mu      sync.Mutex
	address string
	conn    *jsonrpc2.Conn
}

// envelope is a message with the number of times that sending it failed.
type envelope struct {
	msg      any
	attempts int
}

func newLink(t *Transport, to entity.InstanceID, address string) *link {
	return &link{t: t, to: to, address: address, outbox: make(chan envelope, outboxSize), done: make(chan struct{})}
}

func (l *link) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = address
}

func (l *link) stop() { l.once.Do(func() { close(l.done) }) }

func (l *link) push(msg any) { l.pushEnvelope(envelope{msg: msg}) }

func (l *link) pushEnvelope(e envelope) {
	select {
	case l.outbox <- e:
	default:
		l.t.opts.Failed(l.to, e.msg)
	}
}

// run sends the messages of the outbox in order.
func (l *link) run() {
	defer l.t.wg.Done()
	defer l.drop(nil)
	for {
		select {
		case <-l.t.ctx.Done():
			return
		case <-l.done:
			return
		case e := <-l.outbox:
			l.send(e)
		}
	}
}

// send writes one message; a goroutine of its own waits for the acknowledgement.
func (l *link) send(e envelope) {
	ctx, cancel := context.WithTimeout(l.t.ctx, l.t.opts.ExchangeTimeout)
	k, params, err := l.encode(e.msg)
	if err != nil {
		cancel()
		l.t.opts.Failed(l.to, e.msg)
		return
	}
	conn, err := l.connection(ctx)
	if err != nil {
		cancel()
		l.failed(e)
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
		l.t.opts.Failed(l.to, e.msg) // the peer is there and won't have it
		return
	}
	if ctx.Err() == context.DeadlineExceeded {
		telemetry.Log(l.t.opts.Log, telemetry.EventPeerSilent, "peer", l.to)
	}
	l.drop(conn)
	l.failed(e)
}

// failed sends a message again over a fresh connection, or gives it up.
func (l *link) failed(e envelope) {
	e.attempts++
	if e.attempts >= maxAttempts || l.t.ctx.Err() != nil {
		l.t.opts.Failed(l.to, e.msg)
		return
	}
	l.pushEnvelope(e)
}

// connection returns the open connection, or dials a fresh one.
func (l *link) connection(ctx context.Context) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
			l.conn = nil
		default:
			return l.conn, nil
		}
	}
	conn, err := l.dial(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l.conn = conn
	go l.watch(conn)
	l.t.opts.Metrics.PeerReconnects.Inc(1)
	telemetry.Log(l.t.opts.Log, telemetry.EventPeerConnected, "peer", l.to)
	return conn, nil
}

// watch tells when the connection has ended.
func (l *link) watch(conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	if l.t.ctx.Err() == nil {
		telemetry.Log(l.t.opts.Log, telemetry.EventPeerLost, "peer", l.to)
		l.t.opts.Lost(l.to)
	}
}

func (l *link) dial(ctx context.Context) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.t.opts.ExchangeTimeout)
	defer cancel()
	raw, err := l.dialRaw(ctx)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialling peer %s", l.to)
	}
	conn := l.t.newConn(raw, noRequests{})
	id, err := l.t.greet(ctx, conn)
	if err == nil && id != l.to {
		err = trace.NotFound("address of %s answers as %s", l.to, id)
	}
	if err != nil {
		conn.Close()
		return nil, trace.Wrap(err)
	}
	return conn, nil
}

func (l *link) dialRaw(ctx context.Context) (net.Conn, error) {
	if cfg := l.t.opts.ClientTLS; cfg != nil {
		return (&tls.Dialer{Config: cfg}).DialContext(ctx, "tcp", l.address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", l.address)
}

// drop closes a condemned connection; nil means the present one.
func (l *link) drop(conn *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn == nil {
		conn = l.conn
	}
	if conn == nil {
		return
	}
	conn.Close()
	if l.conn == conn {
		l.conn = nil
	}
}

// noRequests refuses requests over a connection that this side dialled.
type noRequests struct{}

// Handle implements jsonrpc2.Handler.
func (noRequests) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "not served on this connection"})
	}
}
