package load

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Answer is what became of one request, as its caller saw it. It is one line
// of the journal.
type Answer struct {
	// Number is the request's place in the plan.
	Number int `json:"number"`
	// RequestID is the id that the system gave the request; empty if no answer came.
	RequestID entity.RequestID `json:"request_id"`
	Profile   string           `json:"profile"`
	Tier      string           `json:"tier"`
	Target    string           `json:"target"`
	Key       string           `json:"key,omitempty"`
	Due       time.Time        `json:"due"`
	// Sent is zero when too many requests were in flight.
	Sent time.Time `json:"sent,omitzero"`
	// First and Last are when the first and the last token came.
	First time.Time `json:"first,omitzero"`
	Last  time.Time `json:"last,omitzero"`
	End   time.Time `json:"end,omitzero"`

	Status     int             `json:"status,omitempty"`
	Verdict    verdict.Verdict `json:"verdict,omitempty"`
	Reason     verdict.Reason  `json:"reason,omitempty"`
	RetryAfter string          `json:"retry_after,omitempty"`
	// Complete says that the answer came to its end mark, or whole.
	Complete bool `json:"complete"`
	// Foreign says that the answer is for another request.
	Foreign bool `json:"foreign,omitempty"`
	// InTime says that it came before the deadline.
	InTime bool `json:"in_time"`
	Tokens int  `json:"tokens,omitempty"`
	// Digest is the xxHash64 of the answer's text, or of a call's body.
	Digest string `json:"digest,omitempty"`
	// Error is what went wrong on the caller's side.
	Error string `json:"error,omitempty"`
}

// Good says that the answer counts as goodput: whole, the caller's own, and in time.
func (a Answer) Good() bool {
	return a.Complete && a.InTime && !a.Foreign && a.Verdict == verdict.Ran && a.Status < 300
}
