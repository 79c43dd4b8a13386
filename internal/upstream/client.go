package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/endpointlimit"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// HeaderCodec writes the headers of requests to endpoints and parses those of responses.
type HeaderCodec interface {
	// SetDispatchHeaders adds the headers of one dispatch: the endpoint that the request
	// is for, the time that the endpoint may spend on it, and the id of the last event
	// received if the request resumes a stream.
	SetDispatchHeaders(h http.Header, to entity.EndpointID, remaining time.Duration, lastEventID string)
	// ReadResponse parses the status and the headers of a response.
	ReadResponse(status int, h http.Header) Meta
}

// Meta is the metadata parsed from the headers of a response.
type Meta struct {
	// RequestID is the request that the response belongs to, empty if not stated.
	RequestID entity.RequestID
	// HasProof reports whether the response carries the endpoint's proof of origin.
	HasProof bool
	// NotRun reports whether the endpoint states that it did not run the request.
	NotRun bool
	// Running and Waiting are the numbers of requests at the endpoint, valid if HasLoad is set.
	HasLoad          bool
	Running, Waiting int
	// Slowdown is how long work takes at the endpoint now, relative to usual; 0 if not stated.
	Slowdown float64
	// SlowdownUnreadable is set if the response states a slowdown that can't be read or can't be true.
	SlowdownUnreadable bool
	// Leaving reports whether the endpoint states that it will stop, so that it should
	// get no new requests.
	Leaving bool
	// RetryAfter is how long the endpoint, which declined the request, wants no further
	// requests from this instance; 0 if not stated.
	RetryAfter time.Duration
	// Through is the instance through which the response came, empty if it came directly.
	Through entity.InstanceID
	// Limit is what the response says about the rate that the endpoint takes.
	Limit endpointlimit.Reading
}

// Options of a Client.
type Options struct {
	HeaderCodec HeaderCodec
	// DialTimeout is the time limit for opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may be idle if its endpoint states no timeout.
	IdleTimeout time.Duration
	// Dial opens a connection; a TCP connection with the keep-alive settings of this package if it
	// is not set.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Usable, if set, reports whether an idle connection to an address may still be used.
	Usable func(conn net.Conn, address string) bool
	// OnDial, if set, is called for each connection that was opened.
	OnDial func()
	// StoodStill, if set, reports whether this process has stood still since a time, long enough for an
	// endpoint to end a response that is not read.
	StoodStill func(since time.Time) bool
	// OnLimitExceeded, if set, is called for each response that exceeded a limit.
	OnLimitExceeded func(Limit)
}

// Defaults of Options.
const (
	// DefaultDialTimeout allows for many round trips within a region.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is shorter than the idle timeouts that are common for endpoints.
	DefaultIdleTimeout = 4 * time.Second
)

// Client sends requests to endpoints and pools the connections. It is safe for
// concurrent use.
type Client struct {
	opts Options
	mu   sync.Mutex
	idle map[string][]*conn // by address, the most recently used last
	open openConns
}

// New returns a Client that has no connections yet.
func New(o Options) *Client {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.Dial == nil {
		o.Dial = DialTCP
	}
	return &Client{opts: o, idle: make(map[string][]*conn)}
}

// Close closes the idle connections. Those in use are not affected.
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

// CloseExpired closes connections whose idle timeout has passed at time now.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		usable := list[:0]
		for _, k := range list {
			if now.After(k.usableUntil) {
				k.Close()
				continue
			}
			usable = append(usable, k)
		}
		if len(usable) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = usable
	}
}

// connection returns a connection to an endpoint: an idle one that is reusable and not among those
// that have carried the request, or a new one.
func (c *Client) connection(ctx context.Context, address string, used *Carriers) (*conn, error) {
	for {
		k := c.takeIdle(address, used)
		if k == nil {
			return c.dial(ctx, address)
		}
		if time.Now().Before(k.usableUntil) && k.reusable() && c.usable(k) {
			return k, nil
		}
		k.Close()
	}
}

// usable reports whether an idle connection may still be used.
func (c *Client) usable(k *conn) bool {
	return c.opts.Usable == nil || c.opts.Usable(k.Conn, k.address)
}

// takeIdle takes the most recently used idle connection to an address that is not among used, nil if there is none.
func (c *Client) takeIdle(address string, used *Carriers) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if k := list[i]; !used.has(k) {
			c.idle[address] = slices.Delete(list, i, i+1)
			return k
		}
	}
	return nil
}

// putIdle makes a connection available for later requests.
func (c *Client) putIdle(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.address] = append(c.idle[k.address], k)
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	raw, err := c.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if c.opts.OnDial != nil {
		c.opts.OnDial()
	}
	k := newConn(raw, address)
	k.open = &c.open
	c.open.add(k)
	return k, nil
}
