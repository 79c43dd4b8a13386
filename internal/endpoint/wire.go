package endpoint

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// HeaderRequestID carries the request's id to and from endpoints.
const HeaderRequestID = "X-Request-ID"

// The names of a stream's events.
const (
	EventToken = "token"
	EventEnd   = "end"
)

// GenerateRequest is the body of POST /v1/completions.
type GenerateRequest struct {
	RequestID entity.RequestID `json:"request_id"`
	Model     entity.ModelID   `json:"model"`
	Adapter   entity.AdapterID `json:"adapter"`
	Prompt    string           `json:"prompt"`
	MaxTokens int              `json:"max_tokens"`
	// Stream is always set by the client.
	Stream bool `json:"stream"`
}

// Token is one token of an answer. Indices start at 0 and have no holes.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// FinishReason says why a stream ended.
type FinishReason string

// The reasons for a stream's end.
const (
	FinishStop      FinishReason = "stop"
	FinishLength    FinishReason = "length"
	FinishCancelled FinishReason = "cancelled"
	FinishError     FinishReason = "error"
)

// Complete says whether an answer that ended like this is whole.
func (f FinishReason) Complete() bool {
	return f == FinishStop || f == FinishLength
}

// End is the data of a stream's last event.
type End struct {
	FinishReason     FinishReason `json:"finish_reason"`
	PromptTokens     int          `json:"prompt_tokens"`
	CachedTokens     int          `json:"cached_tokens"`
	PrefillTokens    int          `json:"prefill_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
}

// Result is what is known of a stream when Generate or Attach returns, also
// with an error.
type Result struct {
	// End is zero when no end mark came.
	End
	// Tokens is how many tokens were handed to onToken.
	Tokens int
	// Reattached counts how often the stream was attached to again.
	Reattached int
	// TimeToFirstToken counts from the call; zero when no token came.
	TimeToFirstToken time.Duration
	// DecodeTime is the time from the first token to the last one.
	DecodeTime time.Duration
}

// StreamState is where a stream stands.
type StreamState string

// The states of a stream.
const (
	StateWaiting StreamState = "waiting"
	StateRunning StreamState = "running"
	StatePaused  StreamState = "paused"
	StateEnded   StreamState = "ended"
)

// StreamStatus is the answer to pause, resume and cancel.
type StreamStatus struct {
	State  StreamState `json:"state"`
	Tokens int         `json:"tokens"`
}

// Load is what an engine reports of itself. It lags.
type Load struct {
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	KVTokens int       `json:"kv_tokens"`
	AsOf     time.Time `json:"as_of"`
	// CacheSeq is the number of the newest cache event; zero if there is none
	// or the engine doesn't tell.
	CacheSeq uint64 `json:"cache_seq,omitempty"`
}

// CacheEvents is a batch of changes of an engine's prefix cache.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// First is the place in its prompt of the first block stored; the others
	// follow it without a hole.
	First   int         `json:"first,omitempty"`
	Stored  []BlockHash `json:"stored,omitempty"`
	Evicted []BlockHash `json:"evicted,omitempty"`
	Cleared bool        `json:"cleared,omitempty"`
}

// OrderKind names what an order asks for.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order asks an engine to change what it serves.
type Order struct {
	Kind    OrderKind        `json:"kind"`
	Model   entity.ModelID   `json:"model,omitempty"`
	Adapter entity.AdapterID `json:"adapter,omitempty"`
	Version string           `json:"version,omitempty"`
	Role    string           `json:"role,omitempty"`
	// Fence is the fencing number of the lease under which the order is given.
	Fence int64 `json:"fence"`
	// ExpiresMillis is how long after its arrival the order may be carried out.
	ExpiresMillis int64 `json:"expires_ms"`
}

// OrderStatus is what an engine serves and the highest fencing number it has seen.
type OrderStatus struct {
	Models   map[entity.ModelID]string `json:"models"`
	Adapters []entity.AdapterID        `json:"adapters"`
	Role     string                    `json:"role"`
	Fence    int64                     `json:"fence"`
}

// ExportRequest names the KV cache to export, by request or by prefix.
type ExportRequest struct {
	RequestID entity.RequestID `json:"request_id,omitempty"`
	Model     entity.ModelID   `json:"model,omitempty"`
	Adapter   entity.AdapterID `json:"adapter,omitempty"`
	Prefix    []BlockHash      `json:"prefix,omitempty"`
}

// Export is the KV cache that an engine can hand out.
type Export struct {
	Blocks []BlockHash `json:"blocks"`
	Bytes  int64       `json:"bytes"`
}

// ImportRequest has an engine fetch KV cache from another one.
type ImportRequest struct {
	From    string           `json:"from"`
	Model   entity.ModelID   `json:"model"`
	Adapter entity.AdapterID `json:"adapter"`
	Blocks  []BlockHash      `json:"blocks"`
}

// Import is how many blocks an engine has fetched.
type Import struct {
	Imported int `json:"imported"`
}
