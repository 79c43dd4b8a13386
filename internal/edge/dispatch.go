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
	// maxRefusals bounds how often a request that endpoints did not run is sent on.
	maxRefusals = 3
	// bufferedAnswer bounds the answers that are read whole before they are
	// passed on, so that one that breaks off can still be told as a failure.
	bufferedAnswer = 64 << 10
	// discardBytes bounds what is read of an answer that isn't passed on.
	discardBytes = 16 << 10
)

// attempt is one dispatch and what came of it.
type attempt struct {
	slot    Slot
	sentAt  time.Time
	answer  *upstream.Response
	outcome Outcome
	once    bool
}

// finish releases the slot, once.
func (a *attempt) finish() {
	if a.once {
		return
	}
	a.once = true
	if a.answer != nil {
		a.answer.Close()
	}
	a.slot.Release(a.outcome)
}

// firstByte notes that the answer has begun.
func (a *attempt) firstByte() {
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
		a, v := c.send(ctx, c.meta.LastEventID)
		if v == nil {
			c.passOn(ctx, a)
			return
		}
		if v.Verdict == verdict.NotRun {
			refusals++
		}
		if a == nil || !c.again(ctx, v, refusals) {
			c.refuse(c.truth(ctx, v))
			return
		}
	}
}

// send acquires a slot and dispatches to it. The attempt is nil where there
// was no slot; the error is nil where there is an answer to pass on.
func (c *call) send(ctx context.Context, lastEvent string) (*attempt, *verdict.Error) {
	slot, v := c.s.opts.Scheduler.Acquire(ctx, c.work, c.tried)
	if v != nil {
		return nil, v
	}
	a := &attempt{slot: slot, sentAt: time.Now()}
	c.tried = append(c.tried, slot.Endpoint.ID)
	answer, err := c.s.opts.Client.Do(ctx, upstream.Request{
		ID: c.meta.ID, To: slot.Endpoint, Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: c.header.Clone(),
		Body: c.body, Remaining: time.Until(c.deadline), LastEventID: lastEvent,
	})
	if err != nil {
		v = verdict.Of(err)
		a.outcome.Cancelled = ctx.Err() != nil
		a.outcome.Failed = !a.outcome.Cancelled
		a.outcome.NotRun = v.Verdict == verdict.NotRun
	} else {
		a.answer = answer
		a.outcome.Load = answer.Meta
		v = c.judge(a)
	}
	if v == nil {
		c.runs++
		return a, nil
	}
	if v.Verdict != verdict.NotRun {
		c.runs++
	}
	a.finish()
	c.logAttempt(a, v)
	return a, v
}

// judge says whether an answer is to be passed on.
func (c *call) judge(a *attempt) *verdict.Error {
	answer := a.answer
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	switch {
	case answer.Meta.NotRun:
		drain(answer)
		a.outcome.NotRun = true
		a.outcome.Failed = answer.Status != http.StatusMisdirectedRequest
		return refusal(verdict.ReasonEndpointRefused, minRetryAfter, "the endpoint did not run the request")
	case success && (!answer.Meta.HasProof || answer.Header.Get("Content-Encoding") != ""):
		a.outcome.Failed = true
		return mayHaveRun(verdict.ReasonAnswerIncomplete, "the endpoint's answer can't be trusted")
	case answer.Status >= http.StatusInternalServerError && c.mayRepeat():
		drain(answer)
		a.outcome.Failed = true
		return mayHaveRun(verdict.ReasonEndpointFailed, "the endpoint failed")
	}
	return nil
}

// drain reads a small answer to its end, so that the connection can be used again.
func drain(a *upstream.Response) {
	if a.Length >= 0 && a.Length <= discardBytes {
		// A failure shows as a connection that isn't kept.
		_, _ = io.Copy(io.Discard, a.Body)
	}
}

func mayHaveRun(reason verdict.Reason, message string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: reason, Message: message}
}

