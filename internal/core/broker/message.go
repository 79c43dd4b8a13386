package broker

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// SlotRequest asks for a slot of a pool.
type SlotRequest struct {
	ID entity.RequestID `json:"i"`
	// From is the entry instance, which alone dispatches.
	From entity.InstanceID `json:"f"`
	// Seq tells the questions about one request apart.
	Seq  uint32        `json:"n"`
	Pool entity.PoolID `json:"p"`
	Rank int           `json:"r,omitempty"`
	// PromptTokens and AnswerTokens estimate the work.
	PromptTokens int `json:"t,omitempty"`
	AnswerTokens int `json:"a,omitempty"`
	// TargetIn and DeadlineIn are when the answer begins to be late, and when it
	// is of no use to begin it; they count from when the message is sent. EndIn,
	// if above 0, is when the whole answer must have come.
	TargetIn   time.Duration `json:"g"`
	DeadlineIn time.Duration `json:"d"`
	EndIn      time.Duration `json:"e,omitempty"`
	// IsRetry says that the caller was refused before.
	IsRetry bool `json:"b,omitempty"`
	// Avoid lists endpoints that have failed the request.
	Avoid []entity.EndpointID `json:"x,omitempty"`
	// NoForward says that the question must not be passed on to another zone: it was
	// before.
	NoForward bool `json:"w,omitempty"`
}

// Queued says that a request waits here.
type Queued struct {
	ID  entity.RequestID `json:"i"`
	Seq uint32           `json:"n"`
}

// Forwarded says that a question went on to another broker, who answers it.
type Forwarded struct {
	ID  entity.RequestID  `json:"i"`
	Seq uint32            `json:"n"`
	To  entity.InstanceID `json:"t"`
}

// Grant gives a slot of an endpoint.
type Grant struct {
	ID       entity.RequestID  `json:"i"`
	Seq      uint32            `json:"n"`
	Endpoint entity.EndpointID `json:"e"`
	// Zone is the endpoint's.
	Zone entity.ZoneID `json:"z"`
}

// DenyReason says why a request gets no slot.
type DenyReason string

// The reasons.
const (
	// DenyOverload: the request can't be served in time, and too many wait.
	DenyOverload DenyReason = "overload"
	// DenyDeadline: no engine could answer before the deadline.
	DenyDeadline DenyReason = "deadline"
	// DenyNoEndpoint: no engine of the pool is known here.
	DenyNoEndpoint DenyReason = "no_endpoint"
)

// Deny says that a request gets no slot, and when to come back.
type Deny struct {
	ID         entity.RequestID `json:"i"`
	Seq        uint32           `json:"n"`
	Reason     DenyReason       `json:"r"`
	RetryAfter time.Duration    `json:"a,omitempty"`
}

// Withdraw takes a question back.
type Withdraw struct {
	ID  entity.RequestID `json:"i"`
	Seq uint32           `json:"n"`
}

// Started tells that the first event of an answer has come.
type Started struct {
	ID entity.RequestID `json:"i"`
	// After is the time since the dispatch.
	After time.Duration `json:"a"`
}

// Done gives a slot back.
type Done struct {
	ID entity.RequestID `json:"i"`
	// Seq is the question whose grant ends.
	Seq uint32 `json:"n"`
	// Failed says that the engine did not answer as it should, NotRun that it
	// refused to run the request.
	Failed bool `json:"x,omitempty"`
	NotRun bool `json:"z,omitempty"`
	// Streaming is the time from the first event to the last of a whole
	// answer, 0 where it says nothing of the engine. Tokens is how many came, 0
	// where that isn't known.
	Streaming time.Duration `json:"s,omitempty"`
	Tokens    int           `json:"t,omitempty"`
}

// RunningRequest is a request that an entry runs on an endpoint without the broker's grant.
type RunningRequest struct {
	ID           entity.RequestID  `json:"i"`
	Seq          uint32            `json:"n"`
	Endpoint     entity.EndpointID `json:"e"`
	PromptTokens int               `json:"t,omitempty"`
	AnswerTokens int               `json:"a,omitempty"`
	DeadlineIn   time.Duration     `json:"d"`
	Started      bool              `json:"s,omitempty"`
}

// RunningReport tells a broker what an entry runs on the pool's endpoints.
type RunningReport struct {
	Pool     entity.PoolID    `json:"p"`
	Requests []RunningRequest `json:"h"`
}

// ZoneState is what a broker tells those of other zones.
type ZoneState struct {
	Pool entity.PoolID `json:"p"`
	Zone entity.ZoneID `json:"z"`
	// Free is the number of free slots, less what waits for them; Slots is how
	// many there are.
	Free  int `json:"f"`
	Slots int `json:"s"`
	// WaitsMs is how long a request of each rank would wait here, in
	// milliseconds, the last one counting for all lower ranks and for late requests.
	WaitsMs [rankClasses]int64 `json:"w"`
}

// rankClasses is how many ranks are told apart between zones.
const rankClasses = 9
