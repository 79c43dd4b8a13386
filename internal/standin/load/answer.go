package load

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Answer is the outcome of one request as its caller observed it. It is one line of the journal.
type Answer struct {
	// Number is the request's place in the plan.
	Number int `json:"number"`
	// RequestID is the id that the system assigned; empty if no response arrived.
	RequestID entity.RequestID `json:"request_id"`
	Profile   string           `json:"profile"`
	Tier      string           `json:"tier"`
	Target    string           `json:"target"`
	Key       string           `json:"key,omitempty"`
	Due       time.Time        `json:"due"`
	// Sent is zero if the request was not sent because too many were in flight.
	Sent time.Time `json:"sent,omitzero"`
	// First and Last are the arrival times of the first and the last token.
	First time.Time `json:"first,omitzero"`
	Last  time.Time `json:"last,omitzero"`
	End   time.Time `json:"end,omitzero"`

	Status     int             `json:"status,omitempty"`
	Verdict    verdict.Verdict `json:"verdict,omitempty"`
	Reason     verdict.Reason  `json:"reason,omitempty"`
	RetryAfter string          `json:"retry_after,omitempty"`
	// Complete is set if the answer arrived in full: a stream up to its end event, any other answer
	// with its full body.
	Complete bool `json:"complete"`
	// Foreign is set if the answer, or a part of it, belongs to another request.
	Foreign bool `json:"foreign,omitempty"`
	// InTime is set if the answer ended before the deadline.
	InTime bool `json:"in_time"`
	Tokens int  `json:"tokens,omitempty"`
	// Digest is the xxHash64 of the answer's text, or of the response body of a call.
	Digest string `json:"digest,omitempty"`
	// Error is an error on the caller's side, such as a lost connection.
	Error string `json:"error,omitempty"`
}

// Good reports whether the answer counts as goodput: the request ran, and its answer is complete,
// belongs to it, arrived in time and has a status below 300.
func (a Answer) Good() bool {
	return a.Complete && a.InTime && !a.Foreign && a.Verdict == verdict.Ran && a.Status < 300
}
