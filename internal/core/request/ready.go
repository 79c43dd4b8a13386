package request

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Arrival is a request that passed the checks of its caller and its limits.
type Arrival struct {
	Work entity.Work
	// Key is the caller's idempotency key, required for non-idempotent work.
	Key string
	// BodyHash tells a repeated request from another one under the same key.
	BodyHash string
}

// End is how a dispatch ended, as the traffic side saw it.
type End struct {
	// Err is nil after a whole answer.
	Err *verdict.Error
	// Release carries what the owner is told.
	Release entity.Release
	// Answer is the answer of a non-idempotent call, to be kept under its key.
	Answer *Answer
}

// Answer is the outcome of a plain service call, small enough to keep.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated says that the body was too large to keep.
	Truncated bool `json:"truncated,omitempty"`
}

// DirectiveKind says what the traffic side is to do for a request.
type DirectiveKind int

// The directives.
const (
	// DirectiveDispatch sends the request to the endpoint: the irrevocable step.
	// After NotAfter it must not be taken; the end is then "not run".
	DirectiveDispatch DirectiveKind = iota
	// DirectivePause pauses the stream on its endpoint and reports Paused.
	DirectivePause
	// DirectiveResume resumes the paused stream on the same endpoint.
	DirectiveResume
	// DirectiveCancel cancels the stream on its endpoint and reports Ended.
	DirectiveCancel
	// DirectiveFinish gives the caller the final answer. It comes exactly once, last.
	DirectiveFinish
)

// Directive tells the traffic side what to do for one request.
type Directive struct {
	ID         entity.RequestID
	Kind       DirectiveKind
	Endpoint   entity.EndpointID
	ImportFrom entity.EndpointID
	NotAfter   time.Time
	Err        *verdict.Error
	Answer     *Answer
}

// ReservationTo is a question to an owner.
type ReservationTo struct {
	Owner       entity.InstanceID
	Reservation entity.Reservation
}

// WithdrawalTo takes a question back.
type WithdrawalTo struct {
	Owner entity.InstanceID
	ID    entity.RequestID
	Seq   uint32
}

// ReleaseTo gives a slot back.
type ReleaseTo struct {
	Owner   entity.InstanceID
	Release entity.Release
}

// HeldSlotTo tells an owner of a request that runs on an endpoint of its own
// without its grant.
type HeldSlotTo struct {
	Owner entity.InstanceID
	Slot  entity.HeldSlot
}

// Proposal asks for the claim of a non-idempotent request's key.
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

// Retry is a second try after a dispatch that provably did not run.
type Retry struct {
	ID     entity.RequestID
	Reason verdict.Reason
}

// Finished is a request that got its final answer; Err is nil when it ran.
type Finished struct {
	Work    entity.Work
	Arrived time.Time
	Err     *verdict.Error
}

// Ready is a batch of what is to be carried out, each list in order.
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
