package framing

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Conn is a connection on which responses are read by net/http, by the rules of this package.
type Conn struct {
	net.Conn
	writes Writes

	mu sync.Mutex
	// expects is set while a head is due, which check checks.
	expects bool
	check   HeadCheck
}

// NewConn returns a Conn that uses conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// ExpectHead makes the next bytes count as the head of a response. It is called before a request is written.
func (c *Conn) ExpectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expects, c.check = true, HeadCheck{}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if failed := c.feed(p[:n]); failed != nil {
		return 0, failed
	}
	if errors.Is(err, io.EOF) {
		if cutOff := c.writes.CheckEnd(); cutOff != nil {
			return n, cutOff
		}
	}
	return n, err
}

func (c *Conn) feed(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expects {
		return nil
	}
	err := c.check.Feed(p)
	c.expects = !c.check.Complete()
	return err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	written := c.writes.Begin()
	n, err := c.Conn.Write(p)
	written(err)
	return n, err
}

// Checked returns a transport that reads responses by the rules of this package, but for trailers; over TLS it checks
// no heads, and a connection that was cut off shows in its own protocol. It takes t over.
func Checked(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{t}
}

// Transport is a transport that reads responses by the rules of this package.
type Transport struct{ next *http.Transport }

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.next.RoundTrip(r.WithContext(ExpectHeads(r.Context())))
}

// ExpectHeads returns a context for a request over net/http that has connections with ExpectHead expect the head of
// its response.
func ExpectHeads(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(interface{ ExpectHead() }); ok {
			c.ExpectHead()
		}
	}})
}
