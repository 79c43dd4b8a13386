package relay

import (
	"maps"
	"net"
	"slices"
	"time"
)

// Direction holds the faults of the bytes that flow in one direction.
type Direction struct {
	// Stalled holds back bytes, and the end of the connection too, until it is unset.
	Stalled bool `json:"silent,omitempty"`
	// Delay is the time by which bytes are delayed.
	Delay time.Duration `json:"delay_ns,omitempty"`
}

// Faults are the faults that the relay injects. The zero value is a healthy relay.
type Faults struct {
	// Refuse closes new connections at once.
	Refuse bool `json:"refuse,omitempty"`
	// ToTarget and FromTarget apply to all connections, open and new.
	ToTarget   Direction `json:"to_target,omitzero"`
	FromTarget Direction `json:"from_target,omitzero"`
}

// SetFaults replaces the faults.
func (r *Relay) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	r.notify()
}

// StallOpenConnections stops forwarding on the connections that are open now, without closing
// them. Connections opened later are not affected.
func (r *Relay) StallOpenConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.stalled = true
	}
	r.notify()
}

// CutConnections resets all open connections on both sides.
func (r *Relay) CutConnections() { r.endLinks((*link).reset) }

func (r *Relay) endLinks(end func(l *link)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		end(l)
	}
}

// cut is a set of clients that are cut off.
type cut struct{ matches func(client net.Conn) bool }

// CutClients cuts the clients off whose connections match until heal is called: new connections are
// closed at once, and open ones reset or, if stall is set, forward nothing more.
func (r *Relay) CutClients(matches func(client net.Conn) bool, stall bool) (heal func()) {
	c := &cut{matches}
	r.mu.Lock()
	r.cuts[c] = struct{}{}
	open := slices.Collect(maps.Keys(r.links))
	r.mu.Unlock()
	for _, l := range open {
		if matches(l.client) {
			r.cutLink(l, stall)
		}
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cuts, c)
	}
}

// cutLink closes or stalls an open connection.
func (r *Relay) cutLink(l *link, stall bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !stall {
		l.reset()
		return
	}
	l.stalled = true
	r.notify()
}

// cutsOff reports whether a client is cut off.
func (r *Relay) cutsOff(client net.Conn) bool {
	r.mu.Lock()
	cuts := slices.Collect(maps.Keys(r.cuts))
	r.mu.Unlock()
	return slices.ContainsFunc(cuts, func(c *cut) bool { return c.matches(client) })
}

// OpenConnections returns the number of open connections.
func (r *Relay) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// AcceptedConnections returns the number of connections accepted since the start.
func (r *Relay) AcceptedConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// notify wakes the goroutines that wait for a change of the faults. The caller holds the lock.
func (r *Relay) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
