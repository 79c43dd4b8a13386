package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/hopbyhop"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/upstream"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// maxNotRun bounds how often a request that endpoints did not run is sent on.
	maxNotRun = 3
	// maxBufferedResponse bounds the answers that are read whole before they are
	// passed on, so that one that breaks off can still be told as a failure.
	maxBufferedResponse = 64 << 10
	// maxDrainBytes bounds what is read of an answer that isn't passed on.
	maxDrainBytes = 16 << 10
)

// attempt is one dispatch and what came of it.
type attempt struct {
	slot    Slot
	sentAt  time.Time
	response  *upstream.Response
	outcome Outcome
	finished    bool
}

// finish releases the slot, once.
func (a *attempt) finish() {
	if a.finished {
		return
	}
	a.finished = true
	if a.response != nil {
		a.response.Close()
	}
	a.slot.Release(a.outcome)
}

// recordFirstByte notes that the answer has begun.
func (a *attempt) recordFirstByte() {
	if a.outcome.TimeToFirstByte > 0 {
		return
	}
	a.outcome.TimeToFirstByte = time.Since(a.sentAt)
	if a.slot.OnFirstByte != nil {
		a.slot.OnFirstByte()
	}
}

// run dispatches the request until it has an answer or is given up on.
func (c *call) run(ctx context.Context) {
	for refusals := 0; ; {
		a, v := c.dispatch(ctx, c.meta.LastEventID)
		if v == nil {
			c.forwardResponse(ctx, a)
			return
		}
		if v.Verdict == verdict.NotRun {
			refusals++
		}
		if a == nil || !c.takeRetry(ctx, v, refusals) {
			c.refuse(c.finalError(ctx, v))
			return
		}
	}
}

// dispatch acquires a slot and dispatches to it. The attempt is nil where there
// was no slot; the error is nil where there is an answer to pass on.
func (c *call) dispatch(ctx context.Context, lastEvent string) (*attempt, *verdict.Error) {
	slot, v := c.server.opts.Scheduler.Acquire(ctx, c.slotRequest, c.tried)
	if v != nil {
		return nil, v
	}
	a := &attempt{slot: slot, sentAt: time.Now()}
	c.tried = append(c.tried, slot.Endpoint.ID)
	answer, err := c.server.opts.Client.Do(ctx, upstream.Request{
		ID: c.meta.ID, To: slot.Endpoint, Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: c.header.Clone(),
		Body: c.body, Remaining: time.Until(c.deadline), LastEventID: lastEvent,
	})
	if err != nil {
		v = verdict.Of(err)
		a.outcome.Cancelled = ctx.Err() != nil
		a.outcome.Failed = !a.outcome.Cancelled
		a.outcome.NotRun = v.Verdict == verdict.NotRun
	} else {
		a.response = answer
		a.outcome.Load = answer.Meta
		v = c.checkResponse(a)
	}
	if v == nil {
		c.possibleRuns++
		return a, nil
	}
	if v.Verdict != verdict.NotRun {
		c.possibleRuns++
	}
	a.finish()
	c.logFailedAttempt(a, v)
	return a, v
}

// checkResponse says whether an answer is to be passed on.
func (c *call) checkResponse(a *attempt) *verdict.Error {
	answer := a.response
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	switch {
	case answer.Meta.NotRun:
		drain(answer)
		a.outcome.NotRun = true
		a.outcome.Failed = answer.Status != http.StatusMisdirectedRequest
		return refusal(verdict.ReasonEndpointRefused, minRetryAfter, "the endpoint did not run the request")
	case success && (!answer.Meta.HasProof || answer.Header.Get("Content-Encoding") != ""):
		a.outcome.Failed = true
		return mayHaveRunError(verdict.ReasonAnswerIncomplete, "the endpoint's answer can't be trusted")
	case answer.Status >= http.StatusInternalServerError && c.mayRunAgain():
		drain(answer)
		a.outcome.Failed = true
		return mayHaveRunError(verdict.ReasonEndpointFailed, "the endpoint failed")
	}
	return nil
}

// drain reads a small answer to its end, so that the connection can be used again.
func drain(a *upstream.Response) {
	if a.Length >= 0 && a.Length <= maxDrainBytes {
		// A failure shows as a connection that isn't kept.
		_, _ = io.Copy(io.Discard, a.Body)
	}
}

func mayHaveRunError(reason verdict.Reason, message string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: reason, Message: message}
}

