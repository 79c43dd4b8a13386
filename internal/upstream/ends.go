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

// endpointEndTime is within what time the ends of all connections of an endpoint that was killed arrive.
const endpointEndTime = 15 * time.Millisecond

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
	wait := time.NewTimer(endpointEndTime)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, other := range c.open.others(k) {
		if isOpen(other.Conn) {
			return nil
		}
	}
	fresh, err := c.dial(ctx, k.address)
	if err != nil {
		return errEndpointGone
	}
	fresh.usableUntil = time.Now().Add(c.opts.IdleTimeout)
	c.putIdle(fresh)
	return nil
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
