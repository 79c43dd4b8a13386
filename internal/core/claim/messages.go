package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Proposal asks for the right to dispatch a request under a key.
type Proposal struct {
	Request  entity.RequestID  `json:"request"`
	Org      entity.OrgID      `json:"org"`
	Key      string            `json:"key"`
	BodyHash Hash              `json:"body_hash"`
	From     entity.InstanceID `json:"from"` // the entry instance
}

// Outcome tells how a request ended that was proposed. The entry instance
// sends it once the request is over for good: with NotRun it gives up the
// right to dispatch, which frees the key.
type Outcome struct {
	Request entity.RequestID  `json:"request"`
	Org     entity.OrgID      `json:"org"`
	Key     string            `json:"key"`
	From    entity.InstanceID `json:"from"`
	Verdict verdict.Verdict   `json:"verdict"`
	Reason  verdict.Reason    `json:"reason,omitempty"`
	Status  int               `json:"status,omitempty"` // of the answer, with Ran
	Answer  []byte            `json:"answer,omitempty"` // at most MaxAnswerBytes
}

// Decision answers a Proposal.
type Decision struct {
	Request entity.RequestID  `json:"request"`
	To      entity.InstanceID `json:"to"`
	// Won says that the request holds its key. The entry instance dispatches
	// it if it still waits, and no later than DispatchWithin after it first
	// proposed the request; else it settles it as NotRun. See Ticket.
	Won            bool          `json:"won,omitempty"`
	DispatchWithin time.Duration `json:"dispatch_within,omitempty"`
	// Verdict, Reason, RetryAfter, Status and Answer are what the caller is
	// told when the request did not win. A verdict other than NotRun speaks of
	// the request that holds the key.
	Verdict    verdict.Verdict `json:"verdict,omitempty"`
	Reason     verdict.Reason  `json:"reason,omitempty"`
	RetryAfter time.Duration   `json:"retry_after,omitempty"`
	Status     int             `json:"status,omitempty"`
	Answer     []byte          `json:"answer,omitempty"`
	// AnswerDropped says that there was an answer that is no longer kept.
	AnswerDropped bool `json:"answer_dropped,omitempty"`
	// Holder is the request that holds the key, if it is another one.
	Holder entity.RequestID `json:"holder,omitempty"`
}

// Acknowledgement tells the entry instance that an Outcome stands in the log.
type Acknowledgement struct {
	Request entity.RequestID  `json:"request"`
	To      entity.InstanceID `json:"to"`
}

// BatchID names one append, unique over all homes.
type BatchID string

// Batch is one record to append.
type Batch struct {
	ID     BatchID
	Stream platform.Stream
	Data   []byte
}

// AppendStatus says what is known of an append.
type AppendStatus = stream.AppendStatus

// What may be known of an append.
const (
	AppendUnknown = stream.AppendUnknown
	AppendDone    = stream.AppendDone
	AppendFailed  = stream.AppendFailed
)

// ReadRequest asks for records of the shard's stream, as platform.Log.Read.
type ReadRequest = stream.ReadRequest

// Ready is what a driver has to do after stepping a Shard.
type Ready struct {
	Appends          []Batch
	Read             *ReadRequest // nil while one is under way or none is due
	Decisions        []Decision
	Acknowledgements []Acknowledgement
}
