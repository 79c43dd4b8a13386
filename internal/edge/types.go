package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quota"
	"github.com/medlarhold/medlarhold/internal/core/rollout"
	"github.com/medlarhold/medlarhold/internal/upstream"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// HeaderCodec translates between request headers and Meta.
type HeaderCodec interface {
	// ReadRequest parses the headers of a caller's request.
	ReadRequest(h http.Header) Meta
	// RewriteForEndpoint removes the headers that callers may not set or that are
	// meant for the system only, and adds one that names the organisation.
	RewriteForEndpoint(h http.Header, org entity.OrgID)
}

// Meta is the metadata parsed from a request's headers.
type Meta struct {
	ID entity.RequestID
	// Key is the API key of the organisation.
	Key string
	// Remaining is how long the caller will wait for the response; valid if HasDeadline is set.
	Remaining   time.Duration
	HasDeadline bool
	// PromptTokens is the size of the prompt and MaxTokens the largest size of the
	// answer; both are valid if HasTokens is set.
	PromptTokens, MaxTokens int
	HasTokens               bool
	// ExpectedTokens is the caller's estimate of the answer's tokens, 0 if it gave none.
	ExpectedTokens int
	// PromptParts are the parts of the prompt in order, empty if not stated.
	PromptParts []entity.PartID
	// LastEventID is the id of the last event that the caller received of the stream
	// it resumes, empty for a new stream.
	LastEventID string
	// Resumes is the request that brought the first event of that stream, empty if not stated.
	Resumes entity.RequestID
}

// SlotRequest describes a request that needs a slot on an endpoint.
type SlotRequest struct {
	ID  entity.RequestID
	Org entity.OrgID
	// OrgWeight is the weight of the organisation, see catalog.Organisation; 0 if it is not known.
	OrgWeight float64
	Pool      entity.PoolID
	Route     string
	// Kind distinguishes engines, whose slots a broker grants, from plain services.
	Kind entity.EndpointKind
	// Rank is the priority of the request; 0 is the highest.
	Rank int
	// PromptTokens and AnswerTokens are the estimated size of the prompt and the answer.
	PromptTokens, AnswerTokens int
	// PromptParts are the parts of the prompt in order, empty if not known.
	PromptParts []entity.PartID
	// Key identifies the request among all that the caller sends, whatever its ID: it is the same
	// if the caller sends it again.
	Key entity.PartID
	// Target is the time after which the beginning of the response counts as late.
	// The caller gives up if the response has not begun by FirstEventBy; after
	// Deadline the response is of no use.
	Target, FirstEventBy, Deadline time.Time
	// IsRetry reports whether the caller has probably sent this request before.
	IsRetry bool
	// Version is the only software version of endpoints that may get the request, empty if any
	// may. It is set once the stream that the request begins or goes on with has an event.
	Version string
	// Choice constrains the versions of endpoints that may get a new request. The Scheduler sets it.
	Choice rollout.Choice
}

// Slot is the permission for one dispatch to an endpoint.
type Slot struct {
	Endpoint *catalog.Endpoint
	// Release returns the slot. It must be called exactly once, when the dispatch has ended.
	Release func(Outcome)
	// OnFirstByte, if set, must be called with the response's metadata when its first byte has
	// arrived.
	OnFirstByte func(upstream.Meta)
}

// Outcome is the result of a dispatch.
type Outcome struct {
	// Failed reports whether the endpoint failed to respond correctly.
	Failed bool
	// NotRun reports whether the endpoint provably did not run the request.
	NotRun bool
	// Unreachable reports, if NotRun is set, whether no connection could be opened.
	Unreachable bool
	// ServerError reports whether the endpoint responded with a status of 500 or above to a request that
	// it ran.
	ServerError bool
	// Lost reports whether the endpoint closed the connection before the response was
	// complete.
	Lost bool
	// Served reports whether a complete success was received.
	Served bool
	// Cancelled reports whether the dispatch ended because the request's context did:
	// the caller disconnected or the deadline passed.
	Cancelled bool
	// Load is the metadata of the endpoint's response, which includes its load.
	Load upstream.Meta
	// TimeToFirstByte is the time from the dispatch to the first byte of the response,
	// StreamDuration the time from there to the last byte, and Events the number of
	// events received.
	TimeToFirstByte, StreamDuration time.Duration
	// LongestPause is the longest time between two parts of the response.
	LongestPause time.Duration
	Events       int
}

