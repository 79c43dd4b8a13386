package endpoint

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// errSealed is what a sealed connection answers to a write.
var errSealed = errors.New("endpoint: connection sealed before the first byte")

// The states of a conn. Exactly one of written and sealed is ever reached.
const (
	connUntouched int32 = iota
	connWritten
	connSealed
)

// conn is a connection that fails when it makes no progress for a while, and
// that can prove that nothing was written to it.
type conn struct {
	net.Conn
	noProgress time.Duration
	state      atomic.Int32
}

// seal bars all writes unless one has begun. It returns true when nothing was
// and nothing will be written.
func (c *conn) seal() bool {
	return c.state.CompareAndSwap(connUntouched, connSealed) || c.state.Load() == connSealed
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.noProgress)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. It gives a pending Read its whole time again: the
// answer is waited for from here on.
func (c *conn) Write(p []byte) (int, error) {
	if !c.state.CompareAndSwap(connUntouched, connWritten) && c.state.Load() == connSealed {
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

// dial opens a connection; with a TLS configuration the handshake is over when
// it returns, so that it doesn't count as a write.
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
		return &conn{Conn: raw, noProgress: d.noProgress}, nil
	}
	secure := tls.Client(raw, d.tlsConfigFor(address))
	if err := secure.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, trace.Wrap(err)
	}
	return &conn{Conn: secure, noProgress: d.noProgress}, nil
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
