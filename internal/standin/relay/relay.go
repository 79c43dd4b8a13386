package relay

import (
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// Relay forwards connections to one target.
type Relay struct {
	target   string
	listener net.Listener
	running  sync.WaitGroup

	mu       sync.Mutex
	faults   Faults
	changed  chan struct{} // closed when the faults change
	links    map[*link]struct{}
	accepted int
	closed   bool
	// cuts are the clients that are cut off, see CutClients.
	cuts map[*cut]struct{}
}

// Start starts a relay that listens on the address listen and forwards its connections to target.
func Start(listen, target string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Relay{target: target, listener: l, changed: make(chan struct{}), links: map[*link]struct{}{}, cuts: map[*cut]struct{}{}}
	r.running.Add(1)
	go r.accept()
	return r, nil
}

// Address returns the address of the relay as host:port.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// Close closes the relay and all connections, which end as those of a process that is killed: regularly.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.listener.Close()
	r.endLinks((*link).close)
	r.running.Wait()
}

func (r *Relay) accept() {
	defer r.running.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.running.Add(1)
		go func() {
			defer r.running.Done()
			r.forward(client)
		}()
	}
}

// forward forwards one connection until it ends.
func (r *Relay) forward(client net.Conn) {
	defer client.Close()
	if !r.admit() || r.cutsOff(client) {
		return
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer target.Close()
	l := newLink(r, client, target)
	if !r.add(l) {
		return
	}
	defer r.remove(l)
	l.run()
}

// admit counts a connection and reports whether it is to be forwarded.
func (r *Relay) admit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted++
	return !r.faults.Refuse
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.links[l] = struct{}{}
	return true
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}