// Charge describes what a request is charged against its organisation's rate limit.
type Charge struct {
	// Cost is the amount, in the unit of the limit.
	Cost float64
	// Rank is the rank of the request's route. As the limit runs out, requests of the
	// lowest rank are refused first.
	Rank int
	// HasTokens reports whether the request stated its size in tokens.
	HasTokens bool
}

// Scheduler decides whether, when and on which endpoint requests run. Its methods
// must be safe for concurrent use.
type Scheduler interface {
	// AwaitStart waits for a while, or until ctx ends, if the instance has just started
	// and can't decide on requests yet.
	AwaitStart(ctx context.Context)
	// Config returns the configuration in force, nil if none has been received yet.
	Config() *catalog.Config
	// KeysFresh reports whether the local list of API keys is recent enough to
	// authenticate callers.
	KeysFresh() bool
	// ConfigProved reports whether Config is known well enough to be the newest to refuse for good what it doesn't
	// allow.
	ConfigProved() bool
	// ConfigStanding returns how well it is known that Config is the newest, to explain a refusal.
	ConfigStanding() ConfigStanding
	// Charge counts a request against the organisation's limit. If the limit is used
	// up, it returns false and the time after which the caller may retry.
	Charge(org *catalog.Organisation, c Charge) (ok bool, retryAfter time.Duration)
	// LimitStanding returns what decides on such a request, to explain a refusal.
	LimitStanding(org *catalog.Organisation, c Charge) quota.Standing
	// Refund undoes the charge of a request that was not run.
	Refund(org *catalog.Organisation, cost float64)
	// Acquire waits for a slot on an endpoint that is not listed in avoid.
	Acquire(ctx context.Context, r SlotRequest, avoid []entity.EndpointID) (Slot, *verdict.Error)
	// EndpointResponded processes what an endpoint states about itself in the headers
	// of a response. It is called as soon as these have arrived.
	EndpointResponded(e *catalog.Endpoint, m upstream.Meta)
	// TakeRetry takes one retry from the pool's retry budget. It returns false if the
	// budget is used up.
	TakeRetry(pool entity.PoolID) bool
	// RecordOrigin records which endpoint is about to begin the stream of a request. The stream's
	// first event may be sent to the caller once the returned channel is closed; nil means at once.
	RecordOrigin(r SlotRequest, e *catalog.Endpoint, dispatch int) <-chan struct{}
	// OriginOf returns the software version that began the stream of another request of a pool.
	OriginOf(ctx context.Context, pool entity.PoolID, stream entity.RequestID) (version string, v *verdict.Error)
	// OriginStands reports whether nothing is known that puts in doubt that a software version began the stream
	// of a request.
	OriginStands(pool entity.PoolID, stream entity.RequestID, version string) bool
	// IsCurrent reports whether an endpoint's incarnation is the newest one that is known.
	IsCurrent(e *catalog.Endpoint) bool
	// MayRetryLost reports whether a request that was lost with its endpoint may be sent to
	// another one.
	MayRetryLost(r SlotRequest) bool
	// Leaving reports whether the instance is stopping: it still serves requests, but
	// asks callers to close their connections.
	Leaving() bool
	// Closed reports whether the instance accepts no more requests.
	Closed() bool
	// Dispatching returns a context that ends when a planned stop lets no more requests be passed to
	// endpoints. Waits that come before that end with it.
	Dispatching() context.Context
	// Answering returns a context that ends shortly before the end of a planned stop. Callers whose
	// endpoints have not responded by then are answered.
	Answering() context.Context
}
