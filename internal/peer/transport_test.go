package peer

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/standin/relay"
)

// TestOrder: messages to one instance arrive in order.
func TestOrder(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	const count = 2000
	for i := range count {
		a.Send("b", b.address, testMessage{N: i})
	}
	for i := range count {
		if got := receive(t, b.delivered); got != (delivery{"a", i}) {
			t.Fatalf("delivery %d: %+v", i, got)
		}
	}
}

// TestSilentConnection: a connection that goes silent is replaced, and what was
// not acknowledged is sent again.
func TestSilentConnection(t *testing.T) {
	a, b := newTestPeer(t, "a", withTimeout(300*time.Millisecond)), newTestPeer(t, "b")
	r, err := relay.Start("127.0.0.1:0", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	a.Send("b", r.Address(), testMessage{N: 1})
	receive(t, b.delivered)
	r.SilenceOpen()
	for n := 2; n <= 4; n++ {
		a.Send("b", r.Address(), testMessage{N: n})
	}
	seen := map[int]bool{}
	for len(seen) < 3 {
		seen[receive(t, b.delivered).n] = true
	}
	if got := receive(t, a.lost); got.peer != "b" {
		t.Fatalf("lost: %+v", got)
	}
	if len(a.failed) != 0 {
		t.Fatalf("failed: %+v", <-a.failed)
	}
}

// TestSilentConnectionCall: a question is asked again over a fresh connection.
func TestSilentConnectionCall(t *testing.T) {
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
		if err := a.Call(ctx, "b", r.Address(), "question", testMessage{}, &got); err != nil || got != "question" {
			t.Fatalf("%q, %v", got, err)
		}
		r.SilenceOpen()
	}
}

// TestDeadAddress: while one address takes connections and says nothing, Send
// doesn't block and messages to others go through.
func TestDeadAddress(t *testing.T) {
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
			t.Fatalf("delivery %d: %+v", i, got)
		}
	}
	<-sent
	if len(a.failed) != 0 {
		t.Fatal("given up before the exchange timeout")
	}
}

// TestUnreachable: all messages that wait for an instance out of reach fail
// together, whatever their number.
func TestUnreachable(t *testing.T) {
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

// TestForget: what still waits for a forgotten instance is reported, and its
// link ends.
func TestForget(t *testing.T) {
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

// TestAnswerToNewcomer: an instance that is connected can be answered before
// its address is known in another way.
func TestAnswerToNewcomer(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	a.Send("b", b.address, testMessage{N: 1})
	receive(t, b.delivered)
	b.Send("a", "", testMessage{N: 2})
	if got := receive(t, a.delivered); got != (delivery{"b", 2}) {
		t.Fatalf("%+v", got)
	}
	b.Send("stranger", "", testMessage{N: 3})
	if got := receive(t, b.failed); got != (delivery{"stranger", 3}) {
		t.Fatalf("%+v", got)
	}
}

// TestOutboxBound: what is beyond the bound of the outbox fails at once.
func TestOutboxBound(t *testing.T) {
	a := newTestPeer(t, "a", withTimeout(eventTimeout))
	dead := newBlackHole(t)
	for i := range outboxSize + 2 {
		a.Send("dead", dead.address, testMessage{N: i})
	}
	if got := receive(t, a.failed); got.n < outboxSize {
		t.Fatalf("message %d failed", got.n)
	}
}

// TestUnknownMessage: a message without a wire form fails.
func TestUnknownMessage(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	failed := make(chan any, 1)
	a.opts.OnSendFailed = func(_ entity.InstanceID, msg any) { failed <- msg }
	a.Send("b", b.address, struct{}{})
	if got := <-failed; got != struct{}{} {
		t.Fatalf("failed: %+v", got)
	}
}

// TestRefusedMessage: a message that the peer can't read fails, and the
// connection goes on.
func TestRefusedMessage(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	Register[string](a.opts.Registry, "note", ClassControl)
	failed := make(chan any, 1)
	a.opts.OnSendFailed = func(_ entity.InstanceID, msg any) { failed <- msg }
	a.Send("b", b.address, "not a note")
	if got := <-failed; got != "not a note" {
		t.Fatalf("failed: %+v", got)
	}
	a.Send("b", b.address, testMessage{N: 7})
	if got := receive(t, b.delivered); got.n != 7 {
		t.Fatalf("%+v", got)
	}
}

// TestOversizedMessage: a message over the size limit fails at the sender.
func TestOversizedMessage(t *testing.T) {
	a, b := newTestPeer(t, "a"), newTestPeer(t, "b")
	Register[string](a.opts.Registry, "text", ClassControl)
	failed := make(chan any, 1)
	a.opts.OnSendFailed = func(_ entity.InstanceID, msg any) { failed <- msg }
	a.Send("b", b.address, strings.Repeat("x", maxFrameBytes))
	<-failed
	a.Send("b", b.address, testMessage{N: 1})
	if got := receive(t, b.delivered); got.n != 1 {
		t.Fatalf("%+v", got)
	}
}

// TestSendAfterClose: a message for a link that ended with its transport fails,
// and its sender goes on.
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
		t.Errorf("failed: %+v", got)
	}
}
