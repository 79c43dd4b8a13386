package control

import (
	"context"
	"math/rand"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/placement"
	"github.com/medlarhold/medlarhold/internal/core/steward"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// newLoop starts a control goroutine without peers and stops it at the end of the test.
func newLoop(t *testing.T) *Loop {
	t.Helper()
	self := entity.Instance{ID: "a", Zone: "z", PeerAddress: "127.0.0.1:1"}
	l := New(Options{
		Node: node.New(node.DefaultSettings(self), rand.New(rand.NewSource(1))), Clock: time.Now,
		Send: func(entity.InstanceID, string, any) {}, RemovePeer: func(entity.InstanceID) {}, SetOwned: func([]entity.Endpoint) {},
		ClaimAppend: func(node.ClaimAppend) {}, ClaimRead: func(node.ClaimReadRequest) {},
		Steward:     steward.New(steward.DefaultSettings(self)),
		LeaseAppend: func(steward.Append) {}, LeaseRead: func(steward.Read) {}, Order: func(placement.Order) {},
		Log: logr.Discard(), Metrics: telemetry.NewMetrics(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	t.Cleanup(func() { cancel(); <-l.done })
	return l
}

// TestDrainingIsPublished checks that Status reports the start of a planned stop
// even if no request is in flight and the in-flight count therefore does not change.
func TestDrainingIsPublished(t *testing.T) {
	l := newLoop(t)
	l.Post(node.Drain{})
	if !l.Do(context.Background(), func(*node.Node) {}) {
		t.Fatal("Do returned false while the loop runs")
	}
	if !l.Status().Draining {
		t.Fatal("Status().Draining is false after a drain message")
	}
}

// TestDoAfterTheEnd checks that Do and Post don't block after the control goroutine has ended.
func TestDoAfterTheEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l := New(Options{Node: node.New(node.DefaultSettings(entity.Instance{ID: "a"}), rand.New(rand.NewSource(1)))})
	l.Run(ctx)
	if l.Do(context.Background(), func(*node.Node) {}) {
		t.Fatal("Do returned true after the loop has ended")
	}
	l.Post(node.Drain{})
}
