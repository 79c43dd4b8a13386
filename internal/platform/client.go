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
	// ExchangeTimeout is the maximum duration of an exchange. For a read, the
	// time for which it asks the service to wait is added. An earlier deadline
	// of the context takes precedence.
	ExchangeTimeout = 3 * time.Second
	// MaxRecordBytes is the maximum size of one record, on append and on read.
	MaxRecordBytes = 1 << 20
	// MaxResponseBytes is the maximum size of a response's body.
	MaxResponseBytes = 16 << 20
	// maxErrorBytes is the maximum part of an error response that is decoded.
	maxErrorBytes = 4 << 10
)

// client is the common part of the three HTTP clients.
type client struct {
	base *sling.Sling
	http *http.Client
}

// newClient returns a client that follows no redirects, because following one
// could repeat an append.
func newClient(baseURL string, hc *http.Client) client {
	if hc == nil {
		hc = http.DefaultClient
	}
	noRedirects := *hc
	noRedirects.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client{base: sling.New().Base(strings.TrimSuffix(baseURL, "/") + "/"), http: &noRedirects}
}

// reply is a complete HTTP response of the platform.
type reply struct {
	status int
	body   []byte
}

// sendError is the error of a failed exchange. Unsent is set only if it is
// certain that no byte of the request left this process.
type sendError struct {
	Unsent bool
	Err    error
}

// Error implements error.
func (e *sendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.Err }

// do sends one request, without retries, and reads the complete response. Its
// error is a *sendError.
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
	var requested, connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { requested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		unsent := isDialError(err) || requested.Load() && !connected.Load()
		return reply{}, &sendError{Unsent: unsent, Err: err}
	}
	defer resp.Body.Close()
	body, err := readLimited(resp.Body, MaxResponseBytes)
	if err != nil {
		return reply{}, &sendError{Err: err}
	}
	return reply{status: resp.StatusCode, body: body}, nil
}

// isDialError reports whether err means that no connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readLimited reads all of r, or returns an error if it holds more than limit bytes.
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

// ErrorResponse is the body of a response that refuses a call.
type ErrorResponse struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message,omitempty"`
	// First and Next are set with CodeTruncated.
	First Offset `json:"first,omitempty"`
	Next  Offset `json:"next,omitempty"`
}

// ErrorCode is the reason why the platform refused a call.
type ErrorCode string

// The error codes.
const (
	CodeNotAppended ErrorCode = "not_appended"
	CodeTruncated   ErrorCode = "truncated"
	CodeUnavailable ErrorCode = "unavailable"
	CodeNotFound    ErrorCode = "not_found"
	CodeBadRequest  ErrorCode = "bad_request"
)

// errorResponse decodes the body of an error response. If the body is not an
// ErrorResponse, the code is empty and the message is that of the HTTP status.
func (r reply) errorResponse() ErrorResponse {
	var a ErrorResponse
	body := r.body[:min(len(r.body), maxErrorBytes)]
	if err := json.Unmarshal(body, &a); err != nil {
		return ErrorResponse{Message: http.StatusText(r.status)}
	}
	return a
}

// pathSegment escapes one segment of a URL path.
func pathSegment(s string) string { return url.PathEscape(s) }

// decodeOK decodes the body of a response with status 200 into out. Any other
// status, or a body that can't be decoded, is ErrUnavailable.
func (r reply) decodeOK(out any) error {
	if r.status != http.StatusOK {
		return trace.Wrap(ErrUnavailable, "status %d: %s", r.status, r.errorResponse().Message)
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return trace.Wrap(ErrUnavailable, "answer can't be decoded: %v", err)
	}
	return nil
}
