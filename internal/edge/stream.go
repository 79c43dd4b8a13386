package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/sse"
	"github.com/medlarhold/medlarhold/internal/upstream"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// streamBufferBytes is the size of the copy buffer, enough for a few events.
	streamBufferBytes = 4 << 10
	// maxEventBytes is the maximum size of an event of a resumable stream.
	maxEventBytes = 256 << 10
)

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// Errors of a stream whose framing is complete and whose events aren't.
var (
	errPartial  = errors.New("the stream ended within an event")
	errNoEvents = errors.New("the connection ended before the first event")
)

// callerError is returned when a response can't be written to the caller.
type callerError struct{ error }

// Unwrap returns the error of the write.
func (e callerError) Unwrap() error { return e.error }

// forwardStream forwards a response as it arrives. If a resumable stream breaks off, it
// is resumed at another endpoint. For any other response that breaks off, the caller's
// connection is closed, so that the response can't look complete.
func (c *call) forwardStream(ctx context.Context, a *attempt) {
	var events *sse.Splitter
	if c.route.Resumable && c.isEventStream(a.response) {
		events = sse.NewSplitter(maxEventBytes)
	}
	for {
		err := c.copyStream(a, events)
		if err == nil {
			a.outcome.Served = isSuccess(a.response)
			a.finish()
			c.logResponse(a)
			return
		}
		var caller callerError
		callerGone := errors.As(err, &caller)
		unread := errors.Is(err, errUnread)
		a.outcome.Cancelled = callerGone || unread || ctx.Err() != nil
		a.outcome.Failed = !a.outcome.Cancelled
		a.outcome.Lost = a.outcome.Failed && (upstream.ClosedByEndpoint(err) || errors.Is(err, errPartial) || errors.Is(err, errNoEvents))
		a.finish()
		v := brokenOffError("the stream broke off", err)
		if callerGone || unread {
			v.Reason = callerReason(err)
			c.abortStream(ctx, v)
			return
		}
		c.logFailedAttempt(a, v)
		if events != nil && !c.headerSent {
			events = sse.NewSplitter(maxEventBytes) // what it has taken was not sent
		}
		if a = c.resume(ctx, events, v); a == nil {
			c.abortStream(ctx, v)
			return
		}
	}
}

// isEventStream reports whether the body of a response is a sequence of events.
func (c *call) isEventStream(response *upstream.Response) bool {
	if c.route.Kind != catalog.KindStream || response.Status != http.StatusOK || c.r.Method == http.MethodHead {
		return false
	}
	contentType := response.Header.Get("Content-Type")
	return contentType == "" || strings.HasPrefix(contentType, sse.ContentType)
}

// resume dispatches the request to another endpoint to continue the stream after the
// last event that was sent to the caller. It returns nil if the stream can't be resumed.
func (c *call) resume(ctx context.Context, events *sse.Splitter, v *verdict.Error) *attempt {
	if events == nil || c.originUnreadable || !c.originStands() {
		return nil
	}
	events.DiscardPartial()
	lastEventID := events.LastID()
	if lastEventID == "" {
		lastEventID = c.meta.LastEventID
	}
	for retries := 0; c.takeRetry(ctx, v, retries); retries++ {
		a, err := c.dispatch(ctx, lastEventID)
		if err == nil && c.isEventStream(a.response) {
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
	switch {
	case reason == verdict.ReasonCallerSlow:
		c.logLetGo()
	case c.r.Context().Err() != nil:
		reason = verdict.ReasonCallerGone
	case ctx.Err() != nil:
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
	s := newSpool(a, c.holding())
	defer c.closeSpool(s)
	for {
		n, err := s.Read(buffer[:])
		if n > 0 {
			if err := c.writeChunk(out, s, buffer[:n], events); err != nil {
				return err
			}
		}
		endedUnread := s.isUnread() && a.response.EndsWithConnection
		switch {
		case errors.Is(err, io.EOF) && !endedUnread:
			return c.finishStream(out, a, events)
		case err != nil && s.isUnread():
			c.holding().LetGo(intake.CauseFull)
			return errors.Join(errUnread, errLetGo, err)
		case err != nil:
			return err
		}
	}
}

// closeSpool ends a spool. The timer of writes refers to it and ends with it.
func (c *call) closeSpool(s *spool) {
	if c.watch != nil {
		c.watch.Stop()
		c.watch = nil
	}
	s.close()
}

// finishStream checks that a stream did not break off, and sends the header if the body
// was empty.
func (c *call) finishStream(out *http.ResponseController, a *attempt, events *sse.Splitter) error {
	if c.isEventStream(a.response) {
		if a.counter.HasPartial() || events != nil && events.HasPartial() {
			return errPartial
		}
		if !c.headerSent && a.response.EndsWithConnection && c.meta.LastEventID == "" {
			return errNoEvents
		}
	}
	if !c.headerSent {
		c.writeStreamHeader(a.response)
	}
	if undelimited(c.r, c.sentLength) {
		c.setLinger(lingerDefault)
	}
	// The end mark is written after this call, maybe long after the last event.
	c.setWriteDeadline(out)
	return nil
}

// writeStreamHeader forwards the header of a response whose body is forwarded as it
// arrives. The length of an event stream is left out: with it, the last byte would make a
// stream that ends within an event look complete.
func (c *call) writeStreamHeader(response *upstream.Response) {
	if c.isEventStream(response) {
		c.writeHeader(response, -1)
		return
	}
	c.writeHeader(response, response.Length)
}

// setWriteDeadline bounds the time of the next writes to the caller.
func (c *call) setWriteDeadline(out *http.ResponseController) {
	// The error is ignored: only response writers in tests don't support deadlines.
	_ = out.SetWriteDeadline(time.Now().Add(c.server.opts.WriteTimeout))
}

// writeChunk writes bytes of a response to the caller; if events is set, only those that
// complete an event.
func (c *call) writeChunk(out *http.ResponseController, s *spool, p []byte, events *sse.Splitter) error {
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
		if err := c.beginStream(s.attempt, events != nil); err != nil {
			return err
		}
		c.writeStreamHeader(s.attempt.response)
	}
	return c.writeToCaller(out, p, s)
}

func setLength(h http.Header, n int64) { h.Set("Content-Length", strconv.FormatInt(n, 10)) }
