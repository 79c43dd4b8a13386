package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarhold/medlarhold/internal/accept"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// Options configure a Transport.
type Options struct {
	// Self is this instance as it identifies itself to peers.
	Self entity.Instance
	// Keys returns the peer keys in force, the preferred one first. It is called
	// for each handshake, so that keys can be replaced without a restart.
	Keys func() [][]byte
	// ServerTLS and ClientTLS are nil for plain TCP.
	ServerTLS, ClientTLS *tls.Config
	// ExchangeTimeout bounds each exchange, dialling and handshake included.
	ExchangeTimeout time.Duration
	// Registry maps message types to method names.
	Registry *Registry
	// HandleMessage processes a received message. It is called in the order of arrival
	// on each connection and must not block for long.
	HandleMessage func(from entity.Instance, msg any)
	// HandleQuery returns the result of a peer's query. It runs on a goroutine
	// of its own and may block until ctx ends.
	HandleQuery func(ctx context.Context, from entity.Instance, method string, params json.RawMessage) (any, error)
	// OnSendFailed is called for each message that could not be delivered.
	OnSendFailed func(to entity.InstanceID, msg any)
	// OnDisconnect is called when a connection that this side dialled has ended.
	OnDisconnect func(to entity.InstanceID)
	// Clock returns the current time.
	Clock   func() time.Time
	Log     logr.Logger
	Metrics *telemetry.Metrics
}

// Transport sends messages to the other instances and receives theirs. It is
// safe for concurrent use.
type Transport struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	links  map[entity.InstanceID]*link
	// inbound holds the instances that have an authenticated connection to this
	// one.
	inbound  map[entity.InstanceID]inboundPeer
	wg       sync.WaitGroup
	patience *patience
}

// NewTransport returns a transport that has no connections yet.
func NewTransport(opts Options) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{opts: opts, ctx: ctx, cancel: cancel, links: make(map[entity.InstanceID]*link),
		inbound: make(map[entity.InstanceID]inboundPeer), patience: newPatience(opts.ExchangeTimeout)}
}

// Send queues a message for an instance. It never blocks. If address is empty,
// Send uses the address that the instance sent when it connected to this one.
func (t *Transport) Send(to entity.InstanceID, address string, msg any) {
	for {
		l, ok := t.link(to, address)
		if !ok {
			t.opts.OnSendFailed(to, msg)
			return
		}
		if l.enqueue(envelope{msg: msg}) {
			return
		}
	}
}

// Call sends a query to an instance and waits for its result. A query that is
// not answered within the exchange timeout is sent once more over a new
// connection. An error that the peer returned is not retried.
func (t *Transport) Call(ctx context.Context, to entity.InstanceID, address, method string, params, result any) error {
	var err error
	for range maxAttempts {
		var refused *jsonrpc2.Error
		err = t.callOnce(ctx, to, address, method, params, result)
		if err == nil || errors.As(err, &refused) || ctx.Err() != nil {
			break
		}
	}
	return trace.Wrap(err)
}

func (t *Transport) callOnce(ctx context.Context, to entity.InstanceID, address, method string, params, result any) error {
	l, ok := t.link(to, address)
	if !ok {
		return trace.NotFound("the address of peer %s is not known", to)
	}
	ctx, cancel := context.WithTimeout(ctx, t.opts.ExchangeTimeout)
	defer cancel()
	conn, err := l.connection(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	err = conn.Call(ctx, method, params, result)
	var refused *jsonrpc2.Error
	if err != nil && !errors.As(err, &refused) {
		l.closeStalled(ctx, conn)
	}
	return err
}

// link returns the link to an instance. It creates the link if there is none
// and the address is known, and reports false if it can't.
func (t *Transport) link(to entity.InstanceID, address string) (*link, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return nil, false // the transport is closed
	}
	l, ok := t.links[to]
	if address == "" {
		address = t.inbound[to].address
	}
	if !ok {
		if address == "" {
			return nil, false
		}
		l = newLink(t, to, address)
		t.links[to] = l
		t.wg.Add(1)
		go l.run()
	}
	if address != "" {
		l.setAddress(address)
	}
	return l, true
}

// RemovePeer closes the link to an instance that has left for good. Messages
// that still wait for it are passed to OnSendFailed.
func (t *Transport) RemovePeer(id entity.InstanceID) {
	t.mu.Lock()
	l, ok := t.links[id]
	delete(t.links, id)
	t.mu.Unlock()
	if ok {
		l.cancel()
	}
}

// removeIdle closes and removes a link whose outbox is empty, and reports
// whether it did.
func (t *Transport) removeIdle(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outbox) > 0 {
		return false
	}
	l.closed = true
	if t.links[l.to] == l {
		delete(t.links, l.to)
	}
	return true
}

// Serve accepts connections from peers until Close is called.
func (t *Transport) Serve(ln net.Listener) error {
	if t.opts.ServerTLS != nil {
		ln = tls.NewListener(ln, t.opts.ServerTLS)
	}
	context.AfterFunc(t.ctx, func() { ln.Close() })
	for {
		conn, err := accept.Next(t.ctx, ln)
		if err != nil {
			if t.ctx.Err() != nil {
				return nil
			}
			return trace.Wrap(err, "accepting peers")
		}
		t.accept(conn)
	}
}

// Close closes all connections. Messages that still wait are discarded without
// a call of OnSendFailed.
func (t *Transport) Close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.wg.Wait()
}

// newConn starts JSON-RPC over a connection and counts its bytes. limit returns
// the maximum size of the next received frame; a readTimeout of zero means none.
func (t *Transport) newConn(conn net.Conn, h jsonrpc2.Handler, limit func() uint64, readTimeout time.Duration) *jsonrpc2.Conn {
	withTimeouts := timeoutConn{Conn: conn, writeTimeout: t.opts.ExchangeTimeout, readTimeout: readTimeout}
	c := t.newTrafficCounter()
	stream := jsonrpc2.NewBufferedStream(withTimeouts, frameCodec{limit: limit, counter: c})
	return jsonrpc2.NewConn(t.ctx, stream, h, jsonrpc2.SetLogger(noLogger{}), jsonrpc2.OnSend(c.onSend), jsonrpc2.OnRecv(c.onReceive))
}

// noLogger keeps the JSON-RPC library from logging malformed input, which any
// unauthenticated client could send.
type noLogger struct{}

// Printf implements jsonrpc2.Logger.
func (noLogger) Printf(string, ...any) {}
