// Package verdict describes the result of a request that was refused, retried or
// failed: whether an endpoint may have run it, why, and when the caller may retry.
//
// Every refusal in the system carries one Reason from the closed list below,
// and every reason has one counter in the metrics.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Verdict states whether a request may have run on an endpoint.
type Verdict string

// The three verdicts. MayHaveRun applies whenever neither Ran nor NotRun is proven.
const (
	// Ran means that an endpoint ran the request to its end.
	Ran Verdict = "ran"
	// NotRun means that no endpoint ran any part of the request, and none will.
	NotRun Verdict = "not_run"
	// MayHaveRun means that the request was dispatched, or may have been, and
	// that its result is not known.
	MayHaveRun Verdict = "may_have_run"
)

// Reason states why a request was refused, retried or abandoned.
type Reason string

// The closed list of reasons.
const (
	ReasonNone             Reason = ""
	ReasonBadRequest       Reason = "bad_request"
	ReasonBodyTooLarge     Reason = "body_too_large"
	ReasonHeaderTooLarge   Reason = "header_too_large"
	ReasonRequestTimeout   Reason = "request_timeout"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonTierNotAllowed   Reason = "tier_not_allowed"
	ReasonUnknownModel     Reason = "unknown_model"
	ReasonUnknownPool      Reason = "unknown_pool"
	ReasonUnknownRequest   Reason = "unknown_request"
	ReasonKeyRequired      Reason = "key_required"
	ReasonKeyReused        Reason = "key_reused"
	ReasonKeyInProgress    Reason = "key_in_progress"
	ReasonKeyExpired       Reason = "key_expired"
	ReasonRateLimit        Reason = "rate_limit"
	ReasonConcurrencyLimit Reason = "concurrency_limit"
	ReasonOverload         Reason = "overload"
	ReasonDeadline         Reason = "deadline"
	ReasonNoEndpoint       Reason = "no_endpoint"
	ReasonLogUnavailable   Reason = "log_unavailable"
	ReasonNotReady         Reason = "not_ready"
	ReasonConfigUnproved   Reason = "config_unproved"
	ReasonStopping         Reason = "stopping"
	ReasonOwnerUnreachable Reason = "owner_unreachable"
	ReasonEndpointRefused  Reason = "endpoint_refused"
	ReasonEndpointFailed   Reason = "endpoint_failed"
	ReasonConnectionLost   Reason = "connection_lost"
	ReasonAnswerIncomplete Reason = "answer_incomplete"
	ReasonAnswerTooLarge   Reason = "answer_too_large"
	ReasonAnswerMalformed  Reason = "answer_malformed"
	ReasonQuarantined      Reason = "quarantined"
	ReasonEndpointLimit    Reason = "endpoint_limit"
	ReasonEndpointMemory   Reason = "endpoint_memory"
	ReasonOriginUnknown    Reason = "origin_unknown"
	ReasonVersionGone      Reason = "version_gone"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonCallerSlow       Reason = "caller_slow"
	ReasonPreempted        Reason = "preempted"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonInternal         Reason = "internal"
)

// httpStatus maps each reason to the HTTP status code sent to the caller.
var httpStatus = map[Reason]int{
	ReasonBadRequest:       http.StatusBadRequest,
	ReasonBodyTooLarge:     http.StatusRequestEntityTooLarge,
	ReasonHeaderTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
	ReasonRequestTimeout:   http.StatusRequestTimeout,
	ReasonUnauthenticated:  http.StatusUnauthorized,
	ReasonTierNotAllowed:   http.StatusForbidden,
	ReasonUnknownModel:     http.StatusNotFound,
	ReasonUnknownPool:      http.StatusNotFound,
	ReasonUnknownRequest:   http.StatusNotFound,
	ReasonKeyRequired:      http.StatusBadRequest,
	ReasonKeyReused:        http.StatusConflict,
	ReasonKeyInProgress:    http.StatusConflict,
	ReasonKeyExpired:       http.StatusGone,
	ReasonRateLimit:        http.StatusTooManyRequests,
	ReasonConcurrencyLimit: http.StatusTooManyRequests,
	ReasonOverload:         http.StatusServiceUnavailable,
	ReasonDeadline:         http.StatusGatewayTimeout,
	ReasonNoEndpoint:       http.StatusServiceUnavailable,
	ReasonLogUnavailable:   http.StatusServiceUnavailable,
	ReasonNotReady:         http.StatusServiceUnavailable,
	ReasonConfigUnproved:   http.StatusServiceUnavailable,
	ReasonStopping:         http.StatusServiceUnavailable,
	ReasonOwnerUnreachable: http.StatusServiceUnavailable,
	ReasonEndpointRefused:  http.StatusServiceUnavailable,
	ReasonEndpointFailed:   http.StatusBadGateway,
	ReasonConnectionLost:   http.StatusBadGateway,
	ReasonAnswerIncomplete: http.StatusBadGateway,
	ReasonAnswerTooLarge:   http.StatusBadGateway,
	ReasonAnswerMalformed:  http.StatusBadGateway,
	ReasonQuarantined:      http.StatusServiceUnavailable,
	ReasonEndpointLimit:    http.StatusServiceUnavailable,
	ReasonEndpointMemory:   http.StatusServiceUnavailable,
	ReasonOriginUnknown:    http.StatusServiceUnavailable,
	ReasonVersionGone:      http.StatusServiceUnavailable,
	ReasonCallerGone:       499,
	ReasonCallerSlow:       499,
	ReasonPreempted:        http.StatusServiceUnavailable,
	ReasonRetryBudget:      http.StatusServiceUnavailable,
	ReasonInternal:         http.StatusInternalServerError,
}

// Reasons returns all reasons except ReasonNone, in no particular order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(httpStatus))
	for r := range httpStatus {
		all = append(all, r)
	}
	return all
}

// HTTPStatus returns the HTTP status code sent to callers for r, 500 for an unknown reason.
func (r Reason) HTTPStatus() int {
	if s, ok := httpStatus[r]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Error is the refusal or failure of a request together with its verdict.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict Verdict
	// Reason states why the request was refused or failed.
	Reason Reason
	// RetryAfter is the time after which the caller may retry; zero means that a retry
	// doesn't help.
	RetryAfter time.Duration
	// Message is the human-readable explanation.
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Reason, e.Verdict)
}

// New returns an *Error wrapped with a stack trace.
func New(v Verdict, r Reason, retryAfter time.Duration, format string, args ...any) error {
	return trace.Wrap(&Error{Verdict: v, Reason: r, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)})
}

// Of returns the *Error that err wraps. If err wraps none, Of returns an internal error
// with verdict MayHaveRun, the only safe assumption.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Reason: ReasonInternal, Message: trace.UserMessage(err)}
}