// mayRepeat says whether the request may run on one more endpoint. It is asked
// before the present run is counted.
func (c *call) mayRepeat() bool {
	return c.route.Idempotent() && c.runs+1 < c.route.MaxAttempts
}

// again decides whether a request that failed with v is sent once more.
func (c *call) again(ctx context.Context, v *verdict.Error, refusals int) bool {
	if ctx.Err() != nil || refusals >= maxRefusals {
		return false
	}
	if v.Verdict != verdict.NotRun && (!c.route.Idempotent() || c.runs >= c.route.MaxAttempts) {
		return false
	}
	if !c.s.opts.Scheduler.TakeRetry(c.work.Pool) {
		return false
	}
	c.s.opts.Metrics.Retried(v.Reason)
	return true
}

// truth is what the caller is told after v. Nothing may claim that a request
// was not run once one endpoint may have run it.
func (c *call) truth(ctx context.Context, v *verdict.Error) *verdict.Error {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case c.runs > 0 && timedOut:
		return mayHaveRun(verdict.ReasonDeadline, "the request's time ran out at the endpoint")
	case c.runs > 0 && v.Verdict == verdict.NotRun:
		return mayHaveRun(verdict.ReasonEndpointFailed, "the endpoint failed, and there was no other")
	case timedOut:
		return refusal(verdict.ReasonOverload, minRetryAfter, "the request's time ran out before an endpoint was free")
	}
	return v
}

// logAttempt writes a line on a dispatch that led to no answer.
func (c *call) logAttempt(a *attempt, v *verdict.Error) {
	telemetry.Log(c.s.opts.Log, telemetry.EventEndpointFailed, "request", c.meta.ID, "endpoint", a.slot.Endpoint.ID,
		"verdict", v.Verdict, "reason", v.Reason, "ms", time.Since(a.sentAt).Milliseconds(), "why", v.Message)
}

// passOn hands an answer to the caller.
func (c *call) passOn(ctx context.Context, a *attempt) {
	defer a.finish()
	switch {
	case c.route.Kind == catalog.KindStream && a.answer.Status == http.StatusOK:
		c.passStream(ctx, a)
	case a.answer.Length >= 0 && a.answer.Length > bufferedAnswer:
		c.passStream(ctx, a)
	default:
		c.passWhole(ctx, a)
	}
}

// passWhole reads an answer to its end and passes it on. One that breaks off
// is a failure that the caller is told of.
func (c *call) passWhole(ctx context.Context, a *attempt) {
	body, err := io.ReadAll(io.LimitReader(a.answer.Body, bufferedAnswer+1))
	a.firstByte()
	if err == nil && len(body) <= bufferedAnswer {
		a.finish()
		c.writeHeader(a.answer, int64(len(body)))
		// A caller that went away is noticed by its context.
		_, _ = c.w.Write(body)
		c.logAnswered(a)
		return
	}
	if err == nil {
		c.writeHeader(a.answer, -1)
		if _, err = c.w.Write(body); err == nil {
			c.passStream(ctx, a)
			return
		}
	}
	a.outcome.Failed = ctx.Err() == nil
	a.outcome.Cancelled = ctx.Err() != nil
	a.finish()
	v := mayHaveRun(verdict.ReasonAnswerIncomplete, "the endpoint's answer broke off")
	c.logAttempt(a, v)
	if c.route.Idempotent() && c.again(ctx, v, 0) {
		c.run(ctx)
		return
	}
	c.refuse(c.truth(ctx, v))
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
	c.begun = true
	c.w.WriteHeader(answer.Status)
}

func (c *call) logAnswered(a *attempt) {
	c.s.opts.Metrics.Answered(a.answer.Status, time.Since(c.arrived))
	c.logEnd("verdict", verdict.Ran, "status", a.answer.Status, "endpoint", a.slot.Endpoint.ID,
		"first_ms", a.outcome.TimeToFirstByte.Milliseconds(), "held_ms", a.sentAt.Sub(c.arrived).Milliseconds(), "events", a.outcome.Events)
}
