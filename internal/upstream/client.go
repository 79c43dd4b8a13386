package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// HeaderCodec writes and reads the headers between the system and endpoints.
type HeaderCodec interface {
	// SetDispatchHeaders names the endpoint that the request is for, how long it may work
	// on it, and the last event that a resumed stream already has.
	SetDispatchHeaders(h http.Header, to entity.EndpointID, remaining time.Duration, lastEvent string)
	// ReadResponse reads what the headers of an answer say.
	ReadResponse(status int, h http.Header) Meta
}

// Meta is what the headers of an answer say.
type Meta struct {
	// RequestID is the request that the answer belongs to, empty if not stated.
	RequestID entity.RequestID
	// HasProof says that the answer carries the endpoint's proof of origin.
	HasProof bool
	// NotRun says that the endpoint did not run the request.
	NotRun bool
	// Running and Waiting are the endpoint's load, where HasLoad is set.
	HasLoad          bool
	Running, Waiting int
}

// Options of a Client.
type Options struct {
	HeaderCodec HeaderCodec
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may stay unused whose endpoint names no time.
	IdleTimeout time.Duration
	// OnDial, if set, is told of each connection that was opened.
	OnDial func()
}

// Defaults of Options.
const (
	// DefaultDialTimeout is many round trips within a region.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is below what endpoints commonly allow.
	DefaultIdleTimeout = 4 * time.Second
)

// Client keeps the connections to endpoints. It is safe for concurrent use.
type Client struct {
	opts   Options
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn // by address, the latest used last
}

// New returns a Client without connections.
func New(o Options) *Client {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	c := &Client{opts: o, idle: make(map[string][]*conn)}
	c.dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
	c.dialer.Control = setUserTimeout
	return c
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, k := range list {
			k.Close()
		}
	}
	c.idle = make(map[string][]*conn)
}

// CloseExpired closes connections that were idle for too long.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if now.After(k.usableUntil) {
				k.Close()
				continue
			}
			kept = append(kept, k)
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// connection returns a connection to an endpoint: a kept one that is quiet and
// open, or a new one.
func (c *Client) connection(ctx context.Context, address string) (*conn, error) {
	for {
		k := c.takeIdle(address)
		if k == nil {
			return c.dial(ctx, address)
		}
		if time.Now().Before(k.usableUntil) && k.reusable() {
			return k, nil
		}
		k.Close()
	}
}

func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return k
}

// putIdle puts a connection back for later use.
func (c *Client) putIdle(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.address] = append(c.idle[k.address], k)
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.opts.OnDial != nil {
		c.opts.OnDial()
	}
	return newConn(raw, address), nil
}
