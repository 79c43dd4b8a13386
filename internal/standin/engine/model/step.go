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

// portion is what one stream gets of an iteration: prompt tokens, or with none one decode.
type portion struct {
	stream  *stream
	prefill int
}

// remove takes a stream out of the iteration. The time is spent all the same,
// and prompt tokens that were being processed have to be processed again; it
// returns their number.
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

// startStep plans an iteration over the batch.
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

// finishStep takes in what the iteration has done.
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

// Export returns the longest leading run of the blocks that the engine holds.
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

// kvBytesPerToken is the size of one token's KV cache.
const kvBytesPerToken = 128 << 10

// Import takes blocks from another engine into the prefix cache as far as
// there is room. It returns how many were new, and when they have arrived;
// the caller answers no sooner.
func (e *Engine) Import(now time.Time, r Request) (int, time.Time) {
	e.advance(now)
	keys := newStream(r).keys
	first := e.cache.match(keys)
	e.cache.pin(keys[:first])
	held := first
	for _, k := range keys[first:] {
		dropped, ok := e.cache.insert(k)
		e.events.evicted(e.now, dropped)
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
