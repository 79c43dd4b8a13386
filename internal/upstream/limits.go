package upstream

import (
	"errors"
	"io"

	"github.com/medlarhold/medlarhold/internal/framing"
)

// Limit names a limit on what an endpoint may send. An endpoint in trouble may send
// bytes without end that are no response; without limits, they would fill the memory.
type Limit string

// The limits.
const (
	// LimitHead bounds the status line and the headers of a response, including those
	// of the informational responses before it.
	LimitHead Limit = "head"
	// LimitInformational bounds the number of informational responses.
	LimitInformational Limit = "informational"
	// LimitBody bounds the body.
	LimitBody Limit = "body"
)

const (
	// maxHeadBytes is the value of LimitHead. Distinct small headers take some thirty
	// times their size in memory.
	maxHeadBytes = 32 << 10
	// maxInformational is the value of LimitInformational.
	maxInformational = 8
	// DefaultMaxBodyBytes is the value of LimitBody for requests that set none.
	DefaultMaxBodyBytes = 64 << 20
)

// limitError is returned for a response that exceeds a limit.
type limitError struct{ limit Limit }

// Error implements error.
func (e limitError) Error() string {
	return "the endpoint's response exceeds the limit: " + string(e.limit)
}

// ExceededLimit returns the limit that caused err, if one did.
func ExceededLimit(err error) (Limit, bool) {
	var e limitError
	ok := errors.As(err, &e)
	return e.limit, ok
}

// headReader reads from a connection. While it reads a head, it fails once maxHeadBytes were read, or as soon as the
// bytes can't belong to one.
type headReader struct {
	source io.Reader
	// reading is set while a head is read, which may begin with bytes that were read before.
	reading bool
	left    int
	check   framing.HeadCheck
	// failed is the error with which a read of the head has failed. The parser may report another one then.
	failed error
}

// startHead begins a head, of which some bytes may have been read already.
func (h *headReader) startHead(begun []byte) error {
	h.reading, h.left, h.check, h.failed = true, maxHeadBytes, framing.HeadCheck{}, nil
	h.failed = h.check.Feed(begun)
	return h.failed
}

// endHead ends the head.
func (h *headReader) endHead() { h.reading = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.reading {
		return h.source.Read(p)
	}
	if h.left <= 0 {
		h.failed = limitError{LimitHead}
		return 0, h.failed
	}
	n, err := h.source.Read(p[:min(len(p), h.left)])
	h.left -= n
	if failed := h.check.Feed(p[:n]); failed != nil {
		h.failed = failed
		return 0, failed
	}
	return n, err
}
