package peer

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// connection returns the open connection, or dials a new one. Only one goroutine
// dials at a time; others wait for it until their ctx ends.
func (l *link) connection(ctx context.Context) (*jsonrpc2.Conn, error) {
	if conn := l.openConn(); conn != nil {
		return conn, nil
	}
	select {
	case l.dialLock <- struct{}{}:
		defer func() { <-l.dialLock }()
	case <-ctx.Done():
		return nil, trace.ConnectionProblem(ctx.Err(), "waiting for a connection to peer %s", l.to)
	}
	if conn := l.openConn(); conn != nil {
		return conn, nil
	}
	conn, err := l.dial(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if !l.setConn(conn) {
		conn.Close()
		return nil, trace.ConnectionProblem(nil, "the link to peer %s is closed", l.to)
	}
	go l.watchDisconnect(conn)
	l.t.opts.Metrics.PeerReconnects.Inc(1)
	telemetry.Log(l.t.opts.Log, telemetry.EventPeerConnected, "peer", l.to)
	return conn, nil
}

// openConn returns the open connection, or nil if there is none.
func (l *link) openConn() *jsonrpc2.Conn {
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

// setConn stores a connection in the link. It returns false if the link is
// closed.
func (l *link) setConn(conn *jsonrpc2.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conn = conn
	return true
}

// watchDisconnect waits until the connection has ended, and then logs it and
// calls OnDisconnect.
func (l *link) watchDisconnect(conn *jsonrpc2.Conn) {
	<-conn.DisconnectNotify()
	if l.t.ctx.Err() == nil {
		telemetry.Log(l.t.opts.Log, telemetry.EventPeerDisconnected, "peer", l.to)
		l.t.opts.OnDisconnect(l.to)
	}
}

// dial opens a connection and completes the handshake. It fails if the other
// side proves another name than the instance that the link is for.
func (l *link) dial(ctx context.Context) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.t.opts.ExchangeTimeout)
	defer cancel()
	netConn, err := l.dialNet(ctx)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialling peer %s", l.to)
	}
	conn := l.t.newConn(netConn, rejectRequests{}, constantLimit(maxFrameBytes), 0)
	id, err := l.t.handshake(ctx, conn)
	if err == nil && id != l.to {
		err = trace.NotFound("peer at the address of %s identified itself as %s", l.to, id)
	}
	if err != nil {
		conn.Close()
		return nil, trace.Wrap(err)
	}
	return conn, nil
}

// dialNet opens the TCP or TLS connection.
func (l *link) dialNet(ctx context.Context) (net.Conn, error) {
	l.mu.Lock()
	address := l.address
	l.mu.Unlock()
	if cfg := l.t.opts.ClientTLS; cfg != nil {
		return (&tls.Dialer{Config: cfg}).DialContext(ctx, "tcp", address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// rejectRequests answers every request with an error. It handles connections
// that this side dialled, over which the other side only replies.
type rejectRequests struct{}

// Handle implements jsonrpc2.Handler.
func (rejectRequests) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "not served on this connection"})
	}
}
