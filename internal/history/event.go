package history

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Kind names the type of an Event.
type Kind string

// The kinds of event, with the fields that each uses besides At.
const (
	// KindSend: a caller sent a request. Caller, Request, Org, Key (only of a
	// non-idempotent request), Tier, Pool, Instance (if the caller knows it).
	KindSend Kind = "send"
	// KindAnswer: the caller got its final answer. Caller, Request, Verdict,
	// Reason, Whole, Digest.
	KindAnswer Kind = "answer"
	// KindDispatch: a request arrived at an endpoint as new work. Request,
	// Endpoint, Pool, Tier, Org, Key (only of a non-idempotent request).
	KindDispatch Kind = "dispatch"
	// KindRunStart: the endpoint began to work on it, for the first time or
	// after a pause. Fields as with a dispatch.
	KindRunStart Kind = "run_start"
	// KindRunEnd: the endpoint stopped working on it. Request, Endpoint,
	// Whole (it ran to its end), Digest (of the whole answer).
	KindRunEnd Kind = "run_end"
	// KindTokens: the endpoint produced tokens. Request, Endpoint, Tokens.
	KindTokens Kind = "tokens"
	// KindShed: a request was refused to relieve load. Request, Pool, Tier,
	// Eligible (endpoints in reach that could have served it).
	KindShed Kind = "shed"
	// KindLeave: an endpoint began to leave. Endpoint.
	KindLeave Kind = "leave"
	// KindReturn: an endpoint came back. Endpoint.
	KindReturn Kind = "return"
	// KindAccept: a configuration revision was accepted. Revision.
	KindAccept Kind = "accept"
	// KindInForce: an instance showed the revision that it acts by. Instance,
	// Revision.
	KindInForce Kind = "in_force"
	// KindUp: an instance began to serve callers. Instance, Zone.
	KindUp Kind = "up"
	// KindDown: an instance ended, or was cut off from the log; KindUp ends
	// the latter. Instance.
	KindDown Kind = "down"
	// KindStopBegin: a planned stop of an instance began. Instance.
	KindStopBegin Kind = "stop_begin"
	// KindStopEnd: the stopped instance ended. Instance.
	KindStopEnd Kind = "stop_end"
	// KindCut: a caller's connection or stream was cut before its answer was
	// complete. Request, Instance (that held the connection).
	KindCut Kind = "cut"
)

// Event is one line of a history.
type Event struct {
	At       time.Time           `json:"at"`
	Kind     Kind                `json:"kind"`
	Caller   string              `json:"caller,omitempty"`
	Request  entity.RequestID    `json:"request,omitempty"`
	Org      entity.OrgID        `json:"org,omitempty"`
	Key      string              `json:"key,omitempty"`
	Tier     entity.Tier         `json:"tier,omitempty"`
	Pool     entity.PoolID       `json:"pool,omitempty"`
	Endpoint entity.EndpointID   `json:"endpoint,omitempty"`
	Eligible []entity.EndpointID `json:"eligible,omitempty"`
	Instance entity.InstanceID   `json:"instance,omitempty"`
	Zone     entity.ZoneID       `json:"zone,omitempty"`
	Verdict  verdict.Verdict     `json:"verdict,omitempty"`
	Reason   verdict.Reason      `json:"reason,omitempty"`
	Complete bool                `json:"whole,omitempty"`
	Digest   string              `json:"digest,omitempty"` // of an answer
	Tokens   int                 `json:"tokens,omitempty"`
	Revision int64               `json:"revision,omitempty"`
}

// Guarantee names what a Violation breaks.
type Guarantee string

// The promises.
const (
	GuaranteeOneDispatch    Guarantee = "one_dispatch"     // a request is dispatched at most once
	GuaranteeOneRunPerKey   Guarantee = "one_run_per_key"  // a key runs at most once within the window
	GuaranteeNotRun         Guarantee = "not_run"          // what is told as not run never ran
	GuaranteeCompleteAnswer Guarantee = "whole_answer"     // a whole answer is the request's own
	GuaranteeTierOrder      Guarantee = "tier_order"       // no shedding while a lower tier is served
	GuaranteeLeaving        Guarantee = "leaving"          // no new work to a leaving endpoint
	GuaranteeRevisionOrder  Guarantee = "revision_order"   // revisions never go back
	GuaranteeRevisionDelay  Guarantee = "revision_soon"    // accepted means in force everywhere soon
	GuaranteeGracefulStop   Guarantee = "graceful_stop"    // a planned stop cuts nothing
	GuaranteeOneFinalAnswer Guarantee = "one_final_answer" // every caller gets exactly one
)

// Violation is one breach of a promise.
type Violation struct {
	Guarantee Guarantee         `json:"promise"`
	At        time.Time         `json:"at"`
	Request   entity.RequestID  `json:"request,omitempty"`
	Endpoint  entity.EndpointID `json:"endpoint,omitempty"`
	Instance  entity.InstanceID `json:"instance,omitempty"`
	Message   string            `json:"message"`
}

// Limits are the bounds that the promises name.
type Limits struct {
	// Window is the deduplication window of a key.
	Window time.Duration
	// LeaveWithin is how long after it began to leave an endpoint may still
	// get new work.
	LeaveWithin time.Duration
	// InForceWithin is how long an accepted revision may take to be in force.
	InForceWithin time.Duration
}

// DefaultLimits are the bounds that Check uses.
var DefaultLimits = Limits{
	Window:        24 * time.Hour,
	LeaveWithin:   3 * time.Second,
	InForceWithin: 4 * time.Second,
}
