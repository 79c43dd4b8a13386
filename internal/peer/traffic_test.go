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

// controlMessage is a message of CauseControl, requestMessage one of CauseRequest.
type (
	controlMessage struct {
		Text string `json:"t"`
	}
	requestMessage struct {
		ID string `json:"i"`
	}
)

// countingPeer is an instance that counts the bytes of all sockets it accepts.
type countingPeer struct {
	transport *Transport
	metrics   *telemetry.Metrics
	sockets   telemetry.Traffic
	address   string
	messages  chan any
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	sockets telemetry.Traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.sockets.Conn(c), nil
}

func newCountingPeer(t *testing.T, id string) *countingPeer {
	t.Helper()
	r := NewRegistry()
	Register[controlMessage](r, "beat", CauseControl)
	Register[requestMessage](r, "ask", CauseRequest)
	r.RegisterQuery("lookup", CauseRequest)
	// The bytes of the sockets need counters of their own: the counters of platform
	// traffic of a second Metrics, which nothing else uses.
	p := &countingPeer{metrics: telemetry.NewMetrics(), messages: make(chan any, 1000)}
	p.sockets = telemetry.NewMetrics().PlatformControl
	p.transport = NewTransport(Options{
		Self: entity.Instance{ID: entity.InstanceID(id)}, Keys: func() [][]byte { return [][]byte{[]byte("key")} },
		ExchangeTimeout: 10 * time.Second, Registry: r,
		HandleMessage: func(_ entity.Instance, msg any) { p.messages <- msg },
		HandleQuery: func(context.Context, entity.Instance, string, json.RawMessage) (any, error) {
			return "found", nil
		},
		OnSendFailed: func(entity.InstanceID, any) { t.Error("a message was not delivered, want all delivered") },
		OnDisconnect: func(entity.InstanceID) {},
		Clock:        time.Now, Log: logr.Discard(), Metrics: p.metrics,
	})
	ln := listen(t)
	p.address = ln.Addr().String()
	go func() { _ = p.transport.Serve(countingListener{Listener: ln, sockets: p.sockets}) }()
	t.Cleanup(p.transport.Close)
	return p
}

// TestByteCountsMatchTheSockets checks that the bytes counted by cause add up to
// those that went through the socket of the receiving instance, and that both
// instances count the same bytes for each cause.
func TestByteCountsMatchTheSockets(t *testing.T) {
	a, b := newCountingPeer(t, "a"), newCountingPeer(t, "b")
	for i := range 50 {
		a.transport.Send("b", b.address, controlMessage{Text: fmt.Sprint(i)})
		a.transport.Send("b", b.address, requestMessage{ID: fmt.Sprint(i)})
		<-b.messages
		<-b.messages
	}
	var answer string
	if err := a.transport.Call(context.Background(), "b", b.address, "lookup", requestMessage{ID: "1"}, &answer); err != nil || answer != "found" {
		t.Fatalf("got %q, %v, want %q", answer, err, "found")
	}
	m := b.metrics
	// The other instance may read bytes before this one's socket has counted
	// their write, so the counts are compared until they agree.
	waitEqual(t, "received, by cause and through the socket",
		func() int64 { return m.PeerControl.Received.Count() + m.PeerRequest.Received.Count() }, b.sockets.Received.Count)
	waitEqual(t, "sent, by cause and through the socket",
		func() int64 { return m.PeerControl.Sent.Count() + m.PeerRequest.Sent.Count() }, b.sockets.Sent.Count)
	waitEqual(t, "request bytes, sent and received", a.metrics.PeerRequest.Sent.Count, m.PeerRequest.Received.Count)
	waitEqual(t, "control bytes, received and sent", a.metrics.PeerControl.Received.Count, m.PeerControl.Sent.Count)
	if m.PeerControl.Sent.Count() == 0 || m.PeerRequest.Sent.Count() == 0 {
		t.Error("got no bytes sent for a cause, want some for each")
	}
}

// waitEqual waits until two counts are equal.
func waitEqual(t *testing.T, name string, a, b func() int64) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); a() != b(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("%s: got %d and %d, want equal counts", name, a(), b())
			return
		}
	}
}
