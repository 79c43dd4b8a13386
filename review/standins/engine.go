//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for an engine. It serves one request at a time on a channel, runs slots of
// them at once and lets a few more wait.
type engine struct {
	w                          *world
	id, service, zone, version string
	slots, queue               int
	work                       time.Duration
	// events is the number of events of a stream, gap the time between two.
	events int
	gap    time.Duration
	// extra is the share of answers of which a second copy is sent late, unframed that of the
	// streams that have neither a length nor chunks.
	extra, unframed func() float64
	// refuses reports whether the engine is unreachable over a channel.
	cut func(conn net.Conn) bool

	// keepAlive is the header that states how long a channel may be idle, empty for none.
	keepAlive string
	// silentFor and silentEvery make the engine fall silent for a while at times, 0 for never.
	silentFor, silentEvery time.Duration
	silentUntil            time.Time

	listener net.Listener
	born     int64
	stop     chan struct{}

	mu      sync.Mutex
	seq     int
	running int
	waiting int
	free    *sync.Cond
	runs    map[string]int
	rejects map[string]int
	conns   map[net.Conn]bool
	// extras counts the second copies that were sent.
	extras int
}

func none() float64 { return 0 }

// addEngine starts an engine.
func (w *world) addEngine(e *engine) *engine {
	e.w, e.born = w, time.Now().UnixMilli()
	e.runs, e.rejects, e.conns, e.stop = map[string]int{}, map[string]int{}, map[net.Conn]bool{}, make(chan struct{})
	e.free = sync.NewCond(&e.mu)
	if e.extra == nil {
		e.extra = none
	}
	if e.unframed == nil {
		e.unframed = none
	}
	if e.version == "" {
		e.version = "v1"
	}
	if e.silentFor > 0 {
		e.listener = shortQueueListener()
		go e.fallSilentAtTimes()
	} else {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		e.listener = l
	}
	w.engines = append(w.engines, e)
	e.announce()
	go e.beat()
	go e.accept()
	return e
}

// announce writes the engine's entry.
func (e *engine) announce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	value, err := json.Marshal(map[string]any{
		"service": e.service, "addr": e.listener.Addr().String(), "zone": e.zone, "version": e.version, "slots": e.slots,
		"state": "ready", "warmup-left-ms": 0, "seq": e.seq, "born": e.born,
	})
	must(err)
	e.w.store.Put("keyed.servers", e.id, value)
}

// beat writes the entry as often as the settings say.
func (e *engine) beat() {
	tick := time.NewTicker(1200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-tick.C:
			e.announce()
		}
	}
}

func (e *engine) close() {
	close(e.stop)
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

func (e *engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.awaitSound()
		go e.serve(conn)
	}
}

// isCut reports whether the channel's machine does not reach the engine.
func (e *engine) isCut(conn net.Conn) bool { return e.cut != nil && e.cut(conn) }

// reset resets a channel.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func (e *engine) serve(conn net.Conn) {
	if e.isCut(conn) {
		reset(conn)
		return
	}
	e.mu.Lock()
	e.conns[conn] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReader(conn)
	var late []byte // a second copy of the last answer
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := conn.Write(late); err != nil {
				return
			}
			e.mu.Lock()
			e.extras++
			e.mu.Unlock()
			late = nil
		}
		answer, keep := e.handle(conn, r, body)
		if !keep {
			return
		}
		if rand.Float64() < e.extra() {
			late = answer
		}
	}
}

// handle answers a request, and returns the answer and whether the channel is kept.
func (e *engine) handle(conn net.Conn, r *http.Request, body []byte) (answer []byte, keep bool) {
	id := r.Header.Get("Medlarhold-Request-Id")
	if r.URL.Path == "/health" || id == "" {
		return e.write(conn, "200 OK", "Medlarhold-Instance-Id: "+e.id+"\r\n", "")
	}
	if expect := r.Header.Get("Medlarhold-Expect-Instance"); expect != "" && expect != e.id {
		return e.write(conn, "421 Misdirected Request", "Medlarhold-Request-Id: "+id+"\r\nMedlarhold-Instance-Id: "+e.id+"\r\n", "")
	}
	if !e.admit() {
		e.mu.Lock()
		e.rejects[id]++
		e.mu.Unlock()
		return e.write(conn, "503 Service Unavailable", "Medlarhold-Request-Id: "+id+"\r\nMedlarhold-Not-Run: 1\r\n", "")
	}
	defer e.leave()
	e.mu.Lock()
	e.runs[id]++
	n := e.runs[id]
	load := fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.slots)
	e.mu.Unlock()
	e.w.log("%s: runs %s (%s %s, %d bytes), run %d", e.id, id, r.Method, r.URL.Path, len(body), n)
	head := "Medlarhold-Request-Id: " + id + "\r\nMedlarhold-Server-Stamp: stamp." + e.id + "." + id + "\r\nMedlarhold-Server-Load: " + load + "\r\n" + e.keepAlive
	if e.events > 0 {
		return nil, e.stream(conn, r, head)
	}
	time.Sleep(e.work/2 + time.Duration(rand.Int63n(int64(e.work))))
	return e.write(conn, "200 OK", head, "done "+id+"\n")
}

func (e *engine) write(conn net.Conn, status, head, body string) (answer []byte, keep bool) {
	answer = fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
	_, err := conn.Write(answer)
	return answer, err == nil
}

// admit waits for a slot, and returns false if too many wait.
func (e *engine) admit() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.slots {
		if e.waiting >= e.queue {
			return false
		}
		e.waiting++
		for e.running >= e.slots {
			e.free.Wait()
		}
		e.waiting--
	}
	e.running++
	return true
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.free.Signal()
}

// stream sends the events after Last-Event-Id. It drops the request when its channel closes.
func (e *engine) stream(conn net.Conn, r *http.Request, head string) (keep bool) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	unframed := rand.Float64() < e.unframed()
	head = "HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\n"
	if !unframed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return false
	}
	id := r.Header.Get("Medlarhold-Request-Id")
	for i := after + 1; i <= e.events; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s %s %d of %d\n\n", i, e.version, id, i, e.events)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if e.isCut(conn) {
			reset(conn)
			return false
		}
		if _, err := io.WriteString(conn, event); err != nil {
			e.w.log("%s: the channel of %s has ended after %d events", e.id, id, i-1)
			return false
		}
		time.Sleep(e.gap)
	}
	if unframed {
		e.w.log("%s: sent all of %s, without length or chunks", e.id, id)
		return false // the end of the channel is the end of the answer
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// dropped reports whether an error is that of an ended channel.
func dropped(err error) bool {
	return err != nil && !errors.Is(err, io.EOF) && !strings.Contains(err.Error(), "timeout")
}
