package relay

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/medlarhold/medlarhold/internal/testbed/loopback"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// waitTimeout is a generous limit of a wait for an event.
const waitTimeout = 30 * time.Second

// echo starts a server that sends back what it receives and closes the connection when its client
// does.
func echo(t *testing.T) string {
	return loopback.Serve(t, func(c net.Conn) { _, _ = io.Copy(c, c) })
}

func startRelay(t *testing.T) *Relay {
	t.Helper()
	r, err := Start("127.0.0.1:0", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func expect(t *testing.T, c net.Conn, text string) {
	t.Helper()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Fatalf("read %q, %v, want %q", got, err, text)
	}
}

// expectNothing checks for 20 ms that no bytes arrive. It can miss bytes that arrive later, but
// never fails without cause.
func expectNothing(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %d bytes, %v; want none", n, err)
	}
	if err := c.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
}

func TestForwardsBytesAndEndOfStreamBothWays(t *testing.T) {
	r := startRelay(t)
	c := dial(t, r)
	long := strings.Repeat("0123456789", 100_000)
	go func() {
		_, _ = io.WriteString(c, long)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(c)
	if err != nil || string(got) != long {
		t.Fatalf("got %d bytes back, error %v, want the %d bytes sent and then the end of the stream", len(got), err, len(long))
	}
}

func TestCutClosesOpenConnections(t *testing.T) {
	r := startRelay(t)
	c := dial(t, r)
	send(t, c, "a")
	expect(t, c, "a")
	r.CutConnections()
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read after the cut: got %v, want a closed connection", err)
	}
	again := dial(t, r)
	send(t, again, "b")
	expect(t, again, "b")
}

func TestStallOpenConnectionsSparesNewOnes(t *testing.T) {
	r := startRelay(t)
	c := dial(t, r)
	send(t, c, "a")
	expect(t, c, "a")
	r.StallOpenConnections()
	send(t, c, "b")
	again := dial(t, r)
	send(t, again, "c")
	expect(t, again, "c")
	expectNothing(t, c)
}

func TestCutClientsSparesOthers(t *testing.T) {
	for _, stall := range []bool{false, true} {
		r := startRelay(t)
		cutOff, spared := dial(t, r), dial(t, r)
		for _, c := range []net.Conn{cutOff, spared} {
			send(t, c, "a")
			expect(t, c, "a")
		}
		heal := r.CutClients(func(client net.Conn) bool { return client.RemoteAddr().String() == cutOff.LocalAddr().String() }, stall)
		send(t, spared, "b")
		expect(t, spared, "b")
		if stall {
			send(t, cutOff, "b")
			expectNothing(t, cutOff)
		} else if _, err := cutOff.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read after the cut: got %v, want a closed connection", err)
		}
		heal()
	}
	r := startRelay(t)
	heal := r.CutClients(func(net.Conn) bool { return true }, false)
	if n, err := dial(t, r).Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("got %d bytes, error %v on a new connection of a client that is cut off, want it closed", n, err)
	}
	heal()
	again := dial(t, r)
	send(t, again, "c")
	expect(t, again, "c")
}

func TestStalledOrDelayedDirectionHoldsBytesBack(t *testing.T) {
	for _, f := range []Faults{
		{ToTarget: Direction{Stalled: true}},
		{FromTarget: Direction{Stalled: true}},
		{ToTarget: Direction{Delay: time.Hour}},
		{FromTarget: Direction{Delay: time.Hour}},
	} {
		r := startRelay(t)
		c := dial(t, r)
		r.SetFaults(f)
		send(t, c, "abc")
		expectNothing(t, c)
		r.SetFaults(Faults{})
		expect(t, c, "abc")
	}
}

func TestRefusedConnectionsAreClosed(t *testing.T) {
	r := startRelay(t)
	r.SetFaults(Faults{Refuse: true})
	if n, err := dial(t, r).Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %d bytes, %v; want a closed connection", n, err)
	}
	if r.AcceptedConnections() != 1 || r.OpenConnections() != 0 {
		t.Fatalf("got %d accepted and %d open connections, want 1 and 0", r.AcceptedConnections(), r.OpenConnections())
	}
}

func TestControlOverHTTP(t *testing.T) {
	r := startRelay(t)
	c := dial(t, r)
	send(t, c, "a")
	expect(t, c, "a")
	do := func(method, path, body string) string {
		w := httptest.NewRecorder()
		r.Control().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		if w.Code != http.StatusOK {
			t.Fatalf("%s %s: got status %d, want 200", method, path, w.Code)
		}
		return strings.TrimSpace(w.Body.String())
	}
	if got := do("GET", "/standin/connections", ""); got != `{"open":1,"accepted":1}` {
		t.Fatalf("got connections %s, want one open and one accepted", got)
	}
	do("PUT", "/standin/faults", `{"from_target":{"silent":true}}`)
	send(t, c, "b")
	expectNothing(t, c)
	do("PUT", "/standin/faults", `{}`)
	expect(t, c, "b")
	do("POST", "/standin/silence-open", "")
	do("POST", "/standin/cut", "")
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read after the cut: got %v, want a closed connection", err)
	}
}
