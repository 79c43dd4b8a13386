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
	// ErrTooLong means that the request can't fit the KV memory.
	ErrTooLong = errors.New("engine: request is larger than the KV memory")
	// ErrNotLoaded means that the model or the adapter is not loaded.
	ErrNotLoaded = errors.New("engine: model or adapter is not loaded")
	// ErrOldFence means that an order carries an old fencing number.
	ErrOldFence = errors.New("engine: old fencing number")
)

// Request is a request as far as its work goes.
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

// EventKind says what happened to a stream.
type EventKind int

// The kinds of event.
const (
	// EventStarted is a stream's first admission to the batch.
	EventStarted EventKind = iota
	// EventToken is one token.
	EventToken
	// EventEnded is the end of a stream; its slot is free.
	EventEnded
)

// Event is something that happened to a stream.
type Event struct {
	Kind EventKind
	At   time.Time
	ID   entity.RequestID
	// Index is the token's index.
	Index int
	// End is set for EventEnded.
	End endpoint.End
}

// Stats counts the work done since the start.
type Stats struct {
	Iterations    int64
	PrefillTokens int64
	DecodeTokens  int64
	// DroppedTokens counts KV tokens of paused streams that lost their memory.
	DroppedTokens int64
}
