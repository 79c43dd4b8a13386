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

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// Options of a Transport.
type Options struct {
	// Self is this instance, as it introduces itself.
	Self entity.Instance
	// Keys returns the peer keys in force, the preferred one first. It is asked
	// for each handshake, so keys can be replaced without a restart.
	Keys func() [][]byte
	// ServerTLS and ClientTLS are nil for plain TCP.
	ServerTLS, ClientTLS *tls.Config
	// ExchangeTimeout bounds each exchange, dialling and handshake included.
	ExchangeTimeout time.Duration
	// Registry knows the messages.
	Registry *Registry
	// Deliver takes a message over. It is called in order per connection and
	// must not block for long.
	Deliver func(from entity.Instance, msg any)
	// HandleQuery answers a question of a peer; it may block until ctx ends.
	HandleQuery func(ctx context.Context, from entity.Instance, method string, params json.RawMessage) (any, error)
	// OnSendFailed is told of a message that could not be delivered.
	OnSendFailed func(to entity.InstanceID, msg any)
	// OnDisconnect is told when a connection that this side dialled has ended.
	OnDisconnect func(to entity.InstanceID)
	// Clock returns the time.
	Clock   func() time.Time
	Log     logr.Logger
	Metrics *telemetry.Metrics
}

// Transport sends to and receives from the other instances.
type Transport struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	links  map[entity.InstanceID]*link
	// met holds the instances that have a connection to this one.
	met map[entity.InstanceID]acquaintance
	wg  sync.WaitGroup
}

// NewTransport returns a transport that has no connections yet.
func NewTransport(opts Options) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{opts: opts, ctx: ctx, cancel: cancel, links: make(map[entity.InstanceID]*link),
		met: make(map[entity.InstanceID]acquaintance)}
}

// Send queues a message for an instance. It never blocks. Without an address
// it goes to the one that the instance named when it connected.
func (t *Transport) Send(to entity.InstanceID, address string, msg any) {
	for {
		l, ok := t.link(to, address)
		if !ok {
			t.opts.OnSendFailed(to, msg)
			return
		}
		if l.push(envelope{msg: msg}) {
			return
		}
	}
}

// Call asks an instance and waits for its answer. A question that gets none
// within the exchange timeout is asked once more, over a fresh connection.
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
		l.condemn(ctx, conn)
	}
	return err
}

// link returns the link to an instance, making it if there is none and the
// address is known.
func (t *Transport) link(to entity.InstanceID, address string) (*link, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return nil, false // links end with the transport
	}
	l, ok := t.links[to]
	if address == "" {
		address = t.met[to].address
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

// RemovePeer closes the link to an instance that is gone for good. What still
// waits for it has failed.
func (t *Transport) RemovePeer(id entity.InstanceID) {
	t.mu.Lock()
	l, ok := t.links[id]
	delete(t.links, id)
	t.mu.Unlock()
	if ok {
		l.cancel()
	}
}

// retire takes a link that has nothing to send off the table.
func (t *Transport) retire(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outbox) > 0 {
		return false
	}
	l.ended = true
	if t.links[l.to] == l {
		delete(t.links, l.to)
	}
	return true
}

// Serve accepts connections of peers until Close.
func (t *Transport) Serve(ln net.Listener) error {
	if t.opts.ServerTLS != nil {
		ln = tls.NewListener(ln, t.opts.ServerTLS)
	}
	context.AfterFunc(t.ctx, func() { ln.Close() })
	for {
		conn, err := ln.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return nil
			}
			return trace.Wrap(err, "accepting peers")
		}
		t.accept(conn)
	}
}

// Close ends all connections. Messages that still wait are dropped.
func (t *Transport) Close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.wg.Wait()
}

// newConn puts JSON-RPC over a connection, counting its bytes.
func (t *Transport) newConn(conn net.Conn, h jsonrpc2.Handler, limit func() uint64, readTimeout time.Duration) *jsonrpc2.Conn {
	bounded := boundedConn{Conn: conn, writeTimeout: t.opts.ExchangeTimeout, readTimeout: readTimeout}
	a := t.newAccount()
	stream := jsonrpc2.NewBufferedStream(bounded, frameCodec{limit: limit, account: a})
	return jsonrpc2.NewConn(t.ctx, stream, h, jsonrpc2.SetLogger(noLogger{}), jsonrpc2.OnSend(a.sending), jsonrpc2.OnRecv(a.received))
}

// noLogger keeps the JSON-RPC library from logging what strangers send.
type noLogger struct{}

// Printf implements jsonrpc2.Logger.
func (noLogger) Printf(string, ...any) {}
