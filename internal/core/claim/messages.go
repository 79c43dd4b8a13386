package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Proposal asks a home for the right to dispatch a request under a key.
type Proposal struct {
	Request  entity.RequestID  `json:"request"`
	Org      entity.OrgID      `json:"org"`
	Key      string            `json:"key"`
	BodyHash Hash              `json:"body_hash"`
	From     entity.InstanceID `json:"from"` // the entry instance
}

// Outcome reports how a proposed request ended. The entry instance sends it once
// the result is final. With NotRun it renounces the right to dispatch, which frees
// the key.
type Outcome struct {
	Request entity.RequestID  `json:"request"`
	Org     entity.OrgID      `json:"org"`
	Key     string            `json:"key"`
	From    entity.InstanceID `json:"from"`
	Verdict verdict.Verdict   `json:"verdict"`
	Reason  verdict.Reason    `json:"reason,omitempty"`
	Status  int               `json:"status,omitempty"` // HTTP status of the answer, with Ran
	Answer  []byte            `json:"answer,omitempty"` // at most MaxAnswerBytes
}

// Decision is the answer to a Proposal.
type Decision struct {
	Request entity.RequestID  `json:"request"`
	To      entity.InstanceID `json:"to"`
	// Won means that the request holds its key. The entry instance dispatches the
	// request if that is still wanted and less than DispatchWithin has passed since
	// the first proposal; otherwise it settles the request as NotRun. See Ticket.
	Won            bool          `json:"won,omitempty"`
	DispatchWithin time.Duration `json:"dispatch_within,omitempty"`
	// Verdict, Reason, RetryAfter, Status and Answer are returned to the caller if
	// the request did not win. A verdict other than NotRun is that of the request
	// that holds the key.
	Verdict    verdict.Verdict `json:"verdict,omitempty"`
	Reason     verdict.Reason  `json:"reason,omitempty"`
	RetryAfter time.Duration   `json:"retry_after,omitempty"`
	Status     int             `json:"status,omitempty"`
	Answer     []byte          `json:"answer,omitempty"`
	// AnswerDropped means that there was an answer that is no longer stored.
	AnswerDropped bool `json:"answer_dropped,omitempty"`
	// Holder is the request that holds the key, if that is a different one.
	Holder entity.RequestID `json:"holder,omitempty"`
}

// Acknowledgement confirms to the entry instance that an Outcome is in the log.
type Acknowledgement struct {
	Request entity.RequestID  `json:"request"`
	To      entity.InstanceID `json:"to"`
}

// BatchID identifies a batch. It is unique over all homes.
type BatchID string

// Batch is one record to append.
type Batch struct {
	ID     BatchID
	Stream platform.Stream
	Data   []byte
}

// AppendStatus is the result of an append as far as the sender knows it.
type AppendStatus = stream.AppendStatus

// The results of an append.
const (
	AppendUnknown = stream.AppendUnknown
	AppendDone    = stream.AppendDone
	AppendFailed  = stream.AppendFailed
)

// ReadRequest asks for records of the shard's stream; its fields are the arguments
// of platform.Log.Read.
type ReadRequest = stream.ReadRequest

// Ready is what a driver has to do after stepping a Shard.
type Ready struct {
	Appends          []Batch
	Read             *ReadRequest // nil while one is in flight or none is due
	Decisions        []Decision
	Acknowledgements []Acknowledgement
}
