package peer

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// connection returns the open connection, or dials a fresh one. One goroutine
// dials at a time; the others wait for it no longer than their ctx.
func (l *link) connection(ctx context.Context) (*jsonrpc2.Conn, error) {
	if conn := l.open(); conn != nil {
		return conn, nil
	}
	select {
	case l.dialling <- struct{}{}:
		defer func() { <-l.dialling }()
	case <-ctx.Done():
		return nil, trace.ConnectionProblem(ctx.Err(), "waiting for a connection to peer %s", l.to)
	}
	if conn := l.open(); conn != nil {
		return conn, nil
	}
	conn, err := l.dial(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if !l.use(conn) {
		conn.Close()
		return nil, trace.ConnectionProblem(nil, "the link to peer %s has ended", l.to)
	}
	go l.watch(conn)
	l.t.opts.Metrics.PeerReconnects.Inc(1)
	telemetry.Log(l.t.opts.Log, telemetry.EventPeerConnected, "peer", l.to)
	return conn, nil
}

// open returns the open connection, nil if there is none.
func (l *link) open() *jsonrpc2.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil
	}
	select {
	case <-l.conn.DisconnectNotify():
		l.conn = nil
	default:
	}
	return l.conn
}

// use makes a connection the link's own, unless the link has ended.
func (l *link) use(conn *jsonrpc2.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	l.conn = conn
	return true
}

// watch tells when the connection has ended.
func (l *link) watch(conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	if l.t.ctx.Err() == nil {
		telemetry.Log(l.t.opts.Log, telemetry.EventPeerLost, "peer", l.to)
		l.t.opts.OnDisconnect(l.to)
	}
}

func (l *link) dial(ctx context.Context) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.t.opts.ExchangeTimeout)
	defer cancel()
	raw, err := l.dialRaw(ctx)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialling peer %s", l.to)
	}
	conn := l.t.newConn(raw, noRequests{}, fixedLimit(maxFrameBytes), 0)
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
	l.mu.Lock()
	address := l.address
	l.mu.Unlock()
	if cfg := l.t.opts.ClientTLS; cfg != nil {
		return (&tls.Dialer{Config: cfg}).DialContext(ctx, "tcp", address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// noRequests refuses requests over a connection that this side dialled.
type noRequests struct{}

// Handle implements jsonrpc2.Handler.
func (noRequests) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "not served on this connection"})
	}
}
