// Package callerapi names what callers and instances say to each other over
// HTTP: paths, header fields and JSON types.
package callerapi

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Paths of the interface.
const (
	PathCompletions = "/v1/completions"
	// PathServices is followed by the pool and the service's own path.
	PathServices = "/services/"
	// PathRequests is followed by a request id.
	PathRequests = "/v1/requests/"
)

// Header fields of a request. The organisation's key goes into
// "Authorization: Bearer <key>".
const (
	// HeaderTier names the tier; the contract's default tier without it.
	HeaderTier = "X-Medlarhold-Tier"
	// HeaderDeadlineMS is how many milliseconds the caller has for the answer.
	HeaderDeadlineMS = "X-Medlarhold-Deadline-Ms"
	// HeaderRequestKey is the idempotency key. HTTP libraries may repeat requests
	// that carry it, which the claims of keys make harmless.
	HeaderRequestKey = "Idempotency-Key"
	// HeaderLabel is the organisation's own label for the work.
	HeaderLabel = "X-Medlarhold-Label"
)

// Header fields of an answer.
const (
	HeaderRequestID = "X-Request-ID"
	HeaderVerdict   = "X-Medlarhold-Verdict"
	HeaderReason    = "X-Medlarhold-Reason"
	// HeaderReplayed marks the outcome of an earlier request with the same key.
	HeaderReplayed = "X-Medlarhold-Replayed"
	// HeaderBodyOmitted marks a replayed outcome whose body was too large to keep.
	HeaderBodyOmitted = "X-Medlarhold-Body-Omitted"
)

// Error is the body of an answer that is not an endpoint's.
type Error struct {
	RequestID    entity.RequestID `json:"request_id,omitempty"`
	Verdict      verdict.Verdict  `json:"verdict"`
	Reason       verdict.Reason   `json:"reason"`
	Message      string           `json:"message"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
}

// Request is what the system knows about a request, the answer to a GET
// below PathRequests.
type Request struct {
	ID entity.RequestID `json:"id"`
	// State is claiming, queued, running, pausing, paused, finished, or lost
	// where the instance that took the request in can't be asked any more.
	State    string            `json:"state"`
	Verdict  verdict.Verdict   `json:"verdict,omitempty"`
	Reason   verdict.Reason    `json:"reason,omitempty"`
	Endpoint entity.EndpointID `json:"endpoint,omitempty"`
	// At is when the request got its final answer.
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
