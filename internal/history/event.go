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
	// KindSend: a caller sent a request. Caller, Request, Org, Key (only for a
	// non-idempotent request), Tier, Pool, Instance (if the caller knows it).
	KindSend Kind = "send"
	// KindAnswer: the caller received its final answer. Caller, Request, Verdict,
	// Reason, Complete, Digest.
	KindAnswer Kind = "answer"
	// KindDispatch: a request arrived at an endpoint as new work. Request,
	// Endpoint, Pool, Tier, Org, Key (only for a non-idempotent request).
	KindDispatch Kind = "dispatch"
	// KindRunStart: the endpoint began to process a request, for the first time
	// or after a pause. Fields as for a dispatch.
	KindRunStart Kind = "run_start"
	// KindRunEnd: the endpoint stopped processing a request. Request, Endpoint,
	// Complete (it ran to its end), Digest (of the complete answer).
	KindRunEnd Kind = "run_end"
	// KindTokens: the endpoint produced tokens. Request, Endpoint, Tokens.
	KindTokens Kind = "tokens"
	// KindShed: a request was refused because of overload. Request, Pool, Tier,
	// Eligible (reachable endpoints that could have served it).
	KindShed Kind = "shed"
	// KindLeave: an endpoint began to leave. Endpoint.
	KindLeave Kind = "leave"
	// KindReturn: an endpoint that had left is in service again. Endpoint.
	KindReturn Kind = "return"
	// KindAccept: a configuration revision was accepted. Revision.
	KindAccept Kind = "accept"
	// KindInForce: an instance was observed to use a revision. Instance, Revision.
	KindInForce Kind = "in_force"
	// KindUp: an instance began to serve callers. Instance, Zone.
	KindUp Kind = "up"
	// KindDown: an instance ended, froze, or lost its connection to the log. After a
	// freeze or a lost connection, KindUp follows once it serves callers and reaches
	// the log again. Instance.
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

// Guarantee names a guarantee of the system.
type Guarantee string

// The guarantees.
const (
	GuaranteeOneDispatch    Guarantee = "one_dispatch"     // a request is dispatched at most once
	GuaranteeOneRunPerKey   Guarantee = "one_run_per_key"  // a key runs at most once within Limits.Window
	GuaranteeNotRun         Guarantee = "not_run"          // a request with the verdict "not run" never runs
	GuaranteeCompleteAnswer Guarantee = "whole_answer"     // a complete answer is the output of its own request
	GuaranteeTierOrder      Guarantee = "tier_order"       // no request is shed while a lower tier is served
	GuaranteeLeaving        Guarantee = "leaving"          // a leaving endpoint receives no new work
	GuaranteeRevisionOrder  Guarantee = "revision_order"   // the revision in force at an instance never decreases
	GuaranteeRevisionDelay  Guarantee = "revision_soon"    // an accepted revision is in force everywhere within Limits.InForceWithin
	GuaranteeGracefulStop   Guarantee = "graceful_stop"    // a planned stop cuts no request
	GuaranteeOneFinalAnswer Guarantee = "one_final_answer" // every request gets exactly one final answer
)

// Violation describes one violation of a guarantee.
type Violation struct {
	Guarantee Guarantee         `json:"promise"`
	At        time.Time         `json:"at"`
	Request   entity.RequestID  `json:"request,omitempty"`
	Endpoint  entity.EndpointID `json:"endpoint,omitempty"`
	Instance  entity.InstanceID `json:"instance,omitempty"`
	Message   string            `json:"message"`
}

// Limits are the time limits that the guarantees refer to.
type Limits struct {
	// Window is the deduplication window of an idempotency key.
	Window time.Duration
	// LeaveWithin is how long an endpoint may still receive new work after it
	// began to leave.
	LeaveWithin time.Duration
	// InForceWithin is how long it may take until an accepted revision is in
	// force at every instance.
	InForceWithin time.Duration
}

// DefaultLimits are the limits that Check uses.
var DefaultLimits = Limits{
	Window:        24 * time.Hour,
	LeaveWithin:   3 * time.Second,
	InForceWithin: 4 * time.Second,
}
