package crowd

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxTime ends a crowd that nobody has stopped.
	maxTime = 5 * time.Minute
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// pause is the time between two connections of a client.
	pause = 10 * time.Millisecond
)

// Crowd is a number of clients that run. Its methods are safe for concurrent use.
type Crowd struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	opened atomic.Int64
}

// Start starts clients of the server at a loopback address. The clients take the behaviours in turn.
func Start(address string, r Request, clients int, behaviours ...Behaviour) *Crowd {
	if host, _, err := net.SplitHostPort(address); err != nil || !net.ParseIP(host).IsLoopback() {
		panic("crowd: " + address + " is not a loopback address")
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	c := &Crowd{cancel: cancel}
	for i := range clients {
		c.wg.Go(func() { c.run(ctx, address, r, behaviours[i%len(behaviours)]) })
	}
	return c
}

// Opened returns the number of connections that were opened so far.
func (c *Crowd) Opened() int64 { return c.opened.Load() }

// Stop ends the clients and their connections.
func (c *Crowd) Stop() {
	c.cancel()
	c.wg.Wait()
}

// run repeats a behaviour until ctx ends.
func (c *Crowd) run(ctx context.Context, address string, r Request, b Behaviour) {
	dialer := net.Dialer{Timeout: dialTimeout}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", address); err == nil {
			c.opened.Add(1)
			c.play(ctx, conn, r, b)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// play plays a behaviour on one connection.
func (c *Crowd) play(ctx context.Context, conn net.Conn, r Request, b Behaviour) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	b.play(&client{ctx: ctx, conn: conn, request: r})
}
