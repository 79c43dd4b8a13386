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
	// stride is how many blocks of an engine make one that owners compare by.
	stride int
	// cursors say what to ask each engine for. Only run uses them.
	cursors map[entity.EndpointID]*cacheCursor
}

func newPoller(c *endpoint.Client, stride int, post func(msg any), held func(entity.EndpointID, endpoint.OrderStatus)) *poller {
	return &poller{client: c, stride: stride, post: post, held: held, cursors: make(map[entity.EndpointID]*cacheCursor)}
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
			from := p.cursor(e.ID).next
			wg.Go(func() { events[i] = p.poll(ctx, e, from) })
		}
	}
	wg.Wait()
	for i, e := range owned {
		p.pass(e, events[i])
	}
}

// poll asks one engine.
func (p *poller) poll(ctx context.Context, e entity.Endpoint, from uint64) endpoint.CacheEvents {
	if l, err := p.client.Load(ctx, e.Address); err == nil {
		p.post(node.Load{Report: entity.LoadReport{Endpoint: e.ID, At: l.AsOf, Running: l.Running, Waiting: l.Waiting, KVTokens: l.KVTokens}})
	}
	if e.WeightBytes > 0 {
		if st, err := p.client.Orders(ctx, e.Address); err == nil {
			p.held(e.ID, st)
		}
	}
	events, err := p.client.CacheEvents(ctx, e.Address, from)
	if err != nil {
		return endpoint.CacheEvents{}
	}
	return events
}

// cursor returns how far the events of an engine have been read.
func (p *poller) cursor(id entity.EndpointID) *cacheCursor {
	c := p.cursors[id]
	if c == nil {
		c = &cacheCursor{}
		p.cursors[id] = c
	}
	return c
}

// pass hands the cache events of one engine on.
func (p *poller) pass(e entity.Endpoint, events endpoint.CacheEvents) {
	for _, ev := range p.cursor(e.ID).read(events, p.stride) {
		ev.Endpoint = e.ID
		p.post(node.Cache{Event: ev})
	}
}
