package broker

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// SlotRequest is the message by which an entry asks a broker for a slot of a pool.
type SlotRequest struct {
	ID entity.RequestID `json:"i"`
	// From is the entry instance, the only one that dispatches the request.
	From entity.InstanceID `json:"f"`
	// Seq orders the slot requests of one request: the highest is the current one.
	Seq  uint32        `json:"n"`
	Pool entity.PoolID `json:"p"`
	Rank int           `json:"r,omitempty"`
	// Org is the organisation that sent the request, empty if none is known.
	Org entity.OrgID `json:"o,omitempty"`
	// Weight is the organisation's weight, see package fairshare; 0 if it is not known.
	Weight float64 `json:"ow,omitempty"`
	// Key identifies the request, whatever its ID: it is the same if the caller sends it again. It
	// is 0 if it is not known.
	Key uint64 `json:"k,omitempty"`
	// PromptTokens and AnswerTokens estimate the work.
	PromptTokens int `json:"t,omitempty"`
	AnswerTokens int `json:"a,omitempty"`
	// TargetIn is the time left until the answer is late, DeadlineIn the time left until it may no
	// longer begin, both from the sending of this message. EndIn, if above 0, is the time left
	// until the complete answer must have arrived.
	TargetIn   time.Duration `json:"g"`
	DeadlineIn time.Duration `json:"d"`
	EndIn      time.Duration `json:"e,omitempty"`
	// EntryEndsIn, if above 0, is the time left until the entry instance ends, in a planned stop.
	EntryEndsIn time.Duration `json:"l,omitempty"`
	// IsRetry is set if the caller has probably sent this request before, for example because it
	// was refused.
	IsRetry bool `json:"b,omitempty"`
	// Avoid lists endpoints that have failed this request.
	Avoid []entity.EndpointID `json:"x,omitempty"`
	// NoForward is set if the slot request must not be forwarded to another zone, because it has
	// been forwarded already.
	NoForward bool `json:"w,omitempty"`
	// Version is the only software version of engines that may get the request, which goes on with
	// a stream; empty if any may.
	Version string `json:"v,omitempty"`
	// Only and Not constrain a new request: Only is the one software version of engines that may get it, Not
	// lists versions that must not. Spread is the share of the engines of Only that may, 0 for all.
	Only   string   `json:"y,omitempty"`
	Not    []string `json:"z,omitempty"`
	Spread float64  `json:"q,omitempty"`
}

// pinned reports whether only engines of one software version may get the request.
func (r *SlotRequest) pinned() bool { return r.Version != "" }

// Queued acknowledges a slot request that waits at the sending broker.
type Queued struct {
	ID  entity.RequestID `json:"i"`
	Seq uint32           `json:"n"`
}

// Forwarded tells an entry that its slot request was forwarded to another broker, which will answer
// it.
type Forwarded struct {
	ID  entity.RequestID  `json:"i"`
	Seq uint32            `json:"n"`
	To  entity.InstanceID `json:"t"`
}

// Grant assigns a slot of an endpoint to a request.
type Grant struct {
	ID       entity.RequestID  `json:"i"`
	Seq      uint32            `json:"n"`
	Endpoint entity.EndpointID `json:"e"`
	// Zone is the zone of the endpoint.
	Zone entity.ZoneID `json:"z"`
}

// DenyReason is the reason why a request gets no slot.
type DenyReason string

// Reasons for a Deny.
const (
	// DenyOverload: the request can't be served on time, and too many requests wait.
	DenyOverload DenyReason = "overload"
	// DenyDeadline: no engine could begin the answer before the deadline, or a late request has
	// waited for LateWaitFraction of its time.
	DenyDeadline DenyReason = "deadline"
	// DenyNoEndpoint: the broker knows no engine of the pool, or all of them are leaving.
	DenyNoEndpoint DenyReason = "no_endpoint"
	// DenyLimit: the limits that the engines of the pool have stated don't allow the request to
	// begin on time.
	DenyLimit DenyReason = "endpoint_limit"
	// DenyVersion: the broker knows no engine of the software version that the request needs.
	DenyVersion DenyReason = "version_gone"
	// DenyMemory: the request is larger than the memory of an engine of the pool.
	DenyMemory DenyReason = "endpoint_memory"
	// DenyEntryEnds: the entry instance stops before the request could be answered.
	DenyEntryEnds DenyReason = "entry_ends"
)

