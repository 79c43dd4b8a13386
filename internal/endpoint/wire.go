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

// Token is one token of an answer. Indices start at 0 and have no gaps.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// FinishReason is the reason why a stream ended.
type FinishReason string

// The reasons for a stream's end.
const (
	FinishStop      FinishReason = "stop"
	FinishLength    FinishReason = "length"
	FinishCancelled FinishReason = "cancelled"
	FinishError     FinishReason = "error"
)

// Complete reports whether an answer with this reason is complete.
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

// Result describes a stream when Generate or Attach returns. It is valid also
// with an error.
type Result struct {
	// End is zero if no end event was received.
	End
	// Tokens is the number of tokens that onToken accepted.
	Tokens int
	// Reattached is the number of attempts to attach to the stream again.
	Reattached int
	// TimeToFirstToken is measured from the call; zero if no token was received.
	TimeToFirstToken time.Duration
	// DecodeTime is the time from the first token to the last one.
	DecodeTime time.Duration
}

// StreamState is the state of a stream on an engine.
type StreamState string

// The states of a stream.
const (
	StateWaiting StreamState = "waiting"
	StateRunning StreamState = "running"
	StatePaused  StreamState = "paused"
	StateEnded   StreamState = "ended"
)

// StreamStatus is the response to pause, resume and cancel.
type StreamStatus struct {
	State  StreamState `json:"state"`
	Tokens int         `json:"tokens"`
}

// Load is an engine's load report. It is out of date by the time since AsOf.
type Load struct {
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	KVTokens int       `json:"kv_tokens"`
	AsOf     time.Time `json:"as_of"`
	// CacheSeq is the sequence number of the newest cache event; zero if there
	// is none or the engine doesn't report it.
	CacheSeq uint64 `json:"cache_seq,omitempty"`
}

// CacheEvents is a batch of changes of an engine's prefix cache. Next is the
// sequence number to request next.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// First is the index in its prompt of the first stored block; the others
	// follow it without a gap.
	First   int         `json:"first,omitempty"`
	Stored  []BlockHash `json:"stored,omitempty"`
	Evicted []BlockHash `json:"evicted,omitempty"`
	Cleared bool        `json:"cleared,omitempty"`
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order instructs an engine to change what it serves.
type Order struct {
	Kind    OrderKind        `json:"kind"`
	Model   entity.ModelID   `json:"model,omitempty"`
	Adapter entity.AdapterID `json:"adapter,omitempty"`
	Version string           `json:"version,omitempty"`
	Role    string           `json:"role,omitempty"`
	// Fence is the fencing number of the lease under which the order is given.
	Fence int64 `json:"fence"`
	// ExpiresMs is how long after its arrival the engine may carry out the
	// order, in milliseconds.
	ExpiresMs int64 `json:"expires_ms"`
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

// Export is the KV cache that an engine can export.
type Export struct {
	Blocks []BlockHash `json:"blocks"`
	Bytes  int64       `json:"bytes"`
}

// ImportRequest makes an engine fetch KV cache from another one.
type ImportRequest struct {
	From    string           `json:"from"`
	Model   entity.ModelID   `json:"model"`
	Adapter entity.AdapterID `json:"adapter"`
	Blocks  []BlockHash      `json:"blocks"`
}

// Import is the result of an import: the number of blocks that were fetched.
type Import struct {
	Imported int `json:"imported"`
}
