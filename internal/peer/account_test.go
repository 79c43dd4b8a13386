package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// beat is a message that no request caused, ask one that a request caused.
type (
	beat struct {
		Text string `json:"t"`
	}
	ask struct {
		ID string `json:"i"`
	}
)

// countedSide is one instance with the bytes of all its sockets.
type countedSide struct {
	transport *Transport
	metrics   *telemetry.Metrics
	sockets   telemetry.Traffic
	address   string
	got       chan any
}

// tappedListener counts the bytes of the connections it accepts.
type tappedListener struct {
	net.Listener
	sockets telemetry.Traffic
}

// Accept implements net.Listener.
func (l tappedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.sockets.Conn(c), nil
}

func newCountedSide(t *testing.T, id string) *countedSide {
	t.Helper()
	r := NewRegistry()
	Register[beat](r, "beat", ClassControl)
	Register[ask](r, "ask", ClassRequest)
	r.RegisterQuery("lookup", ClassRequest)
	// The platform's counters serve as a second pair for the sockets.
	s := &countedSide{metrics: telemetry.NewMetrics(), got: make(chan any, 1000)}
	s.sockets = telemetry.NewMetrics().PlatformControl
	s.transport = NewTransport(Options{
		Self: entity.Instance{ID: entity.InstanceID(id)}, Keys: func() [][]byte { return [][]byte{[]byte("key")} },
		ExchangeTimeout: 10 * time.Second, Registry: r,
		Deliver: func(_ entity.Instance, msg any) { s.got <- msg },
		HandleQuery: func(context.Context, entity.Instance, string, json.RawMessage) (any, error) {
			return "found", nil
		},
		OnSendFailed: func(entity.InstanceID, any) { t.Error("a message was not delivered") }, OnDisconnect: func(entity.InstanceID) {},
		Clock: time.Now, Log: logr.Discard(), Metrics: s.metrics,
	})
	ln := listen(t)
	s.address = ln.Addr().String()
	go func() { _ = s.transport.Serve(tappedListener{Listener: ln, sockets: s.sockets}) }()
	t.Cleanup(s.transport.Close)
	return s
}

// TestBytesAreThoseOfTheSockets compares the bytes by cause with those that
// went through the receiving side's socket.
func TestBytesAreThoseOfTheSockets(t *testing.T) {
	a, b := newCountedSide(t, "a"), newCountedSide(t, "b")
	for i := range 50 {
		a.transport.Send("b", b.address, beat{Text: fmt.Sprint(i)})
		a.transport.Send("b", b.address, ask{ID: fmt.Sprint(i)})
		<-b.got
		<-b.got
	}
	var answer string
	if err := a.transport.Call(context.Background(), "b", b.address, "lookup", ask{ID: "1"}, &answer); err != nil || answer != "found" {
		t.Fatal(answer, err)
	}
	m := b.metrics
	// A socket counts a write after the other side may have read it.
	equal(t, "received, by cause and through the socket",
		func() int64 { return m.PeerControl.Received.Count() + m.PeerRequest.Received.Count() }, b.sockets.Received.Count)
	equal(t, "sent, by cause and through the socket",
		func() int64 { return m.PeerControl.Sent.Count() + m.PeerRequest.Sent.Count() }, b.sockets.Sent.Count)
	equal(t, "request bytes, sent and received", a.metrics.PeerRequest.Sent.Count, m.PeerRequest.Received.Count)
	equal(t, "control bytes, received and sent", a.metrics.PeerControl.Received.Count, m.PeerControl.Sent.Count)
	if m.PeerControl.Sent.Count() == 0 || m.PeerRequest.Sent.Count() == 0 {
		t.Error("a cause has no bytes")
	}
}

// equal waits until two counts are the same.
func equal(t *testing.T, what string, a, b func() int64) {
	t.Helper()
	for end := time.Now().Add(guard); a() != b(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("%s: %d and %d", what, a(), b())
			return
		}
	}
}
