package request

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Arrival is a request that has passed the checks of its caller and its limits.
type Arrival struct {
	Work entity.Work
	// Key is the caller's idempotency key, required for non-idempotent work.
	Key string
	// BodyHash distinguishes a repetition of a request from another request with the
	// same key.
	BodyHash string
}

// End is the result of a dispatch, as seen by the I/O side.
type End struct {
	// Err is nil after a complete answer.
	Err *verdict.Error
	// Release is the release to send to the owner.
	Release entity.Release
	// Answer is the answer of a non-idempotent call, to be stored under its key.
	Answer *Answer
}

// Answer is the answer of a call to a plain service, with a body small enough to
// store.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is set if the body was too large to store.
	Truncated bool `json:"truncated,omitempty"`
}

// DirectiveKind is the kind of a Directive.
type DirectiveKind int

// Kinds of directives.
const (
	// DirectiveDispatch sends the request to the endpoint: the irrevocable step.
	// It must not be carried out after NotAfter; the request then ends with
	// verdict "not run".
	DirectiveDispatch DirectiveKind = iota
	// DirectivePause pauses the stream on its endpoint and reports Paused.
	DirectivePause
	// DirectiveResume resumes the paused stream on the same endpoint.
	DirectiveResume
	// DirectiveCancel cancels the stream on its endpoint and reports Ended.
	DirectiveCancel
	// DirectiveFinish sends the final answer to the caller. It is issued exactly
	// once, as the last directive of the request.
	DirectiveFinish
)

// Directive tells the I/O side what to do for one request.
type Directive struct {
	ID         entity.RequestID
	Kind       DirectiveKind
	Endpoint   entity.EndpointID
	ImportFrom entity.EndpointID
	NotAfter   time.Time
	Err        *verdict.Error
	Answer     *Answer
}

// ReservationTo is a reservation to send to an owner.
type ReservationTo struct {
	Owner       entity.InstanceID
	Reservation entity.Reservation
}

// WithdrawalTo withdraws a reservation at an owner.
type WithdrawalTo struct {
	Owner entity.InstanceID
	ID    entity.RequestID
	Seq   uint32
}

// ReleaseTo releases a slot at an owner.
type ReleaseTo struct {
	Owner   entity.InstanceID
	Release entity.Release
}

// HeldSlotTo notifies an owner of a request that runs on one of its endpoints
// without its grant.
type HeldSlotTo struct {
	Owner entity.InstanceID
	Slot  entity.HeldSlot
}

// Proposal requests the claim of a non-idempotent request's key.
type Proposal struct {
	ID       entity.RequestID
	Org      entity.OrgID
	Key      string
	BodyHash string
}

// Settlement records the outcome of a claimed request.
type Settlement struct {
	ID      entity.RequestID
	Verdict verdict.Verdict
	Answer  *Answer
}

// Retry reports another attempt after a dispatch that was provably not run.
type Retry struct {
	ID     entity.RequestID
	Reason verdict.Reason
}

// Finished is a request that got its final answer. Err is nil if it ran.
type Finished struct {
	Work    entity.Work
	Arrived time.Time
	Err     *verdict.Error
}

// Ready is a batch to carry out, each list in order.
type Ready struct {
	Reservations []ReservationTo
	Withdrawals  []WithdrawalTo
	Releases     []ReleaseTo
	HeldSlots    []HeldSlotTo
	Proposals    []Proposal
	Settlements  []Settlement
	Directives   []Directive
	Retries      []Retry
	Finished     []Finished
}
