package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/tunnel"
	"github.com/medlarhold/medlarhold/internal/upstream"
)

// tunnel connects to an endpoint through another instance.
func (l *links) tunnel(ctx context.Context, address string) (net.Conn, error) {
	err := errNoRelay
	for _, r := range l.candidates(time.Now()) {
		if ctx.Err() != nil {
			break
		}
		var conn net.Conn
		if conn, err = l.tunnelThrough(ctx, r, address); err == nil {
			return conn, nil
		}
	}
	return nil, err
}

// tunnelThrough connects to an endpoint through a given instance.
func (l *links) tunnelThrough(ctx context.Context, r relay, address string) (net.Conn, error) {
	attempt, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	conn, err := tunnel.Dial(attempt, upstream.DialTCP, r.address, l.g.peerKeys()[0], address)
	if err != nil {
		if ctx.Err() == nil && !helpsOthers(err) {
			l.pauseRelay(r.id)
		}
		return nil, err
	}
	tcp, ok := conn.Conn.(*net.TCPConn)
	if !ok {
		conn.Close()
		return nil, errNoRelay
	}
	l.g.metrics.TunnelOpened()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.helped = r.id
	return &tunnelConn{TCPConn: tcp, relay: r.id, reportsEnd: conn.ReportsEnd}, nil
}

// helpsOthers reports whether an instance that did not open a tunnel may open one to another
// endpoint: the endpoint is down, or not known there yet.
func helpsOthers(err error) bool {
	var refused *tunnel.OpenError
	if !errors.As(err, &refused) {
		return false
	}
	return refused.Code == tunnel.CodeRefused || refused.Code == tunnel.CodeUnreachable || refused.Code == tunnel.CodeNotAllowed
}

// candidates returns the instances to ask for a tunnel, in this order: the one that helped last, then
// others at random, by turns of the local zone and of others.
func (l *links) candidates(now time.Time) []relay {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first, local, remote []relay
	for _, i := range rand.Perm(len(l.relays)) {
		switch r := l.relays[i]; {
		case now.Before(l.pausedUntil[r.id]):
		case r.id == l.helped:
			first = append(first, r)
		case r.zone == l.g.settings.Zone:
			local = append(local, r)
		default:
			remote = append(remote, r)
		}
	}
	out := first
	for i := 0; i < max(len(local), len(remote)) && len(out) < maxTunnelAttempts; i++ {
		out = append(out, local[min(i, len(local)):min(i+1, len(local))]...)
		out = append(out, remote[min(i, len(remote)):min(i+1, len(remote))]...)
	}
	return out[:min(len(out), maxTunnelAttempts)]
}

// pauseRelay keeps this instance from asking another one for a while.
func (l *links) pauseRelay(id entity.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedUntil[id] = time.Now().Add(relayPause)
	if l.helped == id {
		l.helped = ""
	}
}
