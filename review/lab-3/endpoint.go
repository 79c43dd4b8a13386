package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two writes of an endpoint's entry.
const heartbeat = 1200 * time.Millisecond

// endpoint is a stand-in for an engine or a plain service. It answers at one address, in one lifetime after the other.
type endpoint struct {
	l           *lab
	id, service string
	slots       int
	address     string
	// handle answers a request that is meant for the endpoint.
	handle func(e *endpoint, w http.ResponseWriter, r *http.Request)

	running atomic.Int64
	mu      sync.Mutex
	version string
	born    int64
	seq     int64
	server  *http.Server
	life    context.Context
	end     context.CancelFunc
	beats   context.CancelFunc // ends the heartbeats
}

// addEndpoint starts an endpoint.
func (l *lab) addEndpoint(id, service, version string, slots int, handle func(e *endpoint, w http.ResponseWriter, r *http.Request)) (*endpoint, error) {
	port, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	e := &endpoint{l: l, id: id, service: service, slots: slots, address: fmt.Sprintf("127.0.0.1:%d", port), handle: handle}
	return e, e.start(version)
}

// start begins a lifetime of the endpoint: it listens and writes its entry.
func (e *endpoint) start(version string) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.version, e.born, e.seq = version, max(time.Now().UnixMilli(), e.born+1), 0
	e.life, e.end = context.WithCancel(context.Background())
	beating, stopBeats := context.WithCancel(e.life)
	e.beats = stopBeats
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	server := e.server
	e.running.Store(0)
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with the lifetime
	e.announce("ready")
	go func() {
		for beat := time.NewTicker(heartbeat); ; {
			select {
			case <-beating.Done():
				beat.Stop()
				return
			case <-beat.C:
				e.announce("ready")
			}
		}
	}()
	e.l.note("%s starts, version %s", e.id, version)
	return nil
}

// crash ends the lifetime as the end of the process does.
func (e *endpoint) crash() {
	e.mu.Lock()
	server, end := e.server, e.end
	e.mu.Unlock()
	end()
	server.Close()
	e.l.note("%s crashes", e.id)
}

// crashFor ends the lifetime and begins the next one, with a version, after a while.
func (e *endpoint) crashFor(away time.Duration, version string) {
	e.crash()
	time.AfterFunc(away, func() {
		if err := e.start(version); err != nil {
			e.l.note("%s can't start: %v", e.id, err)
		}
	})
}

// announce writes the entry.
func (e *endpoint) announce(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	value, err := json.Marshal(map[string]any{
		"service": e.service, "addr": e.address, "zone": theZone, "version": e.version, "slots": e.slots, "state": state,
		"warmup-left-ms": 0, "seq": e.seq, "born": e.born,
	})
	if err != nil {
		panic(err) // it can be encoded
	}
	e.l.store.Put("keyed.servers", e.id, value)
}

// ServeHTTP answers a request.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Medlarhold-Request-Id", requestID(r))
	if expected := r.Header.Get("Medlarhold-Expect-Instance"); expected != e.id {
		h.Set("Medlarhold-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := e.running.Add(1)
	defer e.running.Add(-1)
	h.Set("Medlarhold-Server-Load", fmt.Sprintf("%d,%d,%d", min(int(running), e.slots), max(0, int(running)-e.slots), e.slots))
	e.handle(e, w, r)
}

// leaveSilently removes the entry, as an endpoint does that never reports that it drains. It goes on serving.
func (e *endpoint) leaveSilently() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beats()
	e.l.store.Put("keyed.servers", e.id, nil)
	e.l.note("the entry of %s is removed", e.id)
}

// stamp marks an answer as the endpoint's.
func (e *endpoint) stamp(w http.ResponseWriter) {
	w.Header().Set("Medlarhold-Server-Stamp", "stamp."+e.id)
}

// streamEvents answers with a stream that goes on after the event that the request names, up to a number of events. Each
// event holds the endpoint's version.
func (e *endpoint) streamEvents(w http.ResponseWriter, r *http.Request, events int, every time.Duration) {
	life, version := e.lifetime()
	after := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after) // without an id, the stream starts at its beginning
	e.l.note("%s, version %s, runs %s after event %d", e.id, version, requestID(r), after)
	e.stamp(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
		_ = http.NewResponseController(w).Flush() // a caller that has gone ends the request's context
		select {
		case <-time.After(every):
		case <-life.Done():
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func requestID(r *http.Request) string { return r.Header.Get("Medlarhold-Request-Id") }

// lifetime returns the context of the present lifetime, and its version.
func (e *endpoint) lifetime() (life context.Context, version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life, e.version
}
