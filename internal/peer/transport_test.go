package peer

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/standin/relay"
)

// TestMessagesArriveInOrder checks that messages to one instance arrive in the
// order in which they were sent.
func TestMessagesArriveInOrder(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	const count = 2000
	for i := range count {
		a.Send("b", b.address, testMessage{N: i})
	}
	for i := range count {
		if got := receive(t, b.delivered); got != (peerEvent{"a", i}) {
			t.Fatalf("delivery %d: got %+v, want message %d from a", i, got, i)
		}
	}
}

// TestUnresponsiveConnectionIsReplaced checks that a connection which stays open
// but no longer carries data is closed after the exchange timeout, and that
// unacknowledged messages are sent again over a new one.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	a, b := newTestPeer(t, "a", withTimeout(300*time.Millisecond)), newTestPeer(t, "b")
	r, err := relay.Start("127.0.0.1:0", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	a.Send("b", r.Address(), testMessage{N: 1})
	receive(t, b.delivered)
	r.StallOpenConnections()
	for n := 2; n <= 4; n++ {
		a.Send("b", r.Address(), testMessage{N: n})
	}
	seen := map[int]bool{}
	for len(seen) < 3 {
		seen[receive(t, b.delivered).n] = true
	}
	if got := receive(t, a.disconnected); got.peer != "b" {
		t.Fatalf("got %+v disconnected, want b", got)
	}
	if len(a.failed) != 0 {
		t.Fatalf("got %+v failed, want no failure", <-a.failed)
	}
}

// TestCallIsRetriedOverNewConnection checks that a query that gets no reply over
// an unresponsive connection is sent again over a new one.
func TestCallIsRetriedOverNewConnection(t *testing.T) {
	a, b := newTestPeer(t, "a", withTimeout(300*time.Millisecond)), newTestPeer(t, "b")
	r, err := relay.Start("127.0.0.1:0", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	for range 2 {
		var got string
		if err := a.Call(ctx, "b", r.Address(), "query", testMessage{}, &got); err != nil || got != "query" {
			t.Fatalf("got %q, %v, want %q", got, err, "query")
		}
		r.StallOpenConnections()
	}
}

// TestUnresponsiveAddressBlocksNeitherSendNorOtherPeers checks that while one
// address accepts connections but never answers, Send doesn't block and messages to
// other instances are delivered.
func TestUnresponsiveAddressBlocksNeitherSendNorOtherPeers(t *testing.T) {
	a, b := newTestPeer(t, "a", withTimeout(eventTimeout)), newTestPeer(t, "b")
	dead := newBlackHole(t)
	a.Send("dead", dead.address, testMessage{N: -1})
	dead.waitDialled(t)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for i := range 100 {
			a.Send("dead", dead.address, testMessage{N: i})
			a.Send("b", b.address, testMessage{N: i})
		}
	}()
	for i := range 100 {
		if got := receive(t, b.delivered); got.n != i {
			t.Fatalf("delivery %d: got %+v, want message %d", i, got, i)
		}
	}
	<-sent
	if len(a.failed) != 0 {
		t.Fatal("got messages failed before the exchange timeout, want none")
	}
}

// TestMessagesToUnreachablePeerFailTogether checks that all messages that wait for
// an unreachable instance fail together, however many there are, rather than after
// one timeout each.
func TestMessagesToUnreachablePeerFailTogether(t *testing.T) {
	a := newTestPeer(t, "a", withTimeout(200*time.Millisecond))
	dead := newBlackHole(t)
	const count = 500
	for i := range count {
		a.Send("dead", dead.address, testMessage{N: i})
	}
	seen := map[int]bool{}
	for len(seen) < count {
		seen[receive(t, a.failed).n] = true
	}
}

// TestRemovePeer checks that messages which wait for a removed instance fail and
// that its link ends.
func TestRemovePeer(t *testing.T) {
	a := newTestPeer(t, "a", withTimeout(eventTimeout))
	dead := newBlackHole(t)
	for i := range 3 {
		a.Send("dead", dead.address, testMessage{N: i})
	}
	dead.waitDialled(t)
	a.RemovePeer("dead")
	seen := map[int]bool{}
	for len(seen) < 3 {
		seen[receive(t, a.failed).n] = true
	}
}

// TestSendToInboundPeer checks that a message can be sent without an address to
// an instance that has connected to this one, and to no other.
func TestSendToInboundPeer(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	a.Send("b", b.address, testMessage{N: 1})
	receive(t, b.delivered)
	b.Send("a", "", testMessage{N: 2})
	if got := receive(t, a.delivered); got != (peerEvent{"b", 2}) {
		t.Fatalf("got %+v delivered, want message 2 from b", got)
	}
	b.Send("unknown", "", testMessage{N: 3})
	if got := receive(t, b.failed); got != (peerEvent{"unknown", 3}) {
		t.Fatalf("got %+v failed, want message 3 to unknown", got)
	}
}

// TestOutboxBound checks that messages beyond outboxSize fail at once.
func TestOutboxBound(t *testing.T) {
	a := newTestPeer(t, "a", withTimeout(eventTimeout))
	dead := newBlackHole(t)
	for i := range outboxSize + 2 {
		a.Send("dead", dead.address, testMessage{N: i})
	}
	if got := receive(t, a.failed); got.n < outboxSize {
		t.Fatalf("got message %d failed, want %d or a later one", got.n, outboxSize)
	}
}

// TestUnknownMessage checks that a message of an unregistered type fails.
func TestUnknownMessage(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	failed := make(chan any, 1)
	a.opts.OnSendFailed = func(_ entity.InstanceID, msg any) { failed <- msg }
	a.Send("b", b.address, struct{}{})
	if got := <-failed; got != struct{}{} {
		t.Fatalf("got %+v failed, want the sent message", got)
	}
}

// TestRefusedMessage checks that a message which the peer can't decode fails, and
// that the connection stays usable.
func TestRefusedMessage(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	Register[string](a.opts.Registry, "note", CauseControl)
	failed := make(chan any, 1)
	a.opts.OnSendFailed = func(_ entity.InstanceID, msg any) { failed <- msg }
	a.Send("b", b.address, "not a note")
	if got := <-failed; got != "not a note" {
		t.Fatalf("got %+v failed, want the sent message", got)
	}
	a.Send("b", b.address, testMessage{N: 7})
	if got := receive(t, b.delivered); got.n != 7 {
		t.Fatalf("got message %d delivered, want 7", got.n)
	}
}

// TestOversizedMessage checks that a message above the size limit fails at the
// sender and that later messages are delivered.
func TestOversizedMessage(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	Register[string](a.opts.Registry, "text", CauseControl)
	failed := make(chan any, 1)
	a.opts.OnSendFailed = func(_ entity.InstanceID, msg any) { failed <- msg }
	a.Send("b", b.address, strings.Repeat("x", maxFrameBytes))
	<-failed
	a.Send("b", b.address, testMessage{N: 1})
	if got := receive(t, b.delivered); got.n != 1 {
		t.Fatalf("got message %d delivered, want 1", got.n)
	}
}

// TestSendAfterClose checks that Send returns after the transport was closed, and
// that the message fails.
func TestSendAfterClose(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	a.Send("b", b.address, testMessage{N: 1})
	receive(t, b.delivered)
	a.Close()
	sent := make(chan struct{})
	go func() {
		a.Send("b", b.address, testMessage{N: 2})
		close(sent)
	}()
	receive(t, sent)
	if got := receive(t, a.failed); got.peer != "b" {
		t.Errorf("got a failure for %s, want one for b", got.peer)
	}
}
