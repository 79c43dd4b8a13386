package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A response without a length ends with its connection. The kernel ends the connections of a process that was
// killed in the same way, so such an end counts only if the endpoint lives on.

const (
	// endpointEndTime is within what time an endpoint that was killed has closed its listener and its connections, and
	// something in between that has accepted a connection for it notices that there is none.
	endpointEndTime = 15 * time.Millisecond
	// lostEndTime is within what time the ends of an endpoint's connections have arrived, if links lose packets: TCP
	// sends a lost one again after 200 ms and more.
	lostEndTime = 300 * time.Millisecond
)

// Reasons why the end of a connection is not the end of a response.
var (
	errEndpointGone  = fmt.Errorf("the endpoint has gone: %w", io.ErrUnexpectedEOF)
	errStoodStill    = fmt.Errorf("this process has stood still meanwhile: %w", io.ErrUnexpectedEOF)
	errEndUnreported = fmt.Errorf("the instance in between does not tell its own end from the endpoint's: %w", io.ErrUnexpectedEOF)
)

// openConns holds the open connections to each address. It is safe for concurrent use.
type openConns struct {
	mu        sync.Mutex
	byAddress map[string]map[*conn]struct{}
}

func (o *openConns) add(k *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byAddress == nil {
		o.byAddress = make(map[string]map[*conn]struct{})
	}
	if o.byAddress[k.address] == nil {
		o.byAddress[k.address] = make(map[*conn]struct{})
	}
	o.byAddress[k.address][k] = struct{}{}
}

func (o *openConns) remove(k *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byAddress[k.address], k)
	if len(o.byAddress[k.address]) == 0 {
		delete(o.byAddress, k.address)
	}
}

// others returns the other connections to the address of a connection.
func (o *openConns) others(of *conn) []*conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*conn
	for k := range o.byAddress[of.address] {
		if k != of {
			out = append(out, k)
		}
	}
	return out
}

// checkEnd returns nil if the end of a connection is the regular end of a response that only it delimits.
func (c *Client) checkEnd(ctx context.Context, k *conn, began time.Time) error {
	if c.opts.StoodStill != nil && c.opts.StoodStill(began) {
		return errStoodStill
	}
	if r, ok := k.Conn.(Relayed); ok && !r.ReportsEnd() {
		return errEndUnreported
	}
	if err := k.writes.CheckEnd(); err != nil {
		return err
	}
	if err := pause(ctx, endpointEndTime); err != nil {
		return err
	}
	accepts, err := c.acceptsConnections(ctx, k.address)
	if err != nil || accepts {
		return err
	}
	// The endpoint may have gone, and the ends of its other connections may have been lost on the way.
	for until := time.Now().Add(lostEndTime); c.keepsOthers(k); {
		if time.Now().After(until) {
			return nil
		}
		if err := pause(ctx, endpointEndTime); err != nil {
			return err
		}
	}
	return errEndpointGone
}

// pause waits for d. It returns an error if ctx ends before.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// acceptsConnections reports whether an endpoint accepts a new connection and keeps it; one that lives on may have too
// many, or accept no more of them because it will stop. The connection is used for later requests.
func (c *Client) acceptsConnections(ctx context.Context, address string) (bool, error) {
	k, failed := c.dial(ctx, address)
	if err := pause(ctx, endpointEndTime); err != nil || failed != nil {
		if failed == nil {
			k.Close()
		}
		return false, err
	}
	if !isOpen(k.Conn) {
		k.Close()
		return false, nil
	}
	k.usableUntil = time.Now().Add(c.opts.IdleTimeout)
	c.putIdle(k)
	return true, nil
}

// keepsOthers reports whether an endpoint has ended none of its other connections, of which there must be one.
func (c *Client) keepsOthers(ended *conn) bool {
	others := c.open.others(ended)
	for _, k := range others {
		if !isOpen(k.Conn) {
			return false
		}
	}
	return len(others) > 0
}

// isOpen reports whether the other end has not ended a connection, as far as the kernel knows, whatever is
// unread.
func isOpen(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})
	return err == nil && open
}
