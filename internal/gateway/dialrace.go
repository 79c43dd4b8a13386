package gateway

import (
	"context"
	"net"
	"time"
)

// dialled is the result of one attempt to connect.
type dialled struct {
	conn net.Conn
	err  error
}

// race connects directly, and through another instance as well after a head start or once the direct
// attempt has failed. It returns the first connection; if both have begun at once, it waits a little
// for a direct one.
func (l *links) race(ctx context.Context, address string, headStart time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct := start(ctx, address, l.direct)
	d, done := receive(direct, headStart)
	if done && d.err == nil {
		return l.useDirect(address, d, nil), nil
	}
	tunnelled := start(ctx, address, l.tunnel)
	if done {
		return l.useTunnel(address, d.err, <-tunnelled)
	}
	select {
	case d := <-direct:
		if d.err == nil {
			return l.useDirect(address, d, tunnelled), nil
		}
		return l.useTunnel(address, d.err, <-tunnelled)
	case t := <-tunnelled:
		if t.err == nil {
			return l.preferDirect(address, direct, t, max(0, directPreference-headStart)), nil
		}
		d := <-direct
		if d.err != nil {
			return nil, d.err
		}
		return l.useDirect(address, d, nil), nil
	}
}

// useDirect returns a direct connection. other is an attempt whose result is not wanted.
func (l *links) useDirect(address string, d dialled, other chan dialled) net.Conn {
	discard(other)
	l.recordReached(address)
	return d.conn
}

// useTunnel returns the connection through another instance, after the direct attempt has failed; the
// error is that of the direct attempt.
func (l *links) useTunnel(address string, failure error, t dialled) (net.Conn, error) {
	if t.err != nil {
		return nil, failure
	}
	l.recordBypassed(address)
	return t.conn, nil
}

// preferDirect returns the direct connection if it is there within a time, otherwise t's.
func (l *links) preferDirect(address string, direct chan dialled, t dialled, wait time.Duration) net.Conn {
	d, done := receive(direct, wait)
	if done && d.err == nil {
		t.conn.Close()
		return l.useDirect(address, d, nil)
	}
	if !done {
		discard(direct)
	}
	l.recordBypassed(address)
	return t.conn
}

// start attempts to connect in the background.
func start(ctx context.Context, address string, connect func(context.Context, string) (net.Conn, error)) chan dialled {
	out := make(chan dialled, 1)
	go func() {
		conn, err := connect(ctx, address)
		out <- dialled{conn, err}
	}()
	return out
}

// receive waits for the result of an attempt, and reports whether there was one in time.
func receive(attempt chan dialled, wait time.Duration) (d dialled, done bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case d = <-attempt:
		return d, true
	case <-timer.C:
		return dialled{}, false
	}
}

// discard closes the connection of an attempt whose result is not wanted.
func discard(attempt chan dialled) {
	if attempt == nil {
		return
	}
	go func() {
		if d := <-attempt; d.conn != nil {
			d.conn.Close()
		}
	}()
}
