package daemon

import (
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// cacheCursor says how far the cache events of one engine have been read.
type cacheCursor struct {
	// next is the engine's sequence number to ask for.
	next uint64
	// base is added to the engine's numbers, so that they go on rising after
	// the engine has begun anew.
	base uint64
}

// read brings events into the form that owners take, with the blocks that
// owners compare by: each stride-th of a prompt. An engine whose numbers have gone back
// was restarted and has nothing in its cache.
func (c *cacheCursor) read(events endpoint.CacheEvents, stride int) []entity.CacheEvent {
	if events.Next == 0 { // no answer
		return nil
	}
	var out []entity.CacheEvent
	if events.Next < c.next {
		c.base += c.next
		out = append(out, entity.CacheEvent{Seq: c.base, Cleared: true})
	}
	c.next = events.Next
	for _, ev := range events.Events {
		out = append(out, entity.CacheEvent{
			Seq: c.base + ev.Seq, Stored: onStride(ev, stride), Evicted: endpoint.FromWire(ev.Evicted), Cleared: ev.Cleared,
		})
	}
	return out
}

// onStride returns the stored blocks that end a block that owners compare by.
func onStride(ev endpoint.CacheEvent, stride int) []entity.BlockHash {
	var out []entity.BlockHash
	for i, h := range ev.Stored {
		if (ev.First+i+1)%stride == 0 {
			out = append(out, entity.BlockHash(h))
		}
	}
	return out
}
