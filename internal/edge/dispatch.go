package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/medlarhold/medlarhold/internal/sse"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/upstream"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// maxNotRun is the number of endpoints that may decline to run a request before it
	// fails. It also bounds the dispatches for one resumption of a stream.
	maxNotRun = 3
	// maxBufferedResponse is the size in bytes up to which a response is read completely
	// before it is forwarded, so that the caller gets an error status if it breaks off.
	maxBufferedResponse = 64 << 10
	// maxAnswerBytesPerToken limits the body of a model's answer, in addition to
	// answerBaseBytes: many times what its tokens take.
	maxAnswerBytesPerToken = 4 << 10
	answerBaseBytes        = 8 << 20
	// maxDrainBytes is the size up to which a response that isn't forwarded is read, so
	// that its connection can be reused.
	maxDrainBytes = 16 << 10
)

// attempt is one dispatch and its result.
type attempt struct {
	slot   Slot
	sentAt time.Time
	// recorded is closed once the first event of the stream may be sent to the caller; nil if it
	// may be sent at once.
	recorded <-chan struct{}
	response *upstream.Response
	counter  sse.Counter // of the events in the response
	outcome  Outcome
	finished bool
}

// Read reads from the response and records when it began, how many events it has and how long they take.
func (a *attempt) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if n > 0 {
		a.recordFirstByte()
		a.outcome.Events += a.counter.Add(p[:n])
		streamed := time.Since(a.sentAt) - a.outcome.TimeToFirstByte
		a.outcome.LongestPause = max(a.outcome.LongestPause, streamed-a.outcome.StreamDuration)
		a.outcome.StreamDuration = streamed
	}
	return n, err
}

// isComplete reports whether a response that was read to its end certainly did not break off.
func (a *attempt) isComplete() bool {
	return !a.response.EndsWithConnection && !a.counter.HasPartial()
}

// finish closes the response and releases the slot. Only the first call has an effect.
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

// recordFirstByte records that the response has begun. Only the first call has an effect. The
// scheduler is not told of failures: how soon they come says nothing about answers.
func (a *attempt) recordFirstByte() {
	if a.outcome.TimeToFirstByte > 0 {
		return
	}
	a.outcome.TimeToFirstByte = time.Since(a.sentAt)
	if a.slot.OnFirstByte != nil && isSuccess(a.response) {
		a.slot.OnFirstByte(a.outcome.Load)
	}
}

// run dispatches the request until an endpoint responds or no further retry is allowed,
// and responds to the caller.
func (c *call) run(ctx context.Context) {
	for notRun := 0; ; {
		a, v := c.dispatch(ctx, c.meta.LastEventID)
		if v == nil {
			c.forwardResponse(ctx, a)
			return
		}
		if v.Verdict == verdict.NotRun {
			notRun++
		}
		if a == nil || !c.takeRetry(ctx, v, notRun) {
			c.refuse(c.finalError(ctx, v))
			return
		}
	}
}

