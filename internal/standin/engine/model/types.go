package model

import (
	"errors"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// Errors of an engine.
var (
	// ErrUnknown means that no such stream is waiting, running or paused.
	ErrUnknown = errors.New("engine: unknown stream")
	// ErrDuplicate means that a stream with this id is waiting, running or paused.
	ErrDuplicate = errors.New("engine: stream exists")
	// ErrBusy means that the queue is full.
	ErrBusy = errors.New("engine: queue is full")
	// ErrTooLong means that the request does not fit the KV memory, or asks for no token.
	ErrTooLong = errors.New("engine: request is larger than the KV memory")
	// ErrNotLoaded means that the model or the adapter is not loaded.
	ErrNotLoaded = errors.New("engine: model or adapter is not loaded")
	// ErrOldFence means that an order carries an outdated fencing number.
	ErrOldFence = errors.New("engine: old fencing number")
)

// Request is a request, reduced to what determines its work.
type Request struct {
	ID      entity.RequestID
	Model   entity.ModelID
	Adapter entity.AdapterID
	// Prefix is the chain of block hashes of the prompt.
	Prefix       []entity.BlockHash
	PromptTokens int
	MaxTokens    int
	// OutputTokens is the length of the answer; zero means MaxTokens.
	OutputTokens int
}

// EventKind is the kind of an event of a stream.
type EventKind int

// The kinds of event.
const (
	// EventStarted is the first admission of a stream to the batch.
	EventStarted EventKind = iota
	// EventToken is the production of one token.
	EventToken
	// EventEnded is the end of a stream; its slot is free.
	EventEnded
)

// Event is an event of a stream.
type Event struct {
	Kind EventKind
	At   time.Time
	ID   entity.RequestID
	// Index is the index of the token, for EventToken.
	Index int
	// End is set for EventEnded.
	End endpoint.End
}

// Stats counts the work done since the start.
type Stats struct {
	Iterations    int64
	PrefillTokens int64
	DecodeTokens  int64
	// DroppedTokens counts the KV tokens that paused or resumed streams lost to other streams.
	DroppedTokens int64
}
