package gateway

import (
	"context"
	"sync"
	"time"
)

// batcher passes items to run in batches, one at a time: the items that are submitted while a
// batch runs form the next one. After ctx has ended it takes no more items. It is safe for
// concurrent use.
type batcher[T any] struct {
	ctx context.Context
	// interval is the minimum time between the beginnings of two batches.
	interval time.Duration
	run      func(ctx context.Context, items []T) error

	mu      sync.Mutex
	next    *batch[T] // nil if nothing waits
	running bool
}

// batch is a number of items that are passed to run together.
type batch[T any] struct {
	items []T
	done  chan struct{}
	err   error // valid once done is closed
}

// submit adds items to the next batch and returns it.
func (b *batcher[T]) submit(items ...T) *batch[T] {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.ctx.Err(); err != nil {
		return endedBatch[T](err)
	}
	if b.next == nil {
		b.next = &batch[T]{done: make(chan struct{})}
	}
	n := b.next
	n.items = append(n.items, items...)
	if !b.running {
		b.running = true
		go b.loop()
	}
	return n
}

// endedBatch returns a batch of items that were not taken.
func endedBatch[T any](err error) *batch[T] {
	n := &batch[T]{done: make(chan struct{}), err: err}
	close(n.done)
	return n
}

// loop runs batches until none is left.
func (b *batcher[T]) loop() {
	for {
		n := b.take()
		if n == nil {
			return
		}
		started := time.Now()
		n.err = b.run(b.ctx, n.items)
		close(n.done)
		pause(b.ctx, b.interval-time.Since(started))
	}
}

// take returns the next batch, nil if there is none.
func (b *batcher[T]) take() *batch[T] {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.next
	b.next = nil
	b.running = n != nil
	return n
}

// wait waits until the batch has run, and returns its error.
func (n *batch[T]) wait(ctx context.Context) error {
	select {
	case <-n.done:
		return n.err
	case <-ctx.Done():
		return ctx.Err()
	}
}
