package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// HTTPLog is the HTTP client of the log service. It is safe for concurrent use
// and never repeats an append.
type HTTPLog struct {
	client client
}

var _ Log = (*HTTPLog)(nil)

// NewHTTPLog returns a client of the log service at baseURL.
func NewHTTPLog(baseURL string, hc *http.Client) *HTTPLog {
	return &HTTPLog{client: newClient(baseURL, hc)}
}

// AppendResponse is the body of a successful response to an append.
type AppendResponse struct {
	Offset *Offset `json:"offset"`
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, s Stream, data []byte) (Offset, error) {
	if len(data) > MaxRecordBytes {
		return 0, trace.Wrap(ErrNotAppended, "record of %d bytes is longer than %d", len(data), MaxRecordBytes)
	}
	req := l.client.base.New().Post("log/"+pathSegment(string(s))).
		Set("Content-Type", "application/octet-stream").Body(bytes.NewReader(data))
	r, err := l.client.do(ctx, req, ExchangeTimeout)
	if err != nil {
		return 0, appendError(err)
	}
	return r.appended()
}

// appendError returns ErrNotAppended if the request was certainly not sent, and
// ErrUnknownOutcome for any other failed exchange.
func appendError(err error) error {
	var se *sendError
	if errors.As(err, &se) && se.Unsent {
		return trace.Wrap(ErrNotAppended, "%v", err)
	}
	return trace.Wrap(ErrUnknownOutcome, "%v", err)
}

// appended returns the outcome of an append from its response. Only a response
// with CodeNotAppended proves that the record was not appended.
func (r reply) appended() (Offset, error) {
	switch {
	case r.status == http.StatusOK:
		var a AppendResponse
		if err := json.Unmarshal(r.body, &a); err != nil || a.Offset == nil || *a.Offset < 0 {
			return 0, trace.Wrap(ErrUnknownOutcome, "answer can't be decoded")
		}
		return *a.Offset, nil
	case r.errorResponse().Code == CodeNotAppended:
		return 0, trace.Wrap(ErrNotAppended, "status %d: %s", r.status, r.errorResponse().Message)
	default:
		return 0, trace.Wrap(ErrUnknownOutcome, "status %d", r.status)
	}
}

// readQuery holds the query parameters of a read.
type readQuery struct {
	From   Offset `url:"from"`
	Limit  int    `url:"limit"`
	WaitMs int64  `url:"wait_ms,omitempty"`
}

// Read implements Log. With ErrTruncated the result still carries First and Next.
func (l *HTTPLog) Read(ctx context.Context, s Stream, from Offset, limit int, wait time.Duration) (ReadResult, error) {
	req := l.client.base.New().Get("log/" + pathSegment(string(s))).
		QueryStruct(readQuery{From: from, Limit: limit, WaitMs: wait.Milliseconds()})
	r, err := l.client.do(ctx, req, wait+ExchangeTimeout)
	if err != nil {
		return ReadResult{}, trace.Wrap(ErrUnavailable, "%v", err)
	}
	return r.readResult(from)
}

// readResult decodes the response to a read from the given offset.
func (r reply) readResult(from Offset) (ReadResult, error) {
	if r.status == http.StatusGone {
		a := r.errorResponse()
		if a.Code != CodeTruncated || a.First < 0 || a.Next < a.First {
			return ReadResult{}, trace.Wrap(ErrUnavailable, "status %d: %s", r.status, a.Message)
		}
		return ReadResult{First: a.First, Next: a.Next}, trace.Wrap(ErrTruncated)
	}
	var res ReadResult
	if err := r.decodeOK(&res); err != nil {
		return ReadResult{}, err
	}
	if err := res.check(from); err != nil {
		return ReadResult{}, err
	}
	return res, nil
}

// check returns an error unless the records are consecutive from the given offset.
func (res ReadResult) check(from Offset) error {
	if res.First < 0 || res.Next < res.First {
		return trace.Wrap(ErrUnavailable, "answer names offsets %d to %d", res.First, res.Next)
	}
	for i, rec := range res.Records {
		if rec.Offset != from+Offset(i) || rec.Offset >= res.Next {
			return trace.Wrap(ErrUnavailable, "answer skips to offset %d", rec.Offset)
		}
		if len(rec.Data) > MaxRecordBytes {
			return trace.Wrap(ErrUnavailable, "record %d is longer than %d bytes", rec.Offset, MaxRecordBytes)
		}
	}
	return nil
}
