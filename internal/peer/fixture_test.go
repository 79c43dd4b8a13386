package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	oldKey = "old-key-0123456789"
	newKey = "new-key-0123456789"
)

// eventTimeout is the time within which an expected event must occur, or the
// test fails. It is long, because the tests don't measure speed.
const eventTimeout = 30 * time.Second

// testMessage is the message type that these tests send.
type testMessage struct {
	N int `json:"n"`
}

// peerEvent is a message that was delivered, one that could not be, or a lost
// connection, with the instance on the other side. For a lost connection n is 0.
type peerEvent struct {
	peer entity.InstanceID
	n    int
}

// testPeer is a listening transport that records delivered and failed messages
// and lost connections.
type testPeer struct {
	*Transport
	address                         string
	delivered, failed, disconnected chan peerEvent
}

// option changes the options of a test peer before it starts.
type option func(*Options)

func withKeys(keys ...string) option {
	return func(o *Options) {
		o.Keys = func() (all [][]byte) {
			for _, k := range keys {
				all = append(all, []byte(k))
			}
			return all
		}
	}
}

func withTimeout(d time.Duration) option { return func(o *Options) { o.ExchangeTimeout = d } }

func withTLS(server, client *tls.Config) option {
	return func(o *Options) { o.ServerTLS, o.ClientTLS = server, client }
}

// newTestPeer starts a transport that is closed at the end of the test.
func newTestPeer(t *testing.T, id entity.InstanceID, options ...option) *testPeer {
	t.Helper()
	p := &testPeer{delivered: make(chan peerEvent, 10_000), failed: make(chan peerEvent, 10_000), disconnected: make(chan peerEvent, 100)}
	ln := listen(t)
	registry := NewRegistry()
	Register[testMessage](registry, "note", CauseControl)
	opts := Options{
		Self: entity.Instance{ID: id, Zone: "a", PeerAddress: ln.Addr().String()}, ExchangeTimeout: 10 * time.Second, Registry: registry,
		HandleMessage: func(from entity.Instance, msg any) { p.delivered <- peerEvent{from.ID, msg.(testMessage).N} },
		OnSendFailed:  func(to entity.InstanceID, msg any) { p.failed <- peerEvent{to, msg.(testMessage).N} },
		OnDisconnect:  func(to entity.InstanceID) { p.disconnected <- peerEvent{peer: to} },
		HandleQuery: func(_ context.Context, _ entity.Instance, method string, _ json.RawMessage) (any, error) {
			return method, nil
		},
		Clock: time.Now, Log: logr.Discard(), Metrics: telemetry.NewMetrics(),
	}
	withKeys(newKey)(&opts)
	for _, o := range options {
		o(&opts)
	}
	p.Transport, p.address = NewTransport(opts), ln.Addr().String()
	served := make(chan error, 1)
	go func() { served <- p.Serve(ln) }()
	t.Cleanup(func() {
		p.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return p
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// blackHole accepts connections and never sends anything over them.
type blackHole struct {
	address  string
	accepted chan net.Conn
}

func newBlackHole(t *testing.T) *blackHole {
	t.Helper()
	ln := listen(t)
	b := &blackHole{address: ln.Addr().String(), accepted: make(chan net.Conn, 100)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			b.accepted <- conn
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
		close(b.accepted)
		for conn := range b.accepted {
			conn.Close()
		}
	})
	return b
}

// waitDialled waits until a connection was accepted.
func (b *blackHole) waitDialled(t *testing.T) {
	t.Helper()
	select {
	case conn := <-b.accepted:
		t.Cleanup(func() { conn.Close() })
	case <-time.After(eventTimeout):
		t.Fatal("got no connection, want one")
	}
}

// receive returns the next event of a channel.
func receive[T any](t *testing.T, events <-chan T) (event T) {
	t.Helper()
	select {
	case event = <-events:
	case <-time.After(eventTimeout):
		t.Fatal("got no event, want one")
	}
	return event
}

// blockingQuery returns a query handler that sends to started and returns once
// release is closed.
func blockingQuery(
	started chan<- struct{}, release <-chan struct{},
) func(context.Context, entity.Instance, string, json.RawMessage) (any, error) {
	return func(context.Context, entity.Instance, string, json.RawMessage) (any, error) {
		started <- struct{}{}
		<-release
		return struct{}{}, nil
	}
}
