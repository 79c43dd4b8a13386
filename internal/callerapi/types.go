// Package callerapi defines the HTTP interface between callers and instances:
// paths, header fields and JSON types.
package callerapi

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// URL paths of the interface.
const (
	PathCompletions = "/v1/completions"
	// PathServices is followed by the name of the pool, "/" and the path at the service.
	PathServices = "/services/"
	// PathRequests is followed by a request id.
	PathRequests = "/v1/requests/"
)

// Header fields of a request. The organisation's key goes into
// "Authorization: Bearer <key>".
const (
	// HeaderTier is the name of the tier. Without it the contract's default tier applies.
	HeaderTier = "X-Medlarhold-Tier"
	// HeaderDeadlineMs is the time within which the caller needs the answer, in milliseconds.
	HeaderDeadlineMs = "X-Medlarhold-Deadline-Ms"
	// HeaderRequestKey is the idempotency key. Some HTTP libraries repeat
	// requests with this field on their own; the claims of keys make such
	// repetitions harmless.
	HeaderRequestKey = "Idempotency-Key"
	// HeaderLabel is a label that the organisation has chosen for this kind of request.
	HeaderLabel = "X-Medlarhold-Label"
)

// Header fields of a response.
const (
	HeaderRequestID = "X-Request-ID"
	HeaderVerdict   = "X-Medlarhold-Verdict"
	HeaderReason    = "X-Medlarhold-Reason"
	// HeaderReplayed is "true" if the response is the outcome of an earlier request with the same key.
	HeaderReplayed = "X-Medlarhold-Replayed"
	// HeaderBodyOmitted is "true" if the body of a replayed outcome was too large to be stored.
	HeaderBodyOmitted = "X-Medlarhold-Body-Omitted"
)

// Error is the body of an error response that an instance, not an endpoint, has generated.
type Error struct {
	RequestID    entity.RequestID `json:"request_id,omitempty"`
	Verdict      verdict.Verdict  `json:"verdict"`
	Reason       verdict.Reason   `json:"reason"`
	Message      string           `json:"message"`
	RetryAfterMs int64            `json:"retry_after_ms,omitempty"`
}

// Request is the status of a request: the response to a GET of PathRequests with
// its id.
type Request struct {
	ID entity.RequestID `json:"id"`
	// State is claiming, queued, running, pausing, paused or finished. It is
	// lost if the entry instance of the request can no longer be reached.
	State    string            `json:"state"`
	Verdict  verdict.Verdict   `json:"verdict,omitempty"`
	Reason   verdict.Reason    `json:"reason,omitempty"`
	Endpoint entity.EndpointID `json:"endpoint,omitempty"`
	// At is the time of the final answer.
	At time.Time `json:"at,omitzero"`
}

// Completion is the body of a POST to PathCompletions.
type Completion struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
}
