package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/upstream"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// HeaderCodec reads the headers of callers.
type HeaderCodec interface {
	// ReadRequest reads what the headers of a request say.
	ReadRequest(h http.Header) Meta
	// RewriteForEndpoint takes the headers off that callers may not set or that only
	// concern the system, and names the organisation.
	RewriteForEndpoint(h http.Header, org entity.OrgID)
}

// Meta is what the headers of a request say.
type Meta struct {
	ID  entity.RequestID
	Key string
	// Remaining is how long the caller waits, where HasDeadline is set.
	Remaining   time.Duration
	HasDeadline bool
	// PromptTokens and MaxTokens are the size of the work, where HasTokens is set.
	PromptTokens, MaxTokens int
	HasTokens               bool
	// ExpectedTokens is the caller's guess of the answer's tokens, 0 for none.
	ExpectedTokens int
	// LastEventID is the last event that the caller has of a stream it resumes.
	LastEventID string
}

// SlotRequest describes a request to the Desk.
type SlotRequest struct {
	ID    entity.RequestID
	Org   entity.OrgID
	Pool  entity.PoolID
	Route string
	// Kind tells engines, whose slots are granted, from plain services.
	Kind entity.EndpointKind
	// Rank orders requests: 0 is the highest.
	Rank int
	// PromptTokens and AnswerTokens estimate the work.
	PromptTokens, AnswerTokens int
	// Target is when the answer begins to be late. At FirstEventBy the caller
	// leaves if it has not begun, and at Deadline it is useless.
	Target, FirstEventBy, Deadline time.Time
	// IsRetry says that the caller has tried before.
	IsRetry bool
}

// Slot allows one dispatch to an endpoint.
type Slot struct {
	Endpoint *catalog.Endpoint
	// Release must be called once, when the dispatch is over.
	Release func(Outcome)
	// OnFirstByte, if set, is to be called when the first event has come.
	OnFirstByte func()
}

// Outcome is how a dispatch went.
type Outcome struct {
	// Failed says that the endpoint did not answer as it should.
	Failed bool
	// NotRun says that the endpoint did not run the request.
	NotRun bool
	// Cancelled says that the system or the caller ended it.
	Cancelled bool
	// Load is what the endpoint said of itself.
	Load upstream.Meta
	// TimeToFirstByte is the time from the dispatch to the first byte of the answer,
	// StreamDuration the time from there to the last one, Events how many came.
	TimeToFirstByte, StreamDuration time.Duration
	Events                          int
}

// Charge is what a request asks of its organisation's limit.
type Charge struct {
	// Cost is in the unit of the limit.
	Cost float64
	// Rank is the request's; the lowest ones are given up first.
	Rank int
	// HasTokens says that the request stated its size.
	HasTokens bool
}

// Scheduler decides about requests. Its methods are called by many goroutines.
type Scheduler interface {
	// Config returns the configuration in force, nil before the first one.
	Config() *catalog.Config
	// KeysFresh says whether it is known well enough which keys are in force.
	KeysFresh() bool
	// Charge counts a request against the organisation's limit. It returns when
	// to come back if that is used up.
	Charge(org *catalog.Organisation, c Charge) (ok bool, retryAfter time.Duration)
	// Refund takes the charge of a request back that was not run.
	Refund(org *catalog.Organisation, cost float64)
	// Acquire waits for a slot on an endpoint, other than those to avoid.
	Acquire(ctx context.Context, w SlotRequest, avoid []entity.EndpointID) (Slot, *verdict.Error)
	// TakeRetry takes a second try for a pool from the retry budget.
	TakeRetry(pool entity.PoolID) bool
	// Leaving says that the instance is stopping, Closed that it takes no more requests.
	Leaving() bool
	Closed() bool
}
