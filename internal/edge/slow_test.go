package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/backlog"
	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/testbed/loopback"
)

// callerBufferBytes is the receive buffer of callers in these tests: what the kernel buffers for
// them would hide that they don't read.
const callerBufferBytes = 4 << 10

// event is an event of a stream of a kilobyte.
var event = "id: 1\ndata: " + strings.Repeat("x", 1<<10-14) + "\n\n"

// dialSlow connects to a server with a small receive buffer.
func dialSlow(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := dialWithBuffer(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func dialWithBuffer(address string) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, callerBufferBytes)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return d.Dial("tcp", address)
}

// ask sends a request and reads nothing.
func ask(conn net.Conn, path, id, key string) {
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: %s\r\nContent-Length: 0\r\n\r\n", path, id, key)
}

// streamOf returns a script that sends a complete stream of n events of a kilobyte.
func streamOf(n int) func(net.Conn, *http.Request, string) {
	body := strings.Repeat(event, n)
	return func(conn net.Conn, req *http.Request, _ string) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("Id"), proof, len(body), body)
	}
}

// startServer serves a Server on a socket and returns its address.
func startServer(t testing.TB, server *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	web := &http.Server{Handler: server}
	go func() { _ = web.Serve(server.WrapListener(l, web)) }()
	t.Cleanup(func() { web.Close() })
	return l.Addr().String()
}

// awaitOutcomes waits until n slots were released and returns the outcomes.
func awaitOutcomes(t *testing.T, sched *fakeScheduler, n int) []Outcome {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		sched.mu.Lock()
		outcomes := append([]Outcome(nil), sched.outcomes...)
		sched.mu.Unlock()
		if len(outcomes) >= n {
			return outcomes
		}
		if time.Now().After(end) {
			t.Fatalf("%d slots were released, want %d", len(outcomes), n)
		}
	}
}

// A caller that reads nothing keeps no engine busy: its answer is taken and kept for it.
func TestSlotIsFreeBeforeTheCallerReads(t *testing.T) {
	const events = 150
	sched := newFakeScheduler(startEndpoint(t, streamOf(events)))
	server := newServer(sched)
	conn := dialSlow(t, startServer(t, server))
	ask(conn, "/stream/", "r1", "k")
	o := awaitOutcomes(t, sched, 1)[0]
	if !o.Served || o.Events != events || o.StreamDuration > time.Second {
		t.Errorf("got outcome %+v, want it served with %d events, without the time that the caller takes", o, events)
	}
	if held := server.Backlog().HeldBytes; held < 64<<10 {
		t.Errorf("%d bytes count as held, want most of the answer", held)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if data, err := io.ReadAll(res.Body); err != nil || len(data) != events<<10 {
		t.Errorf("got %d bytes and error %v, want the complete answer", len(data), err)
	}
	awaitEmpty(t, server, 1)
}

// awaitEmpty waits until nothing is held beside a number of open connections.
func awaitEmpty(t *testing.T, server *Server, open int64) {
	t.Helper()
	for end := time.Now().Add(testTimeout); server.Backlog().HeldBytes != open*intake.ConnBytes; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%+v is left after the end of all requests, want nothing held beside %d connections", server.Backlog(), open)
		}
	}
}

