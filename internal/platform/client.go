package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"
)

// Limits of one exchange with the platform.
const (
	// ExchangeTimeout bounds an exchange whose context carries no earlier
	// deadline, on top of the time a read asks the service to wait.
	ExchangeTimeout = 3 * time.Second
	// MaxRecordBytes bounds one record, on append and on read.
	MaxRecordBytes = 1 << 20
	// MaxResponseBytes bounds the body of one answer.
	MaxResponseBytes = 16 << 20
	// maxErrorBytes bounds the part of an error answer that is read.
	maxErrorBytes = 4 << 10
)

// client is what the three HTTP clients share.
type client struct {
	base *sling.Sling
	http *http.Client
}

// newClient returns a client that follows no redirect, since a redirect would
// repeat an append.
func newClient(baseURL string, hc *http.Client) client {
	if hc == nil {
		hc = http.DefaultClient
	}
	own := *hc
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client{base: sling.New().Base(strings.TrimSuffix(baseURL, "/") + "/"), http: &own}
}

// reply is one answer of the platform, read to its end.
type reply struct {
	status int
	body   []byte
}

// sendError is a failed exchange. Unsent says with certainty that no byte of
// the request left this process.
type sendError struct {
	Unsent bool
	Err    error
}

// Error implements error.
func (e *sendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.Err }

// do makes one exchange, once, and reads the whole answer.
func (c client) do(ctx context.Context, s *sling.Sling, timeout time.Duration) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return reply{}, &sendError{Unsent: true, Err: err}
	}
	req, err := s.Request()
	if err != nil {
		return reply{}, &sendError{Unsent: true, Err: err}
	}
	var asked, got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { got.Store(true) },
	})
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		unsent := isDialError(err) || asked.Load() && !got.Load()
		return reply{}, &sendError{Unsent: unsent, Err: err}
	}
	defer resp.Body.Close()
	body, err := readLimited(resp.Body, MaxResponseBytes)
	if err != nil {
		return reply{}, &sendError{Err: err}
	}
	return reply{status: resp.StatusCode, body: body}, nil
}

// isDialError says that no connection came about.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readLimited reads all of r, or fails when it holds more than limit bytes.
func readLimited(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, trace.LimitExceeded("answer is longer than %d bytes", limit)
	}
	return body, nil
}

// ErrorResponse is the body of an answer that refuses a call.
type ErrorResponse struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message,omitempty"`
	// First and Next are set with CodeTruncated.
	First Offset `json:"first,omitempty"`
	Next  Offset `json:"next,omitempty"`
}

// ErrorCode says why the platform refused a call.
type ErrorCode string

// The codes that the clients tell apart.
const (
	CodeNotAppended ErrorCode = "not_appended"
	CodeTruncated   ErrorCode = "truncated"
	CodeUnavailable ErrorCode = "unavailable"
	CodeNotFound    ErrorCode = "not_found"
	CodeBadRequest  ErrorCode = "bad_request"
)

// errorAnswer decodes an error body; a body that is none yields an empty code.
func (r reply) errorAnswer() ErrorResponse {
	var a ErrorResponse
	body := r.body[:min(len(r.body), maxErrorBytes)]
	if err := json.Unmarshal(body, &a); err != nil {
		return ErrorResponse{Message: http.StatusText(r.status)}
	}
	return a
}

// pathSegment escapes one segment of a URL path.
func pathSegment(s string) string { return url.PathEscape(s) }

// decodeOK decodes the body of a 200 answer into out.
func (r reply) decodeOK(out any) error {
	if r.status != http.StatusOK {
		return trace.Wrap(ErrUnavailable, "status %d: %s", r.status, r.errorAnswer().Message)
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return trace.Wrap(ErrUnavailable, "answer can't be decoded: %v", err)
	}
	return nil
}