// Deny answers a slot request that gets no slot, with the time after which the caller may retry.
type Deny struct {
	ID         entity.RequestID `json:"i"`
	Seq        uint32           `json:"n"`
	Reason     DenyReason       `json:"r"`
	RetryAfter time.Duration    `json:"a,omitempty"`
	// Appointed is set if room is expected for the request after RetryAfter.
	Appointed bool `json:"k,omitempty"`
}

// Withdraw cancels a slot request, or releases the slot if it has been granted.
type Withdraw struct {
	ID  entity.RequestID `json:"i"`
	Seq uint32           `json:"n"`
}

// Started reports that the first event of an answer has arrived.
type Started struct {
	ID entity.RequestID `json:"i"`
	// After is the time since the dispatch.
	After time.Duration `json:"a"`
	// Slowdown is what the response states about its engine, see Done.
	Slowdown float64 `json:"l,omitempty"`
}

// Done reports the end of a dispatch and releases its slot.
type Done struct {
	ID entity.RequestID `json:"i"`
	// Seq identifies the slot request whose grant ends.
	Seq uint32 `json:"n"`
	// Failed is set if the engine did not answer correctly, NotRun if it refused to run the
	// request.
	Failed bool `json:"x,omitempty"`
	NotRun bool `json:"z,omitempty"`
	// Unreachable is set with NotRun if no connection to the engine could be opened.
	Unreachable bool `json:"u,omitempty"`
	// Streaming is the time from the first to the last event of a complete answer, 0 if it says
	// nothing about the engine. Tokens is the number of tokens received, 0 if unknown.
	Streaming time.Duration `json:"s,omitempty"`
	Tokens    int           `json:"t,omitempty"`
	// Slowdown is how long work took at the engine when the response began, relative to usual; 0 if
	// it was not stated.
	Slowdown float64 `json:"l,omitempty"`
}

// RunningRequest is a request that an entry runs on an endpoint without the receiving broker's
// grant.
type RunningRequest struct {
	ID           entity.RequestID  `json:"i"`
	Seq          uint32            `json:"n"`
	Endpoint     entity.EndpointID `json:"e"`
	PromptTokens int               `json:"t,omitempty"`
	AnswerTokens int               `json:"a,omitempty"`
	DeadlineIn   time.Duration     `json:"d"`
	Started      bool              `json:"s,omitempty"`
}

// RunningReport tells a broker which requests an entry runs on the engines of a pool without that
// broker's grant.
type RunningReport struct {
	Pool     entity.PoolID    `json:"p"`
	Requests []RunningRequest `json:"h"`
	// Appointments are those that callers of the entry have.
	Appointments []AppointmentNotice `json:"k,omitempty"`
}

// ZoneState is the summary of one pool that a broker sends to the brokers of other zones.
type ZoneState struct {
	Pool entity.PoolID `json:"p"`
	Zone entity.ZoneID `json:"z"`
	// Free is the number of free slots minus the number of waiting requests, Slots the number of
	// slots of the engines that can be granted now or that run requests.
	Free  int `json:"f"`
	Slots int `json:"s"`
	// WaitsMs is the expected wait in milliseconds by rank. The last element applies to all lower
	// ranks and to late requests.
	WaitsMs [rankClasses]int64 `json:"w"`
	// Versions lists the software versions of the engines that are not leaving.
	Versions []string `json:"v,omitempty"`
	// Appointments are those made since the last report.
	Appointments []AppointmentNotice `json:"k,omitempty"`
}

// rankClasses is the number of rank classes in a ZoneState.
const rankClasses = 9
