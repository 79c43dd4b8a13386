package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// memoryRetryAfter is the Retry-After while the memory for request bodies is used up.
	memoryRetryAfter = 200 * time.Millisecond
	// defaultBodyTimeout is how long a caller may take to send a body if the
	// configuration sets no header timeout.
	defaultBodyTimeout = 10 * time.Second
	// defaultMaxBodyBytes limits a body if the configuration sets no limit.
	defaultMaxBodyBytes = 64 << 20
	// discardTimeout and maxDiscardBytes bound how much of an unwanted body is read.
	discardTimeout  = 500 * time.Millisecond
	maxDiscardBytes = 8 << 20
)

// readBody reads the complete body before the dispatch, so that it can be sent to
// another endpoint and so that the HTTP server notices when the caller disconnects.
func (c *call) readBody() *verdict.Error {
	limit := bodyLimit(c.config.Bounds)
	if c.r.ContentLength > limit {
		c.stopReadingBody()
		return refusal(verdict.ReasonBodyTooLarge, 0, "the body is over the limit")
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	c.setReadDeadline(c.arrivedAt.Add(bodyTimeout(c.config.Bounds)))
	held := c.holding()
	resume := context.AfterFunc(c.server.opts.Scheduler.Dispatching(), func() { c.setReadDeadline(past) })
	data, err := intake.ReadBody(http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength, limit, held.grow, held.shrink)
	if !resume() {
		c.bodyEnded = true
		c.stopReadingBody()
		return Stopping()
	}
	if err != nil {
		c.stopReadingBody()
		return bodyError(err)
	}
	c.setReadDeadline(time.Time{})
	c.body = data
	return nil
}

// bodyLimit returns the maximum size of a body in bytes.
func bodyLimit(b catalog.ClientBounds) int64 {
	if b.BodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return b.BodyBytes
}

// bodyTimeout returns how long a caller may take to send a body: ten times the header
// timeout, as bodies are larger.
func bodyTimeout(b catalog.ClientBounds) time.Duration {
	const timeoutFactor = 10
	if b.HeaderTimeout <= 0 {
		return defaultBodyTimeout
	}
	return timeoutFactor * b.HeaderTimeout
}

// bodyError returns the refusal for a body that could not be read.
func bodyError(err error) *verdict.Error {
	var tooLarge *http.MaxBytesError
	var network net.Error
	switch {
	case errors.Is(err, intake.ErrNoMemory) || errors.Is(err, intake.ErrRefused):
		return refusal(verdict.ReasonOverload, memoryRetryAfter, err.Error())
	case errors.As(err, &tooLarge):
		return refusal(verdict.ReasonBodyTooLarge, 0, "the body is over the limit")
	case errors.As(err, &network) && network.Timeout():
		return refusal(verdict.ReasonRequestTimeout, minRetryAfter, "the body came too slowly")
	}
	return refusal(verdict.ReasonBadRequest, 0, "the body could not be read")
}

// past is a read deadline that ends a read at once.
var past = time.Unix(1, 0)

// stopReadingBody closes the connection after the response. The read deadline in the
// past keeps the HTTP server from reading the rest of the body before it responds.
func (c *call) stopReadingBody() {
	c.bodyUnread = true
	c.w.Header().Set("Connection", "close")
	c.setReadDeadline(past)
}

// setReadDeadline sets the deadline for reading from the caller; the zero time means none.
func (c *call) setReadDeadline(at time.Time) {
	// The error is ignored: only response writers in tests don't support deadlines.
	_ = http.NewResponseController(c.w).SetReadDeadline(at)
}

// discardBody reads on for a while after a response to a request whose body was not read.
// If the connection were closed at once, the unread bytes would reset it, and the caller
// would often lose the response.
func (c *call) discardBody() {
	if !c.bodyUnread || c.r.Header.Get("Expect") != "" {
		return
	}
	// Errors are ignored: the connection is closed in any case.
	_ = http.NewResponseController(c.w).Flush()
	c.setReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, c.r.Body, maxDiscardBytes)
}