// A caller that reads, however slowly, is served; one write may take many times the write timeout.
func TestCallerThatReadsSlowlyIsServed(t *testing.T) {
	const events = 60
	sched := newFakeScheduler(startEndpoint(t, streamOf(events)))
	server := newServer(sched)
	server.opts.WriteTimeout = 700 * time.Millisecond // some times the interval at which TCP asks for room
	conn := dialSlow(t, startServer(t, server))
	ask(conn, "/stream/", "r1", "k")
	res, err := http.ReadResponse(bufio.NewReaderSize(slowReader{conn}, 512), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if data, err := io.ReadAll(res.Body); err != nil || len(data) != events<<10 {
		t.Errorf("got %d bytes and error %v, want the complete answer", len(data), err)
	}
}

// slowReader reads some bytes every few milliseconds.
type slowReader struct{ source io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return r.source.Read(p[:min(len(p), 512)])
}

// An engine ends an answer that stays unread. That is not its failure, and the stream isn't resumed:
// it is the caller that does not read.
func TestUnreadAnswerIsNotTheEndpointsFailure(t *testing.T) {
	ended := make(chan struct{})
	impatient := func(conn net.Conn, _ *http.Request, _ string) {
		defer close(ended)
		fmt.Fprint(conn, openHead)
		for {
			_ = conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
			if _, err := fmt.Fprint(conn, strings.Repeat(event, 64)); err != nil {
				return
			}
		}
	}
	sched := newFakeScheduler(startEndpoint(t, impatient), startEndpoint(t, impatient))
	server := newServer(sched)
	conn := dialSlow(t, startServer(t, server))
	ask(conn, "/resumable/", "r1", "k")
	<-ended
	if o := awaitOutcomes(t, sched, 1)[0]; o.Failed || o.Lost || !o.Cancelled || sched.next != 1 {
		t.Errorf("got outcome %+v after %d endpoints, want it cancelled after 1", o, sched.next)
	}
	awaitEmpty(t, server, 0)
}

// The engine ends an answer without a length regularly because it stays unread, and then the caller reads on:
// what has arrived is not the whole answer (MIXED, ORDER).
func TestAnswerThatWasEndedUnreadIsNotComplete(t *testing.T) {
	ended := make(chan struct{})
	impatient := func(conn net.Conn, _ *http.Request, _ string) {
		defer close(ended)
		fmt.Fprint(conn, openHead)
		for {
			_ = conn.SetWriteDeadline(time.Now().Add(fullPatience / 2))
			if _, err := fmt.Fprint(conn, event); err != nil {
				_ = conn.SetWriteDeadline(time.Time{})
				return
			}
		}
	}
	conn := dialSlow(t, startServer(t, newServer(newFakeScheduler(startEndpoint(t, impatient)))))
	ask(conn, "/stream/", "r1", "k")
	<-ended
	if body, err := readAnswer(bufio.NewReader(conn)); err == nil {
		t.Errorf("got an answer of %d bytes that looks complete, want it broken off", len(body))
	}
}

// The load: hundreds of callers of one organisation stop reading, with answers that are many times the memory,
// while one of another organisation reads slowly and others come and go.
func TestCrowdOfStoppedCallersHarmsNobody(t *testing.T) {
	const crowd, events, limit = 300, 100, 24 << 20
	sched := newFakeScheduler(startEndpoint(t, streamOf(events)))
	sched.endless = true
	sched.limit = 1e9
	sched.config.Organisations = []catalog.Organisation{{ID: "crowd", Keys: []string{"k"}}, {ID: "other", Keys: []string{"o"}}}
	sched.config.Index()
	server := newServer(sched)
	server.opts.WriteTimeout = 10 * time.Second
	server.account = intake.Budget{AccountBytes: limit, ReserveBytes: limit / 4}.NewAccount()
	address := startServer(t, server)
	var high int64
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				high = max(high, server.Backlog().HeldBytes)
			}
		}
	})
	slow := dialSlow(t, address)
	ask(slow, "/stream/", "slow", "o")
	for i := range crowd {
		ask(dialSlow(t, address), "/stream/", fmt.Sprintf("c%d", i), "k")
	}
	settled, deadline := time.Now().Add(time.Second), time.Now().Add(3*time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		// Beside the limit there is what is held for callers that are being let go.
		if held := server.Backlog().HeldBytes; time.Now().After(settled) && held > limit*9/8 {
			t.Fatalf("%d bytes are held a second after all have stopped, want no more than %d and some that are being let go", held, limit)
		}
		conn := dialSlow(t, address)
		ask(conn, "/stream/", fmt.Sprintf("o%d", i), "o")
		readAnswerOf(t, conn, events)
		conn.Close()
	}
	readAnswerOf(t, slow, events)
	close(stop)
	watch.Wait()
	if high > limit+crowd*backlog.SlowOverhead {
		t.Errorf("%d bytes were held, want no more than %d beside the overhead of %d callers", high, limit, crowd)
	}
	if server.Backlog().LetGo == 0 {
		t.Error("no caller was let go, want some: their answers don't fit into the memory")
	}
}

