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
	// pollRound is the time between two rounds over the engines that are due.
	pollRound = time.Second
	// pollInterval is the time between two looks at an engine that runs requests.
	pollInterval = 2 * time.Second
	// maxRestInterval bounds the time between two looks at an engine at rest,
	// which doubles from look to look.
	maxRestInterval = 16 * time.Second
	// newcomerEvents is how many cache events an owner asks for that is new to
	// an engine; what it does not hear of it learns from the work it grants.
	newcomerEvents = 50
	// pollTimeout bounds one look.
	pollTimeout = 2 * time.Second
)

// poller asks the engines that this instance owns for their load and for the
// changes of their prefix caches.
type poller struct {
	// busy and rest differ in where their bytes are counted.
	busy, rest *endpoint.Client
	metrics    *telemetry.Metrics
	post       func(msg any)
	// held is told what an engine holds that takes orders.
	held  func(entity.EndpointID, endpoint.OrderStatus)
	mu    sync.Mutex
	owned []entity.Endpoint
	// stride is how many blocks of an engine make one that owners compare by.
	stride int
	// looks holds what is known of each engine. Only run uses it.
	looks map[entity.EndpointID]*look
}

// look is what the last look at an engine brought.
type look struct {
	// cursor says what to ask for.
	cursor   cacheCursor
	inUse    bool
	interval time.Duration
	due      time.Time
}

// begin has a look start near the newest cache event.
func (l *look) begin(newest uint64) {
	if l.cursor.next == 0 && newest > newcomerEvents {
		l.cursor.next = newest - newcomerEvents
	}
}

// seen takes in whether the engine was in use at the last look.
func (l *look) seen(now time.Time, inUse bool) {
	l.inUse = inUse
	if inUse {
		l.interval = pollInterval
	} else {
		l.interval = min(max(2*l.interval, pollInterval), maxRestInterval)
	}
	// Half a round less keeps a look in its round.
	l.due = now.Add(l.interval - pollRound/2)
}

func newPoller(busy, rest *endpoint.Client, stride int, m *telemetry.Metrics, post func(msg any),
	held func(entity.EndpointID, endpoint.OrderStatus)) *poller {
	return &poller{busy: busy, rest: rest, stride: stride, metrics: m, post: post, held: held, looks: make(map[entity.EndpointID]*look)}
}

// setOwned replaces the endpoints to poll.
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

// pollAll looks at the engines that are due.
func (p *poller) pollAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	p.mu.Lock()
	owned := p.owned
	p.mu.Unlock()
	now := time.Now()
	looks := make(map[entity.EndpointID]*look, len(owned))
	var wg sync.WaitGroup
	for _, e := range owned {
		if e.Kind != entity.KindEngine {
			continue
		}
		l := p.looks[e.ID]
		if l == nil {
			l = &look{}
		}
		looks[e.ID] = l
		if !now.Before(l.due) {
			wg.Go(func() { p.look(ctx, now, e, l) })
		}
	}
	wg.Wait()
	p.looks = looks
}

// look asks one engine.
func (p *poller) look(ctx context.Context, now time.Time, e entity.Endpoint, l *look) {
	client, cause := p.rest, telemetry.CauseControl
	if l.inUse {
		client, cause = p.busy, telemetry.CauseRequest
	}
	p.metrics.Polled(cause)
	inUse := false
	if r, err := client.Load(ctx, e.Address); err == nil {
		inUse = r.Running+r.Waiting > 0
		l.begin(r.CacheSeq)
		p.post(node.LoadReport{Report: entity.LoadReport{Endpoint: e.ID, At: r.AsOf, Running: r.Running, Waiting: r.Waiting, KVTokens: r.KVTokens}})
	}
	if e.WeightBytes > 0 {
		if st, err := client.OrderStatus(ctx, e.Address); err == nil {
			p.held(e.ID, st)
		}
	}
	if events, err := client.CacheEvents(ctx, e.Address, l.cursor.next); err == nil {
		p.pass(e, l, events)
		inUse = inUse || len(events.Events) > 0
	}
	l.seen(now, inUse)
}

// pass hands the cache events of one engine on.
func (p *poller) pass(e entity.Endpoint, l *look, events endpoint.CacheEvents) {
	for _, ev := range l.cursor.read(events, p.stride) {
		ev.Endpoint = e.ID
		p.post(node.CacheEvent{Event: ev})
	}
}

// close closes the connections to engines.
func (p *poller) close() {
	p.busy.Close()
	p.rest.Close()
}
