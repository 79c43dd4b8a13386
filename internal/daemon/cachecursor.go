package daemon

import (
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// cacheCursor is the read position in the cache events of one engine.
type cacheCursor struct {
	// next is the engine's sequence number of the next event to request.
	next uint64
	// base is added to the engine's sequence numbers, so that they keep
	// increasing after the engine has restarted from 0.
	base uint64
}

// convert moves the cursor past events and returns them in the form that owners
// process, with every stride-th stored block of a prompt only: owners compare
// prefixes in blocks that are stride times as long as the engine's. If the
// engine's sequence number has decreased, the engine was restarted and its cache
// is empty; convert then returns a Cleared event first.
func (c *cacheCursor) convert(events endpoint.CacheEvents, stride int) []entity.CacheEvent {
	if events.Next == 0 { // an empty response
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
			Seq: c.base + ev.Seq, Stored: sampleStored(ev, stride), Evicted: endpoint.FromWire(ev.Evicted), Cleared: ev.Cleared,
		})
	}
	return out
}

// sampleStored returns the stored blocks of ev that are the last of a group of
// stride blocks, counted from the start of the prompt.
func sampleStored(ev endpoint.CacheEvent, stride int) []entity.BlockHash {
	var out []entity.BlockHash
	for i, h := range ev.Stored {
		if (ev.First+i+1)%stride == 0 {
			out = append(out, entity.BlockHash(h))
		}
	}
	return out
}