// readAnswerOf reads a complete stream of n events.
func readAnswerOf(t *testing.T, conn net.Conn, n int) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("a caller that reads got no answer: %v", err)
	}
	defer res.Body.Close()
	if data, err := io.ReadAll(res.Body); err != nil || len(data) != n<<10 {
		t.Errorf("a caller that reads got %d bytes and error %v, want the complete answer", len(data), err)
	}
}

// A caller that stops for good is let go, and its connection is reset: the answer can't look complete.
func TestStoppedCallerIsLetGo(t *testing.T) {
	for _, path := range []string{"/stream/", "/safe/"} {
		sched := newFakeScheduler(startEndpoint(t, streamOf(60)))
		server := newServer(sched)
		server.opts.WriteTimeout = 300 * time.Millisecond
		conn := dialSlow(t, startServer(t, server))
		ask(conn, path, "r1", "k")
		awaitOutcomes(t, sched, 1)
		for end := time.Now().Add(testTimeout); server.InFlight() > 0; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: the request of a caller that reads nothing has not ended", path)
			}
		}
		if data, err := io.ReadAll(conn); err == nil {
			t.Errorf("%s: got %d bytes and no error, want the connection reset", path, len(data))
		}
		if got := server.Backlog(); got.LetGo != 1 || got.HeldBytes != 0 {
			t.Errorf("%s: got %+v, want one caller let go and nothing held", path, got)
		}
	}
}

// An engine may read a long request body slowly. What waits in the kernel is no sign that it is gone.
func TestEngineMayReadTheBodySlowly(t *testing.T) {
	for _, size := range []int{1 << 20, 8 << 20} { // in the buffers of the kernel, and beyond them
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			got := make(chan int, 1)
			e := startEndpoint(t, respond(200, proof, "fine"))
			e.Address = loopback.Serve(t, func(conn net.Conn) { got <- answerLate(conn) })
			sched := newFakeScheduler(e)
			sched.config.Bounds.BodyBytes = 16 << 20
			server := newServer(sched)
			server.account = intake.NewAccount(32 << 20)
			if r := sendTo(t, server, "/unsafe/", strings.Repeat("x", size), nil); r.status != http.StatusOK {
				t.Errorf("got status %d, want 200", r.status)
			}
			if n := <-got; n != size {
				t.Errorf("the engine got %d bytes of the body, want %d", n, size)
			}
		})
	}
}

// answerLate answers a request that it begins to read late, and returns the size of its body.
func answerLate(conn net.Conn) int {
	time.Sleep(3 * time.Second) // longer than an unreachable engine may leave bytes unacknowledged
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return -1
	}
	data, _ := io.ReadAll(req.Body) // a short body shows by its length
	respond(200, proof, "fine")(conn, req, "")
	return len(data)
}

// The time limit of a write must not outlive its answer: a later request on the same connection is
// answered, also with a refusal, which sets no limit of its own.
func TestWriteTimeoutEndsWithTheAnswer(t *testing.T) {
	const writeTimeout = 100 * time.Millisecond
	sched := newFakeScheduler(startEndpoint(t, respond(200, proof, "fine")))
	server := newServer(sched)
	server.opts.WriteTimeout = writeTimeout
	conn, responses := dial(t, startServer(t, server))
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		ask(conn, "/safe/", "r1", "k")
		expectStatus(t, responses, want, false)
		time.Sleep(2 * writeTimeout)
	}
}
