package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/membership"
	"github.com/medlarhold/medlarhold/internal/core/reach"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/tunnel"
	"github.com/medlarhold/medlarhold/internal/upstream"
)

const (
	// directHeadStart is how long a direct connection may take before one through another instance
	// is tried as well: many round trips within a region.
	directHeadStart = 100 * time.Millisecond
	// directPreference is how much longer a direct connection may take if both are tried at once.
	directPreference = 30 * time.Millisecond
	// tunnelTimeout bounds one attempt to open a tunnel, and maxTunnelAttempts the attempts for one
	// connection, each through another instance.
	tunnelTimeout     = 160 * time.Millisecond
	maxTunnelAttempts = 4
	// relayPause is how long an instance that could not help is not asked again.
	relayPause = 2 * time.Second
	// maxTunnels is the number of tunnels that an instance keeps open for others, a third of what it
	// has descriptors for on the smallest machines; each takes two of them.
	maxTunnels = 400
)

// errNoRelay is returned if no other instance could be asked for a tunnel.
var errNoRelay = errors.New("no other instance to connect through")

// relay is another instance through which endpoints can be reached.
type relay struct {
	id      entity.InstanceID
	address string
	zone    entity.ZoneID
}

// links connects to endpoints, directly or through other instances. It is safe for concurrent use.
type links struct {
	g      *Instance
	direct func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	table  *reach.Table
	relays []relay
	// pausedUntil is the time until which an instance that could not help is not asked.
	pausedUntil map[entity.InstanceID]time.Time
	// helped is the instance that last opened a tunnel.
	helped entity.InstanceID
	// cutOff is what was last logged.
	cutOff bool
}

func newLinks(g *Instance) *links {
	l := &links{g: g, direct: g.adapter.Dial, table: reach.New(), pausedUntil: make(map[entity.InstanceID]time.Time)}
	if l.direct == nil {
		l.direct = upstream.DialTCP
	}
	return l
}

// tunnelConn is a connection to an endpoint through another instance.
type tunnelConn struct {
	*net.TCPConn
	relay      entity.InstanceID
	reportsEnd bool
}

// Relay implements upstream.Relayed.
func (t *tunnelConn) Relay() entity.InstanceID { return t.relay }

// ReportsEnd implements upstream.Relayed.
func (t *tunnelConn) ReportsEnd() bool { return t.reportsEnd }

// relayOf returns the instance through which a connection passes, empty for a direct one.
func relayOf(conn net.Conn) entity.InstanceID {
	if r, ok := conn.(upstream.Relayed); ok {
		return r.Relay()
	}
	return ""
}

// setRelays sets the instances through which endpoints can be reached, from a membership view.
func (l *links) setRelays(self entity.InstanceID, view *membership.View) {
	var relays []relay
	for _, z := range view.Zones {
		for _, m := range z.Members {
			if z.Reachable && m.ID != self && !m.Suspect && !m.Leaving {
				relays = append(relays, relay{id: m.ID, address: m.PeerAddress, zone: z.Zone})
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relays = relays
}

// usable reports whether an idle connection to an endpoint may be used: a direct one unless the
// endpoint is bypassed, one through another instance while it is and that one is a member.
func (l *links) usable(conn net.Conn, address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	via := relayOf(conn)
	if via == "" {
		return !l.table.IsBypassed(address) && !l.table.CutOff()
	}
	for _, r := range l.relays {
		if r.id == via {
			return l.table.IsBypassed(address)
		}
	}
	return false
}

// isCutOff reports whether this instance does not reach endpoints itself.
func (l *links) isCutOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.CutOff()
}

// dial connects to an endpoint.
func (l *links) dial(ctx context.Context, address string) (net.Conn, error) {
	l.mu.Lock()
	way := l.table.Next(time.Now(), address)
	l.mu.Unlock()
	if way == reach.Bypass {
		conn, err := l.tunnel(ctx, address)
		if err == nil {
			return conn, nil
		}
		way = reach.Both
	}
	headStart := directHeadStart
	if way == reach.Both {
		headStart = 0
	}
	return l.race(ctx, address, headStart)
}

func (l *links) recordReached(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table.Reached(time.Now(), address) {
		telemetry.Log(l.g.log, telemetry.EventEndpointReached, "address", address, "bypassed", l.table.Len())
	}
	l.logCutOff()
}

func (l *links) recordBypassed(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table.Bypassed(time.Now(), address) {
		telemetry.Log(l.g.log, telemetry.EventEndpointBypassed, "address", address, "through", l.helped, "bypassed", l.table.Len())
	}
	l.logCutOff()
}

// logCutOff logs when the instance begins or ends to be cut off. l.mu must be held.
func (l *links) logCutOff() {
	if now := l.table.CutOff(); now != l.cutOff {
		l.cutOff = now
		telemetry.Log(l.g.log, telemetry.EventCutOffChanged, "cut_off", now, "bypassed", l.table.Len())
	}
}

func (l *links) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Expire(now)
	for id, until := range l.pausedUntil {
		if now.After(until) {
			delete(l.pausedUntil, id)
		}
	}
	l.logCutOff()
}

// newTunnelServer returns the server of tunnels for other instances.
func (g *Instance) newTunnelServer() *tunnel.Server {
	return &tunnel.Server{
		Key: g.peerKeys()[0], MaxOpen: int64(min(maxTunnels, g.budget.Tunnels)), CutOff: g.links.isCutOff, Dial: g.links.direct, Tune: upstream.Tune,
		Allows: func(address string) bool { return g.state.endpoints.Load().HasAddress(address) },
	}
}
