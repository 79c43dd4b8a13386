package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/rollout"
	"github.com/medlarhold/medlarhold/internal/core/storeera"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// silentStore records how the configuration is asked for, and answers nothing.
type silentStore struct {
	Store
	wait     time.Duration
	limited  bool
	deadline time.Time
}

func (s *silentStore) Config(ctx context.Context, _ storeera.Position, wait time.Duration) (ConfigRead, error) {
	s.wait = wait
	s.deadline, s.limited = ctx.Deadline()
	return ConfigRead{}, errors.New("no answer")
}

// While the store doesn't answer, each second read is short and none waits for a change:
// a read that began before the store came back may never be answered.
func TestReadsDuringAnOutage(t *testing.T) {
	store := &silentStore{}
	g := &Instance{adapter: Adapter{Store: store}, log: logr.Discard(), metrics: telemetry.NewMetrics()}
	f := newFollower(g)
	f.configAt = storeera.Position{Offset: 7}
	f.era = storeera.NewTracker(true)
	f.era.ObserveEra(time.Now(), 0, false)
	for i, want := range []struct {
		wait  time.Duration
		short bool
	}{{configWait, false}, {0, true}, {0, false}, {0, true}} {
		started := time.Now()
		if f.readConfig(context.Background()) {
			t.Fatal("a read without an answer counts as one")
		}
		if store.wait != want.wait || store.limited != want.short {
			t.Errorf("read %d: got wait %v and limited %v, want %v and %v", i, store.wait, store.limited, want.wait, want.short)
		}
		if store.limited && store.deadline.Sub(started) > shortAttempt+time.Second/10 {
			t.Errorf("read %d: got a limit of %v, want %v", i, store.deadline.Sub(started), shortAttempt)
		}
	}
}

// scriptedStore returns reads of the configuration in order, the last one again and again. The response to
// read number slow comes after slowness.
type scriptedStore struct {
	Store
	reads    []ConfigRead
	asked    []storeera.Position
	slow     int
	slowness time.Duration
}

func (s *scriptedStore) Config(_ context.Context, after storeera.Position, _ time.Duration) (ConfigRead, error) {
	s.asked = append(s.asked, after)
	if len(s.asked) == s.slow {
		time.Sleep(s.slowness)
	}
	return s.reads[min(len(s.asked), len(s.reads))-1], nil
}

// The newest configuration can't be decoded: what is in force is not the newest, however often the store is
// read, and whoever continues from here must not skip it.
func TestUnreadableConfigurationIsNoProof(t *testing.T) {
	at := func(offset int64) storeera.Position { return storeera.Position{Offset: offset} }
	store := &scriptedStore{reads: []ConfigRead{
		{Config: &catalog.Config{Version: 7}, Complete: true, Next: at(1)},
		{Unreadable: true, Malformed: []error{errors.New("not valid")}, Next: at(2)},
		{Unreadable: true, Malformed: []error{errors.New("not valid")}, Complete: true, Next: at(2)},
		{Config: &catalog.Config{Version: 9}, Complete: true, Next: at(3)},
	}}
	g := New(Settings{Name: "i", Zone: "a", FirstStart: true}, Adapter{Store: store}, logr.Discard(), telemetry.NewMetrics())
	t.Cleanup(g.cancel)
	for i, proves := range []bool{true, false, false, true} {
		g.state.provedAt.Store(0)
		if got := g.follower.readConfig(t.Context()); got != proves || (g.state.provedAt.Load() != 0) != proves {
			t.Errorf("read %d: got success %v, proof at %d, want %v", i+1, got, g.state.provedAt.Load(), proves)
		}
	}
	if got := g.follower.position().Config; got != 3 {
		t.Errorf("got position %d, want 3", got)
	}
	if store.asked[2].Offset != storeera.FromStart || store.asked[3].Offset != storeera.FromStart {
		t.Errorf("got reads from %+v, want those after the unreadable one from the start", store.asked)
	}
}

