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
	// streamBufferBytes holds a few events.
	streamBufferBytes = 4 << 10
	// maxEventBytes bounds one event of a stream that may be resumed.
	maxEventBytes = 256 << 10
	// writeTimeout bounds how long a caller may take nothing of its answer.
	writeTimeout = 5 * time.Second
)

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// errPartial says that a stream ended within an event.
var errPartial = errors.New("the stream ended within an event")

// forwardStream passes an answer on as it comes. A resumable stream that breaks
// off goes on at another endpoint; any other ends the caller's connection, so
// that the answer can't look complete.
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

// resume sends the request on to another endpoint, from the last event on that
// the caller has. It returns nil where that can't be done.
func (c *call) resume(ctx context.Context, events *sse.Splitter, v *verdict.Error) *attempt {
	if events == nil {
		return nil
	}
	events.DiscardPartial()
	last := events.LastID()
	if last == "" {
		last = c.meta.LastEventID
	}
	for refusals := 0; c.takeRetry(ctx, v, refusals); refusals++ {
		a, err := c.dispatch(ctx, last)
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

// abortStream ends a stream that can't be completed.
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

// copyStream copies an answer to the caller until it ends. With events set,
// only whole events are passed on.
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

// finishStream checks that a stream that has ended ends with a whole event.
func (c *call) finishStream(a *attempt, events *sse.Splitter) error {
	if events != nil && events.HasPartial() {
		return errPartial
	}
	if !c.headerSent {
		c.writeHeader(a.response, a.response.Length)
	}
	return nil
}

// writeChunk writes bytes of an answer to the caller.
func (c *call) writeChunk(out *http.ResponseController, a *attempt, p []byte, events *sse.Splitter) error {
	if events != nil {
		whole, err := events.Add(p)
		if err != nil {
			return err
		}
		if len(whole) == 0 {
			return nil
		}
		p = whole
	}
	if !c.headerSent {
		c.writeHeader(a.response, a.response.Length)
	}
	// Only writers of tests have no deadlines.
	_ = out.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.w.Write(p); err != nil {
		return err
	}
	return out.Flush()
}

func setLength(h http.Header, n int64) { h.Set("Content-Length", strconv.FormatInt(n, 10)) }
