package endpoint

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/framing"
)

// errSealed is the error of a write to a sealed connection.
var errSealed = errors.New("endpoint: connection sealed before the first byte")

// The states of a conn. A conn leaves connUnused at most once, either for
// connWritten or for connSealed.
const (
	connUnused int32 = iota
	connWritten
	connSealed
)

// conn is a connection whose reads and writes time out when it makes no
// progress for noProgress, and which can prove that nothing was written to it.
type conn struct {
	*framing.Conn
	noProgress time.Duration
	state      atomic.Int32
}

// seal makes all later writes fail, unless a write has begun. It returns true
// if nothing has been and nothing will be written. It is safe for concurrent
// use with Write.
func (c *conn) seal() bool {
	return c.state.CompareAndSwap(connUnused, connSealed) || c.state.Load() == connSealed
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.noProgress)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. It also restarts the timeout of a pending Read,
// because the response is due from this moment on.
func (c *conn) Write(p []byte) (int, error) {
	if !c.state.CompareAndSwap(connUnused, connWritten) && c.state.Load() == connSealed {
		return 0, errSealed
	}
	if err := c.SetDeadline(time.Now().Add(c.noProgress)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// dialer opens connections to endpoints.
type dialer struct {
	timeout    time.Duration
	noProgress time.Duration
	tls        *tls.Config
	wrap       func(net.Conn) net.Conn
}

// dial opens a connection. With a TLS configuration it completes the handshake
// before it returns, so that the handshake doesn't count as a write of the conn.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if d.wrap != nil {
		raw = d.wrap(raw)
	}
	if d.tls == nil {
		return &conn{Conn: framing.NewConn(raw), noProgress: d.noProgress}, nil
	}
	secure := tls.Client(raw, d.tlsConfigFor(address))
	if err := secure.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, trace.Wrap(err)
	}
	return &conn{Conn: framing.NewConn(secure), noProgress: d.noProgress}, nil
}

func (d *dialer) tlsConfigFor(address string) *tls.Config {
	if d.tls.ServerName != "" {
		return d.tls
	}
	cfg := d.tls.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		cfg.ServerName = host
	}
	return cfg
}