// A read begins just after the store came back older and its response arrives after the operator's time to
// publish again: it shows nothing of what was published in between, and proves nothing (CONFIG).
func TestReadThatBeganBeforeTheStoreSettledIsNoProof(t *testing.T) {
	read := func(era int64) ConfigRead {
		return ConfigRead{Config: &catalog.Config{Version: 7}, Complete: true, Next: storeera.Position{Era: era, Offset: 1}}
	}
	store := &scriptedStore{reads: []ConfigRead{read(1), read(2), read(2)}, slow: 3, slowness: storeera.LongSettleTime + 50*time.Millisecond}
	g := New(Settings{Name: "i", Zone: "a", FirstStart: true}, Adapter{Store: store}, logr.Discard(), telemetry.NewMetrics())
	t.Cleanup(g.cancel)
	for i, proves := range []bool{true, false, false, true} {
		g.state.provedAt.Store(0)
		if g.follower.readConfig(t.Context()); (g.state.provedAt.Load() != 0) != proves {
			t.Errorf("read %d: got a proof %v, want %v", i+1, !proves, proves)
		}
	}
}

// A member that takes a coordinator's position without the version that belongs to it never sees that version (CONFIG).
func TestPositionIsHandedOnOnlyWithItsVersionInForce(t *testing.T) {
	store := &scriptedStore{reads: []ConfigRead{
		{Config: &catalog.Config{Version: 1}, Complete: true, Next: storeera.Position{Offset: 1}},
		{Config: &catalog.Config{Version: 2}, Next: storeera.Position{Offset: 2}},
	}}
	s := Settings{Name: "i", Zone: "a", FirstStart: true, Exposure: rollout.Exposure{Share: 0.1, Slack: 50, RollBackWithin: time.Second}}
	g := New(s, Adapter{Store: store}, logr.Discard(), telemetry.NewMetrics())
	t.Cleanup(g.cancel)
	g.follower.readConfig(t.Context())
	g.rollouts.mu.Lock() // a request holds it while the next version arrives
	read := make(chan bool)
	go func() { read <- g.follower.readConfig(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	if at, version := g.follower.position().Config, g.state.version(); at == 2 && version < 2 {
		t.Errorf("position %d is handed on while version %d is in force", at, version)
	}
	g.rollouts.mu.Unlock()
	<-read
}

// hangingStore answers no read of the configuration until the read is given up. It tells from where each begins.
type hangingStore struct {
	Store
	begun chan storeera.Position
}

func (s *hangingStore) Config(ctx context.Context, from storeera.Position, _ time.Duration) (ConfigRead, error) {
	s.begun <- from
	<-ctx.Done()
	return ConfigRead{}, ctx.Err()
}

// A read that may never be answered is given up and begins anew at once, but not so often that a slow store can't answer.
func TestHangingReadBeginsAnew(t *testing.T) {
	store := &hangingStore{begun: make(chan storeera.Position, 8)}
	g := New(Settings{Name: "i", Zone: "a", FirstStart: true}, Adapter{Store: store}, logr.Discard(), telemetry.NewMetrics())
	t.Cleanup(g.cancel)
	f := g.follower
	f.configAt = storeera.Position{Offset: 7}
	f.reading.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() { f.readLoop(ctx, f.readConfig, configInterval, f.readAgain); close(ended) }()
	<-store.begun
	now := time.Now()
	f.renewRead(now)
	select {
	case from := <-store.begun:
		if from.Offset != storeera.FromStart {
			t.Errorf("the read began anew from %d, want it to begin from the start", from.Offset)
		}
	case <-time.After(time.Second):
		t.Error("the read did not begin anew")
	}
	if got := f.failuresOf(topicConfig); got != 0 {
		t.Errorf("got %d failures of the store for a read that was given up, want none", got)
	}
	f.renewRead(now.Add(renewInterval - time.Millisecond))
	select {
	case <-store.begun:
		t.Error("the read began anew again before the store could answer")
	case <-time.After(300 * time.Millisecond):
	}
	cancel()
	<-ended
}
