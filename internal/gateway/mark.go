package gateway

import (
	"context"
	"time"
)

// A process that starts can't tell whether the store was replaced by an older copy just before. So one instance
// marks in the store which of its eras is settled: in that one, a first read is a proof.

const (
	// markInterval is the time between two checks whether the store's era is to be marked.
	markInterval = 500 * time.Millisecond
	// markDelay is how long after its start an instance marks nothing: until it knows the others, it may take
	// itself for the one that does.
	markDelay = 3 * time.Second
)

// keepMark marks the store's era once it is settled, if this instance is the one that does, until ctx ends.
func (f *follower) keepMark(ctx context.Context) {
	for pause(ctx, markDelay); ctx.Err() == nil; pause(ctx, markInterval) {
		era, due := f.toMark()
		if !due || !f.marks.Load() {
			continue
		}
		f.g.metrics.LogCall("append", "instances")
		if f.g.adapter.Store.MarkSettled(ctx, era) == nil { // after an error it is tried again
			f.confirm(era)
		}
	}
}
