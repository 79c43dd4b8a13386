package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/sse"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// streamBufferBytes is the size of the copy buffer, enough for a few events.
	streamBufferBytes = 4 << 10
	// maxEventBytes is the maximum size of an event of a resumable stream.
	maxEventBytes = 256 << 10
	// writeTimeout is how long a write to a caller that does not read may block.
	writeTimeout = 5 * time.Second
)

// eventEnd is the blank line that ends an event of a stream.
var eventEnd = []byte("\n\n")

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// errPartial is returned for a stream that ended within an event.
var errPartial = errors.New("the stream ended within an event")

// forwardStream forwards a response as it arrives. If a resumable stream breaks off, it
// is resumed at another endpoint. For any other response that breaks off, the caller's
// connection is closed, so that the response can't look complete.
func (c *call) forwardStream(ctx context.Context, a *attempt) {
	var events *sse.Splitter
	if c.route.Resumable && a.response.Length < 0 {
		events = sse.NewSplitter(maxEventBytes)
	}
	for {
		err := c.copyStream(a, events)
		if err == nil {
			a.finish()
			c.logResponse(a)
			return
		}
		a.outcome.Cancelled = ctx.Err() != nil
		a.outcome.Failed = ctx.Err() == nil
		a.finish()
		v := mayHaveRunError(verdict.ReasonAnswerIncomplete, "the stream broke off: "+err.Error())
		c.logFailedAttempt(a, v)
		if a = c.resume(ctx, events, v); a == nil {
			c.abortStream(ctx, v)
			return
		}
	}
}

// resume dispatches the request to another endpoint to continue the stream after the
// last event that was sent to the caller. It returns nil if the stream can't be resumed.
func (c *call) resume(ctx context.Context, events *sse.Splitter, v *verdict.Error) *attempt {
	if events == nil {
		return nil
	}
	events.DiscardPartial()
	lastEventID := events.LastID()
	if lastEventID == "" {
		lastEventID = c.meta.LastEventID
	}
	for retries := 0; c.takeRetry(ctx, v, retries); retries++ {
		a, err := c.dispatch(ctx, lastEventID)
		if err == nil && a.response.Status == http.StatusOK {
			return a
		}
		if err == nil {
			a.outcome.Failed = true
			a.finish()
			return nil
		}
		if a == nil {
			return nil
		}
		v = err
	}
	return nil
}

// abortStream ends a stream that can't be completed: with an error status if nothing was
// sent yet, otherwise by closing the caller's connection.
func (c *call) abortStream(ctx context.Context, v *verdict.Error) {
	if !c.headerSent {
		c.refuse(c.finalError(ctx, v))
		return
	}
	reason := v.Reason
	if c.r.Context().Err() != nil {
		reason = verdict.ReasonCallerGone
	} else if ctx.Err() != nil {
		reason = verdict.ReasonDeadline
	}
	c.server.opts.Metrics.Refused(reason, v.Verdict)
	c.logEnd("verdict", v.Verdict, "reason", reason, "why", v.Message)
	panic(http.ErrAbortHandler)
}

// copyStream copies a response to the caller until it ends. If events is set, only
// complete events are forwarded.
func (c *call) copyStream(a *attempt, events *sse.Splitter) error {
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	out := http.NewResponseController(c.w)
	for {
		n, err := a.response.Body.Read(buffer[:])
		if n > 0 {
			a.recordFirstByte()
			a.outcome.Events += bytes.Count(buffer[:n], eventEnd)
			a.outcome.StreamDuration = time.Since(a.sentAt) - a.outcome.TimeToFirstByte
			if err := c.writeChunk(out, a, buffer[:n], events); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.finishStream(a, events)
		case err != nil:
			return err
		}
	}
}

// finishStream checks that a stream did not end within an event, and sends the header if
// the body was empty.
func (c *call) finishStream(a *attempt, events *sse.Splitter) error {
	if events != nil && events.HasPartial() {
		return errPartial
	}
	if !c.headerSent {
		c.writeHeader(a.response, a.response.Length)
	}
	return nil
}

// writeChunk writes bytes of a response to the caller; if events is set, only those that
// complete an event.
func (c *call) writeChunk(out *http.ResponseController, a *attempt, p []byte, events *sse.Splitter) error {
	if events != nil {
		complete, err := events.Add(p)
		if err != nil {
			return err
		}
		if len(complete) == 0 {
			return nil
		}
		p = complete
	}
	if !c.headerSent {
		c.writeHeader(a.response, a.response.Length)
	}
	// The error is ignored: only response writers in tests don't support deadlines.
	_ = out.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.w.Write(p); err != nil {
		return err
	}
	return out.Flush()
}

func setLength(h http.Header, n int64) { h.Set("Content-Length", strconv.FormatInt(n, 10)) }
