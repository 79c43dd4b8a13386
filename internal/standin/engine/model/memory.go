package model

import (
	"slices"

	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// admit moves waiting streams into the batch, in order, up to the first one whose memory is not
// available.
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

// allocate reserves the stream's memory. Where needed it evicts idle blocks of the prefix cache,
// and then takes the memory of streams outside the batch. It returns false if even that is not
// enough.
func (e *Engine) allocate(s *stream) bool {
	if e.cache.used()+e.blocksNeeded(s)-e.maxReclaimable(s) > e.cache.total {
		return false
	}
	for {
		hits := e.cache.match(s.keys)
		e.cache.pin(s.keys[:hits])
		need := e.blocksNeeded(s)
		evicted, ok := e.cache.reserve(need)
		if ok {
			e.events.evicted(e.now, evicted)
			e.startPrefill(s, hits, need)
			return true
		}
		e.cache.unpin(s.keys[:hits])
		if !e.reclaim(s) {
			return false
		}
	}
}

// blocksNeeded returns the number of blocks that the stream needs beyond those in the cache.
func (e *Engine) blocksNeeded(s *stream) int {
	return max(0, s.req.blocks(e.settings.BlockTokens)-e.cache.match(s.keys))
}

// startPrefill sets the stream's memory and the tokens that it has to process, given the blocks
// found in the cache. The last token of the context is always processed, because it produces the
// next token.
func (e *Engine) startPrefill(s *stream, hits, private int) {
	s.hasKV, s.pinned, s.private = true, hits, private
	cached := max(0, min(hits*e.settings.BlockTokens, s.context()-1))
	s.toPrefill = s.context() - cached
	if !s.started {
		s.cached = cached
	}
}

// reclaimable returns the streams outside the batch that hold memory, in the order in which they
// lose it: first paused ones by the time of their pause, then resumed ones that wait, from the end
// of the queue.
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

// maxReclaimable returns an upper bound of the blocks that taking the memory of all streams
// outside the batch would free.
func (e *Engine) maxReclaimable(except *stream) int {
	n := 0
	for _, s := range e.reclaimable(except) {
		n += s.private + s.pinned
	}
	return n
}

// reclaim takes the memory of one stream outside the batch. It returns false if there is none.
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

// freeMemory releases the stream's memory. Its shared blocks stay in the cache.
func (e *Engine) freeMemory(s *stream) {
	if !s.hasKV {
		return
	}
	e.cache.unpin(s.keys[:s.pinned])
	e.cache.free(s.private)
	s.hasKV, s.pinned, s.private = false, 0, 0
}

// sharePrompt adds the prompt's blocks to the prefix cache once all of them have been computed.
func (e *Engine) sharePrompt(s *stream) {
	first := s.pinned
	for _, k := range s.keys[s.pinned:] {
		s.private--
		s.pinned++
		e.cache.share(k)
	}
	e.events.stored(e.now, first, s.req.Prefix[first:])
}
