package gateway

import (
	"context"
	"sync"
	"time"
)

// Callers may reach an instance as soon as it listens, above all if all instances of a zone
// have restarted together. For some hundred milliseconds it has no configuration, no
// endpoints, no proof that its keys are in force, and no accounts of the organisations'
// limits. A request that arrives then is held until it can be decided: a refusal would
// serve its caller later.

const (
	// maxStartWait is how long a request is held: no longer than a refused caller would
	// be told to wait.
	maxStartWait = 400 * time.Millisecond
	// startTimeout is how long after its start an instance holds requests. If it takes
	// longer, the store or the other instances can't be reached, and waiting is of no use.
	startTimeout = 3 * time.Second
)

// startGate is open once the instance can decide on requests. It is safe for concurrent
// use.
type startGate struct {
	once   sync.Once
	opened chan struct{}
}

func newStartGate() *startGate { return &startGate{opened: make(chan struct{})} }

func (s *startGate) open() { s.once.Do(func() { close(s.opened) }) }

// AwaitStart implements edge.Scheduler.
func (g *Instance) AwaitStart(ctx context.Context) {
	select {
	case <-g.start.opened:
		return
	default:
	}
	timeout := time.NewTimer(maxStartWait)
	defer timeout.Stop()
	select {
	case <-g.start.opened:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// checkStart opens the start gate if the instance can decide on requests. It is called
// whenever something that this depends on has changed.
func (g *Instance) checkStart() {
	if g.state.config.Load() != nil && g.state.endpoints.Load().Len() > 0 && g.KeysFresh() && !g.meter.awaitsFirstAccounts() {
		g.start.open()
	}
}
