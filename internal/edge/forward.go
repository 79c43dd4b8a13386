package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/framing"
	"github.com/medlarhold/medlarhold/internal/hopbyhop"
	"github.com/medlarhold/medlarhold/internal/upstream"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// forwardResponse forwards a response to the caller.
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

// forwardBuffered reads a response to its end before it forwards it. If the response
// breaks off, the request is sent to another endpoint or the caller gets an error status.
// A response that is too large to be held, or for which there is no memory, is forwarded as it arrives.
func (c *call) forwardBuffered(ctx context.Context, a *attempt) {
	if !c.holding().grow(bufferedBytes(a.response.Length)) {
		c.forwardStream(ctx, a)
		return
	}
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxBufferedResponse+1))
	a.recordFirstByte()
	switch {
	case err != nil:
		c.retryBrokenOff(ctx, a, err)
	case len(body) > maxBufferedResponse:
		a.response.Body = io.MultiReader(bytes.NewReader(body), a.response.Body)
		c.forwardStream(ctx, a)
	default:
		a.outcome.Served = isSuccess(a.response)
		a.finish()
		c.writeHeader(a.response, int64(len(body)))
		c.writeBody(body)
		c.logResponse(a)
	}
}

// bufferedBytes returns what a response takes that is read to its end before it is forwarded, in bytes; its length is -1
// if it is not known.
func bufferedBytes(length int64) int64 {
	if length < 0 {
		return maxBufferedResponse
	}
	return length
}

// writeBody writes a complete body to the caller.
func (c *call) writeBody(body []byte) {
	err := c.writeToCaller(http.NewResponseController(c.w), body, nil)
	if errors.Is(err, errLetGo) {
		c.abortStream(c.r.Context(), &verdict.Error{Verdict: verdict.Ran, Reason: verdict.ReasonCallerSlow, Message: err.Error()})
	}
	// Any other error is ignored: a disconnected caller cancels the request's context.
}

// retryBrokenOff handles a response that broke off before any of it was forwarded.
func (c *call) retryBrokenOff(ctx context.Context, a *attempt, err error) {
	a.outcome.Failed = ctx.Err() == nil
	a.outcome.Cancelled = ctx.Err() != nil
	a.outcome.Lost = a.outcome.Failed && upstream.ClosedByEndpoint(err)
	a.finish()
	v := brokenOffError("the endpoint's answer broke off", err)
	c.logFailedAttempt(a, v)
	if c.route.Idempotent() && c.takeRetry(ctx, v, 0) {
		c.run(ctx)
		return
	}
	c.refuse(c.finalError(ctx, v))
}

// brokenOffError returns the error for a response that broke off because of err.
func brokenOffError(message string, err error) *verdict.Error {
	reason := verdict.ReasonAnswerIncomplete
	if _, ok := upstream.ExceededLimit(err); ok {
		reason = verdict.ReasonAnswerTooLarge
	}
	if errors.Is(err, framing.ErrMalformed) {
		reason = verdict.ReasonAnswerMalformed
	}
	return mayHaveRunError(reason, message+": "+err.Error())
}

// writeHeader forwards the status and the headers of a response. A length of -1 means
// that it is not known.
func (c *call) writeHeader(response *upstream.Response, length int64) {
	h := c.w.Header()
	header := response.Header
	hopbyhop.Drop(header)
	header.Del("Content-Length")
	for name, values := range header {
		h[name] = values
	}
	if len(header["Content-Type"]) == 0 {
		h["Content-Type"] = nil // keeps net/http from detecting one
	}
	if length >= 0 && c.r.Method != http.MethodHead {
		setLength(h, length)
	}
	if undelimited(c.r, length) {
		c.setLinger(lingerReset) // until the response is complete
	}
	c.headerSent, c.sentLength = true, length
	c.unwatchStop() // the rest of the response may take until the exit
	c.w.WriteHeader(response.Status)
}

func (c *call) logResponse(a *attempt) {
	c.server.opts.Metrics.Answered(a.response.Status, time.Since(c.arrivedAt))
	c.logEnd("verdict", verdict.Ran, "status", a.response.Status, "endpoint", a.slot.Endpoint.ID,
		"first_ms", a.outcome.TimeToFirstByte.Milliseconds(), "held_ms", a.sentAt.Sub(c.arrivedAt).Milliseconds(), "events", a.outcome.Events,
		"pause_ms", a.outcome.LongestPause.Milliseconds())
}
