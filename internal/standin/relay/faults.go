package relay

import "time"

// Direction is what happens to bytes that go one way.
type Direction struct {
	// Stalled holds bytes back, and closes too, until it is unset.
	Stalled bool `json:"silent,omitempty"`
	// Delay is how late bytes are handed on.
	Delay time.Duration `json:"delay_ns,omitempty"`
}

// Faults are the faults that the relay shows. The zero value is a healthy relay.
type Faults struct {
	// Refuse closes new connections at once.
	Refuse bool `json:"refuse,omitempty"`
	// ToTarget and FromTarget hold for all connections, open and new.
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

// StallOpenConnections makes the connections that are open now go silent for good,
// without closing them. New ones work.
func (r *Relay) StallOpenConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.silenced = true
	}
	r.notify()
}

// CutConnections closes all open connections on both sides.
func (r *Relay) CutConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.close()
	}
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

// notify tells those who wait that the faults have changed. The lock is held.
func (r *Relay) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
