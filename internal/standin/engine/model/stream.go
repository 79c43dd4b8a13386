package model

import (
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// stream is one request in the engine.
type stream struct {
	req   Request
	state endpoint.StreamState
	keys  []blockKey
	// pinned is the number of leading keys whose blocks the stream pins in the cache, private the
	// number of blocks that only it holds.
	pinned  int
	private int
	// hasKV is set while the stream holds memory.
	hasKV bool
	// toPrefill is the number of tokens to process before the next token is produced.
	toPrefill int
	generated int
	started   bool
	cached    int
	prefilled int
}

func newStream(r Request) *stream {
	if r.OutputTokens <= 0 || r.OutputTokens > r.MaxTokens {
		r.OutputTokens = r.MaxTokens
	}
	s := &stream{req: r, state: endpoint.StateWaiting, keys: make([]blockKey, len(r.Prefix))}
	for i, h := range r.Prefix {
		s.keys[i] = blockKey{model: r.Model, adapter: r.Adapter, hash: h}
	}
	return s
}

// context returns the number of tokens whose KV the next token needs.
func (s *stream) context() int {
	return s.req.PromptTokens + s.generated
}

// blocks returns the number of blocks that prompt and longest answer need.
func (r Request) blocks(blockTokens int) int {
	return (r.PromptTokens + r.MaxTokens + blockTokens - 1) / blockTokens
}

// end returns the data of the stream's end event.
func (s *stream) end(reason endpoint.FinishReason) endpoint.End {
	return endpoint.End{
		FinishReason:     reason,
		PromptTokens:     s.req.PromptTokens,
		CachedTokens:     s.cached,
		PrefillTokens:    s.prefilled,
		CompletionTokens: s.generated,
	}
}

// finishReason returns the reason with which a complete answer ends.
func (s *stream) finishReason() endpoint.FinishReason {
	if s.req.OutputTokens < s.req.MaxTokens {
		return endpoint.FinishStop
	}
	return endpoint.FinishLength
}
