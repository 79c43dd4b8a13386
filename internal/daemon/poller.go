package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

const (
	// pollInterval is the time between two looks at an endpoint's load and cache.
	pollInterval = time.Second
	// pollTimeout bounds one look.
	pollTimeout = 2 * time.Second
)

// poller asks the engines that this instance owns for their load and for the
// changes of their prefix caches.
type poller struct {
	client *endpoint.Client
	post   func(msg any)
	// held is told what an engine holds that takes orders.
	held  func(entity.EndpointID, endpoint.OrderStatus)
	mu    sync.Mutex
	owned []entity.Endpoint
	// next holds the sequence number to ask each engine for. Only run uses it.
	next map[entity.EndpointID]uint64
}

func newPoller(c *endpoint.Client, post func(msg any), held func(entity.EndpointID, endpoint.OrderStatus)) *poller {
	return &poller{client: c, post: post, held: held, next: make(map[entity.EndpointID]uint64)}
}

// setOwned replaces the endpoints to poll.
func (p *poller) setOwned(owned []entity.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owned = owned
}

// run polls until ctx ends.
func (p *poller) run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
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

func (p *poller) pollAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	p.mu.Lock()
	owned := p.owned
	p.mu.Unlock()
	var wg sync.WaitGroup
	events := make([]endpoint.CacheEvents, len(owned))
	for i, e := range owned {
		if e.Kind == entity.KindEngine {
			wg.Go(func() { events[i] = p.poll(ctx, e) })
		}
	}
	wg.Wait()
	for i, e := range owned {
		p.pass(e, events[i])
	}
}

// poll asks one engine.
func (p *poller) poll(ctx context.Context, e entity.Endpoint) endpoint.CacheEvents {
	if l, err := p.client.Load(ctx, e.Address); err == nil {
		p.post(node.Load{Report: entity.LoadReport{Endpoint: e.ID, At: l.AsOf, Running: l.Running, Waiting: l.Waiting, KVTokens: l.KVTokens}})
	}
	if e.WeightBytes > 0 {
		if st, err := p.client.Orders(ctx, e.Address); err == nil {
			p.held(e.ID, st)
		}
	}
	events, err := p.client.CacheEvents(ctx, e.Address, p.next[e.ID])
	if err != nil {
		return endpoint.CacheEvents{}
	}
	return events
}

// pass hands the cache events of one engine on.
func (p *poller) pass(e entity.Endpoint, events endpoint.CacheEvents) {
	for _, ev := range events.Events {
		p.post(node.Cache{Event: entity.CacheEvent{Endpoint: e.ID, Seq: ev.Seq,
			Stored: endpoint.FromWire(ev.Stored), Evicted: endpoint.FromWire(ev.Evicted), Cleared: ev.Cleared}})
	}
	if events.Next > 0 {
		p.next[e.ID] = events.Next
	}
}
