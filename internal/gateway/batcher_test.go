package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"
)

// Failed items that are submitted again must not keep the processor busy once the instance ends.
func TestBatcherRunsNothingAfterItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var runs atomic.Int32
	b := &batcher[int]{ctx: ctx}
	b.run = func(ctx context.Context, items []int) error {
		runs.Add(1)
		b.submit(items...)
		pause(ctx, time.Hour)
		return nil
	}
	first := b.submit(1)
	cancel()
	if err := first.wait(t.Context()); err != nil {
		t.Errorf("got error %v for a batch that ran, want none", err)
	}
	if err := b.submit(2).wait(t.Context()); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v for items submitted after the context, want %v", err, context.Canceled)
	}
	const most = 2 // the batch of the first item, and the one it was submitted to again
	if n := runs.Load(); n > most {
		t.Errorf("%d batches ran, want at most %d", n, most)
	}
}
