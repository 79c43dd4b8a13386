package edge

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quota"
	"github.com/medlarhold/medlarhold/internal/hopbyhop"
	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/upstream"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// minRetryAfter is the shortest Retry-After, so that refused callers don't retry at once.
	minRetryAfter = 50 * time.Millisecond
	// noConfigRetryAfter is the Retry-After while the instance has no configuration, or
	// no recent list of keys.
	noConfigRetryAfter = 300 * time.Millisecond
	// retryAfterDivisor limits Retry-After to a fraction (1/retryAfterDivisor) of the
	// time before the request's deadline, so that a retry can still be served in time.
	retryAfterDivisor = 3
	// defaultTimeout is the timeout of a route that sets none.
	defaultTimeout = 30 * time.Second
)

// call is the state of one request of a caller.
type call struct {
	server    *Server
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt time.Time

	config *catalog.Config
	route  *catalog.Route
	org    *catalog.Organisation
	meta   Meta
	// id and resumes are the ids of meta as instances pass them on to each other.
	id, resumes entity.RequestID
	cost        float64 // charged against the organisation's limit
	// explanation has the fields of the last event that explain a refusal.
	explanation []any
	slotRequest SlotRequest
	body        []byte
	held        *holding // of the request's body and answer, nil if nothing is held
	header      http.Header
	// deadline is the time after which a response is of no use.
	deadline time.Time
	// tried lists the endpoints that the request was sent to, carriers the connections.
	tried    []entity.EndpointID
	carriers upstream.Carriers
	// possibleRuns counts the endpoints that may have run the request.
	possibleRuns int
	// headerSent reports whether the header of an endpoint's response was sent to the caller.
	headerSent bool
	// sentLength is the length of the body according to that header, -1 if not stated.
	sentLength int64
	// originUnreadable is set if a stream has begun whose software version can't be read, so that
	// it can't go on anywhere else.
	originUnreadable bool
	// watch marks the caller as slow if a write to it takes long.
	watch *time.Timer
	// bodyUnread is set if the caller may still be sending a body that is not wanted.
	bodyUnread bool
	// bodyEnded is set if a planned stop has ended the reading of the body.
	bodyEnded bool
	// unwatchStop ends the watch for the end of a planned stop, at which the request is given up.
	unwatchStop func() bool
}

