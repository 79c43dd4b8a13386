package model

import (
	"slices"

	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// admit moves waiting streams into the batch, in order, until the first one
// that doesn't fit.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.settings.MaxRunning {
		s := e.waiting[0]
		if !s.hasKV && !e.allocate(s) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		s.state = endpoint.StateRunning
		if !s.started {
			s.started = true
			e.emit(Event{Kind: EventStarted, ID: s.req.ID})
		}
	}
}

// allocate reserves the stream's memory, at the expense of the prefix cache
// and then of streams that are not in the batch.
func (e *Engine) allocate(s *stream) bool {
	if e.cache.used()+e.blocksNeeded(s)-e.maxReclaimable(s) > e.cache.total {
		return false
	}
	for {
		hits := e.cache.match(s.keys)
		e.cache.pin(s.keys[:hits])
		need := e.blocksNeeded(s)
		dropped, ok := e.cache.reserve(need)
		if ok {
			e.events.evicted(e.now, dropped)
			e.startPrefill(s, hits, need)
			return true
		}
		e.cache.unpin(s.keys[:hits])
		if !e.reclaim(s) {
			return false
		}
	}
}

// blocksNeeded is how many blocks the stream needs beyond those in the cache.
func (e *Engine) blocksNeeded(s *stream) int {
	return max(0, s.req.blocks(e.settings.BlockTokens)-e.cache.match(s.keys))
}

// startPrefill sets what is to be processed, given the blocks found in the
// cache. The last prompt token is always processed: it gives the first token.
func (e *Engine) startPrefill(s *stream, hits, private int) {
	s.hasKV, s.pinned, s.private = true, hits, private
	cached := max(0, min(hits*e.settings.BlockTokens, s.context()-1))
	s.toPrefill = s.context() - cached
	if !s.started {
		s.cached = cached
	}
}

// reclaimable lists the streams outside the batch that hold memory, the one to
// lose it first at the front: paused ones by the time of their pause, then
// resumed ones that wait, from the end of the queue.
func (e *Engine) reclaimable(except *stream) []*stream {
	var out []*stream
	for _, s := range e.paused {
		if s.hasKV {
			out = append(out, s)
		}
	}
	for _, s := range slices.Backward(e.waiting) {
		if s.hasKV && s != except {
			out = append(out, s)
		}
	}
	return out
}

// maxReclaimable bounds the blocks that dropping all holders would free.
func (e *Engine) maxReclaimable(except *stream) int {
	n := 0
	for _, s := range e.reclaimable(except) {
		n += s.private + s.pinned
	}
	return n
}

// reclaim takes the memory of one stream outside the batch.
func (e *Engine) reclaim(except *stream) bool {
	holders := e.reclaimable(except)
	if len(holders) == 0 {
		return false
	}
	s := holders[0]
	e.stats.DroppedTokens += int64(s.context() - s.toPrefill)
	e.freeMemory(s)
	return true
}

// freeMemory gives the stream's memory back. Its shared blocks stay in the cache.
func (e *Engine) freeMemory(s *stream) {
	if !s.hasKV {
		return
	}
	e.cache.unpin(s.keys[:s.pinned])
	e.cache.free(s.private)
	s.hasKV, s.pinned, s.private = false, 0, 0
}

// sharePrompt puts the prompt's blocks into the prefix cache once they are all computed.
func (e *Engine) sharePrompt(s *stream) {
	first := s.pinned
	for _, k := range s.keys[s.pinned:] {
		s.private--
		s.pinned++
		e.cache.share(k)
	}
	e.events.stored(e.now, first, s.req.Prefix[first:])
}