// dispatch acquires a slot and sends the request to its endpoint. The attempt is nil if
// there was no slot; the error is nil if there is a response to forward.
func (c *call) dispatch(ctx context.Context, lastEventID string) (*attempt, *verdict.Error) {
	slot, v := c.server.opts.Scheduler.Acquire(ctx, c.slotRequest, c.tried)
	if v != nil {
		return nil, v
	}
	a := &attempt{slot: slot, sentAt: time.Now()}
	c.tried = append(c.tried, slot.Endpoint.ID)
	if c.beginsStream() {
		a.recorded = c.server.opts.Scheduler.RecordOrigin(c.slotRequest, slot.Endpoint, len(c.tried))
	}
	response, err := c.server.opts.Client.Do(ctx, upstream.Request{
		ID: c.meta.ID, To: slot.Endpoint, Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: c.header.Clone(),
		Body: c.body, Remaining: time.Until(c.deadline), LastEventID: lastEventID, MaxBodyBytes: c.maxResponseBytes(), Carriers: &c.carriers,
	})
	if err != nil {
		v = verdict.Of(err)
		a.outcome.Cancelled = ctx.Err() != nil
		a.outcome.Failed = !a.outcome.Cancelled
		a.outcome.NotRun = v.Verdict == verdict.NotRun
		a.outcome.Unreachable = a.outcome.NotRun // nothing was sent only if there was no connection
		a.outcome.Lost = a.outcome.Failed && upstream.ClosedByEndpoint(err)
	} else {
		a.response = response
		a.outcome.Load = response.Meta
		a.outcome.ServerError = response.Status >= http.StatusInternalServerError && !response.Meta.NotRun
		c.server.opts.Scheduler.EndpointResponded(slot.Endpoint, response.Meta)
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

// maxResponseBytes returns the limit on the body of a response. Only the answer of a
// model has a known size.
func (c *call) maxResponseBytes() int64 {
	if !c.meta.HasTokens {
		return upstream.DefaultMaxBodyBytes
	}
	return answerBaseBytes + maxAnswerBytesPerToken*int64(c.meta.MaxTokens)
}

// checkResponse returns nil if the response is to be forwarded to the caller.
func (c *call) checkResponse(a *attempt) *verdict.Error {
	response := a.response
	switch {
	case response.Meta.NotRun:
		drain(response)
		a.outcome.NotRun = true
		a.outcome.Failed = response.Status != http.StatusMisdirectedRequest
		return refusal(verdict.ReasonEndpointRefused, minRetryAfter, "the endpoint did not run the request")
	case isSuccess(response) && (!response.Meta.HasProof || response.Header.Get("Content-Encoding") != ""):
		a.outcome.Failed = true
		return mayHaveRunError(verdict.ReasonAnswerIncomplete, "the endpoint's answer can't be trusted")
	case response.Status >= http.StatusInternalServerError && c.mayRunAgain():
		drain(response)
		a.outcome.Failed = true
		return mayHaveRunError(verdict.ReasonEndpointFailed, "the endpoint failed")
	}
	return nil
}

// isSuccess reports whether the status of a response is a success.
func isSuccess(response *upstream.Response) bool {
	return response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
}

// drain reads a small response to its end, so that the connection can be reused.
func drain(r *upstream.Response) {
	if r.Length >= 0 && r.Length <= maxDrainBytes {
		// The error is ignored: after a failed read the connection is not reused.
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

func mayHaveRunError(reason verdict.Reason, message string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: reason, Message: message}
}

// mayRunAgain reports whether the request may run on one more endpoint. It must be
// called before the current run is counted in possibleRuns.
func (c *call) mayRunAgain() bool {
	return c.route.Idempotent() && c.possibleRuns+1 < c.route.MaxAttempts
}

// takeRetry reports whether a request that failed with v may be sent again, and if so
// takes the retry from the budget. failures is the number of failed dispatches that count
// towards maxNotRun.
func (c *call) takeRetry(ctx context.Context, v *verdict.Error, failures int) bool {
	if ctx.Err() != nil || failures >= maxNotRun {
		return false
	}
	if v.Verdict != verdict.NotRun && (!c.route.Idempotent() || c.possibleRuns >= c.route.MaxAttempts) {
		return false
	}
	if v.Verdict != verdict.NotRun && !c.server.opts.Scheduler.MayRetryLost(c.slotRequest) {
		return false
	}
	if !c.server.opts.Scheduler.TakeRetry(c.slotRequest.Pool) {
		return false
	}
	c.server.opts.Metrics.Retried(v.Reason)
	return true
}

// finalError returns the error to send to the caller after v. It never claims that a
// request was not run once an endpoint may have run it.
func (c *call) finalError(ctx context.Context, v *verdict.Error) *verdict.Error {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	ending := c.server.opts.Scheduler.Answering().Err() != nil
	switch {
	case c.possibleRuns > 0 && ending:
		return mayHaveRunError(verdict.ReasonConnectionLost, "the instance ended before the endpoint had answered")
	case c.possibleRuns > 0 && timedOut:
		return mayHaveRunError(verdict.ReasonDeadline, "the request's time ran out at the endpoint")
	case c.possibleRuns > 0 && v.Verdict == verdict.NotRun:
		return mayHaveRunError(verdict.ReasonEndpointFailed, "the endpoint failed, and there was no other")
	case timedOut:
		return refusal(verdict.ReasonOverload, minRetryAfter, "the request's time ran out before an endpoint was free")
	}
	return v
}

// logFailedAttempt logs a dispatch that yielded no response to forward.
func (c *call) logFailedAttempt(a *attempt, v *verdict.Error) {
	telemetry.Log(c.server.opts.Log, telemetry.EventEndpointFailed, "request", c.id, "endpoint", a.slot.Endpoint.ID,
		"verdict", v.Verdict, "reason", v.Reason, "ms", time.Since(a.sentAt).Milliseconds(), "why", v.Message)
}
