package model

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// iteration is one pass of the engine over its batch.
type iteration struct {
	ends time.Time
	work []portion
}

// portion is the part of an iteration that one stream gets: prefill prompt tokens, or one decode
// if prefill is 0. stream is nil once the stream has been removed.
type portion struct {
	stream  *stream
	prefill int
}

// remove removes a stream from the iteration. The iteration takes as long as before, and the
// prompt tokens that it was processing have to be processed again; remove returns their number.
func (it *iteration) remove(s *stream) int {
	spent := 0
	for i := range it.work {
		if it.work[i].stream == s {
			spent += it.work[i].prefill
			it.work[i].stream = nil
		}
	}
	return spent
}

// startStep starts an iteration over the batch, if there is work.
func (e *Engine) startStep() {
	var it iteration
	budget, decodes := e.settings.PrefillChunk, 0
	for _, s := range e.running {
		if s.toPrefill == 0 {
			decodes++
			it.work = append(it.work, portion{stream: s})
			continue
		}
		if n := min(s.toPrefill, budget); n > 0 {
			budget -= n
			it.work = append(it.work, portion{stream: s, prefill: n})
		}
	}
	if len(it.work) == 0 {
		return
	}
	prefill := e.settings.PrefillChunk - budget
	it.ends = e.now.Add(e.settings.iterationTime(prefill, decodes, e.slow))
	e.step = &it
}

// finishStep applies the results of the iteration.
func (e *Engine) finishStep() {
	work := e.step.work
	e.step = nil
	e.stats.Iterations++
	for _, p := range work {
		if p.stream != nil {
			e.finishPortion(p.stream, p.prefill)
		}
	}
}

func (e *Engine) finishPortion(s *stream, prefill int) {
	s.toPrefill -= prefill
	s.prefilled += prefill
	e.stats.PrefillTokens += int64(prefill)
	if s.toPrefill > 0 {
		return
	}
	if prefill > 0 {
		e.sharePrompt(s)
	}
	e.emit(Event{Kind: EventToken, ID: s.req.ID, Index: s.generated})
	s.generated++
	e.stats.DecodeTokens++
	if s.generated == s.req.OutputTokens {
		e.running = without(e.running, s)
		e.end(s, s.finishReason())
	}
}

// Export returns the longest leading run of the blocks that the cache holds, for the prompt of r
// or, if the engine has a stream with its id, of that stream.
func (e *Engine) Export(now time.Time, r Request) endpoint.Export {
	e.advance(now)
	if s := e.streams[r.ID]; s != nil {
		r = s.req
	}
	n := e.cache.match(newStream(r).keys)
	return endpoint.Export{
		Blocks: endpoint.ToWire(r.Prefix[:n]),
		Bytes:  int64(n) * int64(e.settings.BlockTokens) * kvBytesPerToken,
	}
}

// kvBytesPerToken is the size of one token in the KV cache.
const kvBytesPerToken = 128 << 10

// Import adds blocks from another engine to the prefix cache as far as there is memory. It returns
// how many of them were new and when the transfer ends; a driver must not answer the import before
// that time.
func (e *Engine) Import(now time.Time, r Request) (int, time.Time) {
	e.advance(now)
	keys := newStream(r).keys
	first := e.cache.match(keys)
	e.cache.pin(keys[:first])
	held := first
	for _, k := range keys[first:] {
		evicted, ok := e.cache.insert(k)
		e.events.evicted(e.now, evicted)
		if !ok {
			break
		}
		held++
	}
	e.cache.unpin(keys[:held])
	e.events.stored(e.now, first, r.Prefix[first:held])
	seconds := float64((held-first)*e.settings.BlockTokens) / e.settings.ImportTokensPerSec
	return held - first, now.Add(time.Duration(seconds * float64(time.Second)))
}
