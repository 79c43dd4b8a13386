package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

const (
	// pollRound is the time between two rounds, each of which polls the engines that are due.
	pollRound = time.Second
	// pollInterval is the time between two polls of an engine that runs requests.
	pollInterval = 2 * time.Second
	// maxIdleInterval bounds the time between two polls of an idle engine,
	// which doubles with each poll.
	maxIdleInterval = 16 * time.Second
	// initialCacheEvents is how many of the latest cache events a new owner of
	// an engine reads. It learns the other cache contents from the requests that
	// it grants.
	initialCacheEvents = 50
	// pollTimeout bounds one poll.
	pollTimeout = 2 * time.Second
)

// poller polls the engines that this instance owns for their load, the models
// that they have loaded and the changes of their prefix caches.
type poller struct {
	// busy polls engines in use, idle the others; the bytes of the two clients
	// are counted separately.
	busy, idle *endpoint.Client
	metrics    *telemetry.Metrics
	post       func(msg any)
	// onOrderStatus is called with the models that an engine which takes
	// placement orders reports as loaded.
	onOrderStatus func(entity.EndpointID, endpoint.OrderStatus)
	mu            sync.Mutex
	owned         []entity.Endpoint
	// stride is the number of an engine's cache blocks per block in which
	// owners compare prefixes.
	stride int
	// states holds the state of each owned engine. Only the goroutine of run accesses it.
	states map[entity.EndpointID]*pollState
}

// pollState is the state of polling one engine.
type pollState struct {
	cursor   cacheCursor
	inUse    bool // at the last poll
	interval time.Duration
	due      time.Time
}

// startCursor moves a cursor that has read nothing yet to initialCacheEvents
// before the newest cache event.
func (s *pollState) startCursor(newest uint64) {
	if s.cursor.next == 0 && newest > initialCacheEvents {
		s.cursor.next = newest - initialCacheEvents
	}
}

// update records whether the engine was in use at a poll and sets the time of the
// next one.
func (s *pollState) update(now time.Time, inUse bool) {
	s.inUse = inUse
	if inUse {
		s.interval = pollInterval
	} else {
		s.interval = min(max(2*s.interval, pollInterval), maxIdleInterval)
	}
	// Subtracting half a round makes the poll due in the intended round despite
	// the jitter of the ticker.
	s.due = now.Add(s.interval - pollRound/2)
}

func newPoller(busy, idle *endpoint.Client, stride int, m *telemetry.Metrics, post func(msg any),
	onOrderStatus func(entity.EndpointID, endpoint.OrderStatus)) *poller {
	return &poller{busy: busy, idle: idle, stride: stride, metrics: m, post: post, onOrderStatus: onOrderStatus, states: make(map[entity.EndpointID]*pollState)}
}

// setOwned replaces the endpoints to poll. It is safe for concurrent use.
func (p *poller) setOwned(owned []entity.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owned = owned
}

// run polls until ctx ends.
func (p *poller) run(ctx context.Context) {
	t := time.NewTicker(pollRound)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.pollAll(ctx)
		}
	}
}

// pollAll polls the engines that are due, concurrently, and waits for them.
func (p *poller) pollAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	p.mu.Lock()
	owned := p.owned
	p.mu.Unlock()
	now := time.Now()
	states := make(map[entity.EndpointID]*pollState, len(owned))
	var wg sync.WaitGroup
	for _, e := range owned {
		if e.Kind != entity.KindEngine {
			continue
		}
		s := p.states[e.ID]
		if s == nil {
			s = &pollState{}
		}
		states[e.ID] = s
		if !now.Before(s.due) {
			wg.Go(func() { p.poll(ctx, now, e, s) })
		}
	}
	wg.Wait()
	p.states = states
}

// poll polls one engine and updates its state.
func (p *poller) poll(ctx context.Context, now time.Time, e entity.Endpoint, s *pollState) {
	client, cause := p.idle, telemetry.CauseControl
	if s.inUse {
		client, cause = p.busy, telemetry.CauseRequest
	}
	p.metrics.Polled(cause)
	inUse := false
	if r, err := client.Load(ctx, e.Address); err == nil {
		inUse = r.Running+r.Waiting > 0
		s.startCursor(r.CacheSeq)
		p.post(node.LoadReport{Report: entity.LoadReport{Endpoint: e.ID, At: r.AsOf, Running: r.Running, Waiting: r.Waiting, KVTokens: r.KVTokens}})
	}
	if e.WeightBytes > 0 {
		if st, err := client.OrderStatus(ctx, e.Address); err == nil {
			p.onOrderStatus(e.ID, st)
		}
	}
	if events, err := client.CacheEvents(ctx, e.Address, s.cursor.next); err == nil {
		p.postCacheEvents(e, s, events)
		inUse = inUse || len(events.Events) > 0
	}
	s.update(now, inUse)
}

// postCacheEvents posts the cache events of one engine to the control goroutine.
func (p *poller) postCacheEvents(e entity.Endpoint, s *pollState, events endpoint.CacheEvents) {
	for _, ev := range s.cursor.convert(events, p.stride) {
		ev.Endpoint = e.ID
		p.post(node.CacheEvent{Event: ev})
	}
}

// close closes the connections to engines.
func (p *poller) close() {
	p.busy.Close()
	p.idle.Close()
}