// mayRunAgain says whether the request may run on one more endpoint. It is asked
// before the present run is counted.
func (c *call) mayRunAgain() bool {
	return c.route.Idempotent() && c.possibleRuns+1 < c.route.MaxAttempts
}

// takeRetry decides whether a request that failed with v is sent once more.
func (c *call) takeRetry(ctx context.Context, v *verdict.Error, refusals int) bool {
	if ctx.Err() != nil || refusals >= maxNotRun {
		return false
	}
	if v.Verdict != verdict.NotRun && (!c.route.Idempotent() || c.possibleRuns >= c.route.MaxAttempts) {
		return false
	}
	if !c.server.opts.Scheduler.TakeRetry(c.slotRequest.Pool) {
		return false
	}
	c.server.opts.Metrics.Retried(v.Reason)
	return true
}

// finalError is what the caller is told after v. Nothing may claim that a request
// was not run once one endpoint may have run it.
func (c *call) finalError(ctx context.Context, v *verdict.Error) *verdict.Error {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case c.possibleRuns > 0 && timedOut:
		return mayHaveRunError(verdict.ReasonDeadline, "the request's time ran out at the endpoint")
	case c.possibleRuns > 0 && v.Verdict == verdict.NotRun:
		return mayHaveRunError(verdict.ReasonEndpointFailed, "the endpoint failed, and there was no other")
	case timedOut:
		return refusal(verdict.ReasonOverload, minRetryAfter, "the request's time ran out before an endpoint was free")
	}
	return v
}

// logFailedAttempt writes a line on a dispatch that led to no answer.
func (c *call) logFailedAttempt(a *attempt, v *verdict.Error) {
	telemetry.Log(c.server.opts.Log, telemetry.EventEndpointFailed, "request", c.meta.ID, "endpoint", a.slot.Endpoint.ID,
		"verdict", v.Verdict, "reason", v.Reason, "ms", time.Since(a.sentAt).Milliseconds(), "why", v.Message)
}

// forwardResponse hands an answer to the caller.
func (c *call) forwardResponse(ctx context.Context, a *attempt) {
	defer a.finish()
	switch {
	case c.route.Kind == catalog.KindStream && a.response.Status == http.StatusOK:
		c.forwardStream(ctx, a)
	case a.response.Length >= 0 && a.response.Length > maxBufferedResponse:
		c.forwardStream(ctx, a)
	default:
		c.forwardBuffered(ctx, a)
	}
}

// forwardBuffered reads an answer to its end and passes it on. One that breaks off
// is a failure that the caller is told of.
func (c *call) forwardBuffered(ctx context.Context, a *attempt) {
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxBufferedResponse+1))
	a.recordFirstByte()
	if err == nil && len(body) <= maxBufferedResponse {
		a.finish()
		c.writeHeader(a.response, int64(len(body)))
		// A caller that went away is noticed by its context.
		_, _ = c.w.Write(body)
		c.logResponse(a)
		return
	}
	if err == nil {
		c.writeHeader(a.response, -1)
		if _, err = c.w.Write(body); err == nil {
			c.forwardStream(ctx, a)
			return
		}
	}
	a.outcome.Failed = ctx.Err() == nil
	a.outcome.Cancelled = ctx.Err() != nil
	a.finish()
	v := mayHaveRunError(verdict.ReasonAnswerIncomplete, "the endpoint's answer broke off")
	c.logFailedAttempt(a, v)
	if c.route.Idempotent() && c.takeRetry(ctx, v, 0) {
		c.run(ctx)
		return
	}
	c.refuse(c.finalError(ctx, v))
}

// writeHeader passes the status and the headers of an answer on. A length of
// -1 means that it is not known.
func (c *call) writeHeader(answer *upstream.Response, length int64) {
	h := c.w.Header()
	header := answer.Header
	hopbyhop.Drop(header)
	header.Del("Content-Length")
	for name, values := range header {
		h[name] = values
	}
	if len(header["Content-Type"]) == 0 {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if length >= 0 && c.r.Method != http.MethodHead {
		setLength(h, length)
	}
	c.headerSent = true
	c.w.WriteHeader(answer.Status)
}

func (c *call) logResponse(a *attempt) {
	c.server.opts.Metrics.Answered(a.response.Status, time.Since(c.arrivedAt))
	c.logEnd("verdict", verdict.Ran, "status", a.response.Status, "endpoint", a.slot.Endpoint.ID,
		"first_ms", a.outcome.TimeToFirstByte.Milliseconds(), "held_ms", a.sentAt.Sub(c.arrivedAt).Milliseconds(), "events", a.outcome.Events)
}