func (c *call) serve() {
	defer c.closeHolding()
	if v := c.admit(); v != nil {
		c.refuse(v)
		return
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.unwatchStop = context.AfterFunc(c.server.opts.Scheduler.Answering(), cancel)
	defer c.unwatchStop()
	if v := c.findOrigin(ctx); v != nil {
		c.refuse(v)
		return
	}
	c.run(ctx)
}

// closeHolding ends what is held for the request.
func (c *call) closeHolding() {
	if c.watch != nil {
		c.watch.Stop()
	}
	if c.held != nil {
		c.held.close()
	}
}

// admit checks the request and charges the organisation's limit.
func (c *call) admit() *verdict.Error {
	c.meta = c.server.opts.HeaderCodec.ReadRequest(c.r.Header)
	c.id, c.resumes = shortID(c.meta.ID), shortID(c.meta.Resumes)
	c.server.opts.Scheduler.AwaitStart(c.r.Context())
	for _, step := range []func() *verdict.Error{c.findRoute, c.findOrganisation, c.readBody, c.checkOpen, c.charge} {
		if v := step(); v != nil {
			return v
		}
	}
	c.prepare()
	return nil
}

func (c *call) findRoute() *verdict.Error {
	c.config = c.server.opts.Scheduler.Config()
	if c.config == nil {
		return refusal(verdict.ReasonNotReady, noConfigRetryAfter, "no configuration is known yet")
	}
	if v := c.checkOpen(); v != nil {
		return v
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	route, ok := c.config.Match(c.r.Host, path)
	if !ok {
		return c.refuseUnknown(verdict.ReasonUnknownPool, "no route has this host and path")
	}
	if c.meta.ID == "" {
		return refusal(verdict.ReasonBadRequest, 0, "the request has no id")
	}
	c.route = route
	return nil
}

// checkOpen refuses the request if the instance is to end soon. That may have begun while the body was read.
func (c *call) checkOpen() *verdict.Error {
	if c.server.opts.Scheduler.Closed() {
		return Stopping()
	}
	return nil
}

// Stopping returns the refusal of an instance that stops. Another one can serve the request at once.
func Stopping() *verdict.Error {
	return refusal(verdict.ReasonStopping, minRetryAfter, "the instance is stopping")
}

func (c *call) findOrganisation() *verdict.Error {
	if c.route.Public || !c.config.NeedsKeys() {
		return nil
	}
	if !c.server.opts.Scheduler.KeysFresh() {
		c.explainConfig()
		return refusal(verdict.ReasonNotReady, noConfigRetryAfter, "it is not known well enough which keys are in force")
	}
	org, ok := c.config.ByKey(c.meta.Key)
	if !ok {
		return c.refuseUnknown(verdict.ReasonUnauthenticated, "the key is not in force")
	}
	c.org = org
	return nil
}

// refuseUnknown returns the error for a request whose route or key the configuration doesn't have: for good only if no
// newer one can have it.
func (c *call) refuseUnknown(reason verdict.Reason, message string) *verdict.Error {
	c.explainConfig()
	if !c.server.opts.Scheduler.ConfigProved() {
		return refusal(verdict.ReasonConfigUnproved, noConfigRetryAfter, message+", but a newer configuration may change that")
	}
	return refusal(reason, 0, message)
}

// explainConfig adds to the request's log line what is known of the configuration that decided.
func (c *call) explainConfig() { c.explanation = c.server.opts.Scheduler.ConfigStanding().Fields() }

// charge charges the request to its organisation's limit.
func (c *call) charge() *verdict.Error {
	if c.org == nil || !c.org.Limited {
		return nil
	}
	cost := c.org.Cost(c.meta.PromptTokens+c.meta.MaxTokens, c.meta.HasTokens)
	charge := Charge{Cost: cost, Rank: c.route.Rank, HasTokens: c.meta.HasTokens}
	ok, after := c.server.opts.Scheduler.Charge(c.org, charge)
	if !ok {
		c.explanation = limitFields(cost, c.server.opts.Scheduler.LimitStanding(c.org, charge))
		return refusal(verdict.ReasonRateLimit, after, "the organisation's limit is used up")
	}
	c.cost = cost // refund undoes only a charge that was made
	return nil
}

// limitFields returns the fields of the event of a request that is refused for its
// organisation's limit.
func limitFields(cost float64, s quota.Standing) []any {
	return []any{
		"asked", cost, "limit_per_s", s.Limit.Rate, "limit_burst", s.Limit.Burst, "level", math.Round(s.Level), "spendable", math.Round(s.Spendable),
		"required", math.Round(s.Required), "refill_per_s", math.Round(s.RefillRate), "share", math.Round(s.Share*1000) / 1000, "uncounted", math.Round(s.Uncounted),
		"accounts_age_ms", s.AccountsAge.Milliseconds(), "isolated", s.Isolated,
	}
}

// prepare sets the deadline, the slot request and the headers for the endpoint.
func (c *call) prepare() {
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	var elapsed time.Duration
	if c.meta.HasDeadline {
		elapsed = c.server.callerTimeouts.sinceFirstAttempt(c.route, c.meta.Remaining)
		timeout = min(timeout, c.meta.Remaining)
	}
	c.deadline = c.arrivedAt.Add(timeout)
	pool := c.route.PoolFor(c.streamID())
	c.slotRequest = SlotRequest{
		ID: c.id, Pool: pool, Route: c.route.Name, Kind: entity.KindService, Rank: c.rank(),
		PromptTokens: c.meta.PromptTokens, AnswerTokens: c.meta.MaxTokens, PromptParts: c.meta.PromptParts,
		Target: c.arrivedAt.Add(c.route.Target - elapsed), Deadline: c.deadline, IsRetry: elapsed > 0,
	}
	c.slotRequest.FirstEventBy = c.deadline
	if d := c.route.FirstEventWithin; d > 0 && d < timeout {
		c.slotRequest.FirstEventBy = c.arrivedAt.Add(d)
	}
	if p := c.config.Pools[pool]; p != nil {
		c.slotRequest.Kind = p.Kind
	}
	if c.meta.ExpectedTokens > 0 {
		c.slotRequest.AnswerTokens = min(c.meta.ExpectedTokens, max(1, c.meta.MaxTokens))
	}
	c.slotRequest.Org = c.orgID()
	if c.org != nil {
		c.slotRequest.OrgWeight = c.org.Weight()
	}
	c.slotRequest.Key = requestKey(c.r, c.slotRequest.Org, c.body)
	c.header = c.r.Header.Clone()
	hopbyhop.Drop(c.header)
	c.header.Del("Content-Length")
	c.header.Del("Expect")
	c.server.opts.HeaderCodec.RewriteForEndpoint(c.header, c.slotRequest.Org)
}

// routeRanks is the number of route ranks that are distinguished within one rank of
// organisations; a route of a lower rank counts as the last of them.
const routeRanks = 4

// rank returns the request's rank. It orders requests by the organisation's rank
// first, and requests of organisations with equal rank by the route's.
func (c *call) rank() int {
	rank := min(max(c.route.Rank, 0), routeRanks-1)
	if c.org != nil && c.org.Rank != nil {
		rank += routeRanks * max(*c.org.Rank, 0)
	}
	return rank
}

// orgID returns the organisation that the key authenticated, empty for none.
func (c *call) orgID() entity.OrgID {
	if c.org == nil {
		return ""
	}
	return c.org.ID
}

// refund undoes the charge if no endpoint can have run the request.
func (c *call) refund() {
	if c.cost > 0 && c.possibleRuns == 0 {
		c.server.opts.Scheduler.Refund(c.org, c.cost)
		c.cost = 0
	}
}

// refusal returns the error for a request that was not run and will not be.
func refusal(reason verdict.Reason, after time.Duration, message string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: reason, RetryAfter: after, Message: message}
}

// refuse responds to the caller with an error generated by the system.
func (c *call) refuse(v *verdict.Error) {
	c.refund()
	// A body read that times out or is ended cancels the request's context too, although the
	// caller is still connected.
	if c.r.Context().Err() != nil && v.Reason != verdict.ReasonRequestTimeout && !c.bodyEnded && !c.connRefused() {
		v = &verdict.Error{Verdict: v.Verdict, Reason: verdict.ReasonCallerGone, Message: "the caller closed its connection"}
	}
	c.server.opts.Metrics.Refused(v.Reason, v.Verdict)
	fields := []any{"verdict", v.Verdict, "reason", v.Reason, "retry_after_ms", v.RetryAfter.Milliseconds(), "why", v.Message}
	c.logEnd(append(fields, c.explanation...)...)
	if v.Reason == verdict.ReasonCallerGone {
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	h := c.w.Header()
	status := statusOf(v)
	if guaranteesNotRun(status) {
		h.Set("Retry-After", strconv.FormatFloat(c.retryAfter(v).Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.setWriteDeadline(http.NewResponseController(c.w))
	c.w.WriteHeader(status)
	// The error is ignored: a disconnected caller cancels the request's context.
	_, _ = io.WriteString(c.w, v.Message+"\n")
	c.discardBody()
}

// connRefused reports whether the caller's connection was let go before the request was whole.
func (c *call) connRefused() bool {
	conn := intake.ConnOf(c.r)
	return conn != nil && conn.IsRefused()
}

// retryAfter returns the Retry-After for the caller, which leaves time to serve the
// retry before the request's deadline.
func (c *call) retryAfter(v *verdict.Error) time.Duration {
	after := v.RetryAfter
	if !c.deadline.IsZero() {
		after = min(after, time.Until(c.deadline)/retryAfterDivisor)
	}
	return max(after, minRetryAfter)
}

// statusOf returns the status of an error. A request that was not run gets one that says so, whatever
// kept it from running: callers may then send it again, also one that is not idempotent.
func statusOf(v *verdict.Error) int {
	status := v.Reason.HTTPStatus()
	if v.Verdict == verdict.NotRun && status >= http.StatusInternalServerError {
		return http.StatusServiceUnavailable
	}
	return status
}

// guaranteesNotRun reports whether a status tells the caller that the request was not run.
func guaranteesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// logEnd writes the log line for the end of a request.
func (c *call) logEnd(keysAndValues ...any) {
	fields := []any{"request", c.id, "ms", time.Since(c.arrivedAt).Milliseconds(), "tried", c.tried}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name, "organisation", c.orgID(), "config", c.config.Version, "rank", c.rank(), "cost", c.cost,
			"prompt_tokens", c.slotRequest.PromptTokens, "answer_tokens", c.slotRequest.AnswerTokens, "target_ms", c.slotRequest.Target.Sub(c.arrivedAt).Milliseconds(), "returned", c.slotRequest.IsRetry)
	}
	telemetry.Log(c.server.opts.Log, telemetry.EventCallEnded, append(fields, keysAndValues...)...)
}
