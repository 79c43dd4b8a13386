package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Heartbeat is the time between two writes of an engine's entry.
const Heartbeat = 1200 * time.Millisecond

// EngineOptions describe an engine.
type EngineOptions struct {
	ID, Service, Zone, Version string
	// Slots is the number of requests that run at a time, Queue that of those that wait.
	Slots, Queue int
	// Events is the number of events of a stream, Gap the time between two.
	Events int
	Gap    time.Duration
	// Unframed is set if answers have neither a length nor chunks, and end with their connection.
	Unframed bool
	// Handle, if set, answers a request that the engine runs in place of the stream or text. It
	// returns false for requests that it does not answer.
	Handle func(w http.ResponseWriter, r *http.Request) bool
}

// Engine is an engine or a plain service.
type Engine struct {
	EngineOptions
	c *Case
	d *Deployment

	mu       sync.Mutex
	address  string // where it listens
	known    string // the address in its entry
	server   *http.Server
	hijacked map[net.Conn]struct{}
	ended    chan struct{} // closed when the present process ends
	version  string
	born     int64
	seq      int64
	slots    chan struct{}
	waiting  int
	leaving  bool
	starts   int
	requests map[string]int // how often each request ran
}

// StartEngine starts an engine and writes its entry.
func (d *Deployment) StartEngine(o EngineOptions) (*Engine, error) {
	e := &Engine{EngineOptions: o, c: d.c, d: d, requests: make(map[string]int)}
	e.address = d.ports.NextAddress()
	e.known = e.address
	e.hijacked = make(map[net.Conn]struct{})
	d.c.OnEnd(e.Kill)
	return e, e.Start(o.Version)
}

// Address returns where the engine listens.
func (e *Engine) Address() string { return e.address }

// AnnounceAt changes the address in the engine's entry.
func (e *Engine) AnnounceAt(address string) {
	e.mu.Lock()
	e.known = address
	e.mu.Unlock()
	e.Announce()
}

// Start starts the engine's process with a software version, under the same id and address.
func (e *Engine) Start(version string) error {
	l, err := listen(e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.version, e.born, e.seq, e.leaving = version, time.Now().UnixMilli(), 0, false
	e.slots, e.waiting = make(chan struct{}, e.Slots), 0
	e.ended = make(chan struct{})
	e.starts++
	server := &http.Server{Handler: e}
	e.server = server
	ended := e.ended
	e.mu.Unlock()
	e.c.Log("engine %s starts at %s: version %s", e.ID, e.address, version)
	e.Announce()
	go func() { _ = server.Serve(l) }() // ends with Kill
	go e.beat(ended)
	return nil
}

// beat writes the entry until the process ends.
func (e *Engine) beat(ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(Heartbeat):
			e.Announce()
		}
	}
}

// Announce writes the engine's entry.
func (e *Engine) Announce() {
	e.mu.Lock()
	e.seq++
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	value, err := json.Marshal(map[string]any{
		"service": e.Service, "addr": e.known, "zone": e.Zone, "version": e.version, "slots": e.Slots,
		"state": state, "warmup-left-ms": 0, "seq": e.seq, "born": e.born,
	})
	e.mu.Unlock()
	if err != nil {
		panic(err)
	}
	e.d.Store.Put("keyed.servers", e.ID, value)
}

// Kill ends the process as SIGKILL does. The entry stays.
func (e *Engine) Kill() {
	e.mu.Lock()
	server, ended := e.server, e.ended
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	close(ended)
	server.Close()
	e.mu.Lock()
	for conn := range e.hijacked {
		conn.Close()
	}
	clear(e.hijacked)
	e.mu.Unlock()
	e.c.Log("engine %s is killed", e.ID)
}

// Runs returns how often each request ran.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int)
	for id, n := range e.requests {
		out[id] = n
	}
	return out
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	slots, ended, version := e.slots, e.ended, e.version
	e.mu.Unlock()
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		w.Header().Set("Medlarhold-Instance-Id", e.ID)
		return
	}
	id := r.Header.Get("Medlarhold-Request-Id")
	w.Header().Set("Medlarhold-Request-Id", id)
	if r.Header.Get("Medlarhold-Expect-Instance") != e.ID {
		w.Header().Set("Medlarhold-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.enter(r, slots, ended) {
		w.Header().Set("Medlarhold-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-slots }()
	e.mu.Lock()
	e.requests[id]++
	e.mu.Unlock()
	e.c.Log("engine %s (%s) runs %s, last event %q", e.ID, version, id, r.Header.Get("Last-Event-Id"))
	w.Header().Set("Medlarhold-Server-Stamp", "stamp-of-"+e.ID)
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("Medlarhold-Server-Load", fmt.Sprintf("%d,0,%d", len(slots), e.Slots))
	if e.Handle != nil && e.Handle(w, r) {
		return
	}
	if r.Header.Get("Medlarhold-Token-Usage") == "" {
		fmt.Fprintf(w, "%s for %s", id, r.Header.Get("Medlarhold-Tenant"))
		return
	}
	e.stream(w, r, version, ended)
}

// enter waits for a slot.
func (e *Engine) enter(r *http.Request, slots chan struct{}, ended <-chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
	}
	e.mu.Lock()
	full := e.waiting >= e.Queue
	if !full {
		e.waiting++
	}
	e.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case slots <- struct{}{}:
		return true
	case <-r.Context().Done():
	case <-ended:
	}
	return false
}

// stream writes the events after the last one that the caller has. Each says which version wrote it.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, version string, ended <-chan struct{}) {
	after := 0
	// Without a numeric event id, the stream starts at its beginning.
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
	w.Header().Set("Content-Type", "text/event-stream")
	if e.Unframed {
		e.streamUnframed(w, after, version, ended)
		return
	}
	for i := after + 1; i <= e.Events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
		_ = http.NewResponseController(w).Flush() // the next write shows a lost connection
		select {
		case <-time.After(e.Gap):
		case <-ended:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// streamUnframed is stream for an answer that ends with its connection.
func (e *Engine) streamUnframed(w http.ResponseWriter, after int, version string, ended <-chan struct{}) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	e.mu.Lock()
	e.hijacked[conn] = struct{}{}
	e.mu.Unlock()
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = w.Header().Write(&head) // a buffer takes all
	head.WriteString("\r\n")
	_, err = conn.Write(head.Bytes())
	for i := after + 1; i <= e.Events && err == nil; i++ {
		_, err = fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", i, version)
		select {
		case <-time.After(e.Gap):
		case <-ended:
			return // Kill closes the connection
		}
	}
	e.mu.Lock()
	delete(e.hijacked, conn)
	e.mu.Unlock()
	conn.Close()
}

// Leave makes the engine say that it is going to leave.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.Announce()
	e.c.Log("engine %s leaves", e.ID)
}

// Remove ends the engine and removes its entry.
func (e *Engine) Remove() {
	e.Kill()
	e.d.Store.Put("keyed.servers", e.ID, nil)
}
