package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/hopbyhop"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// CallRequest is a call to a plain service.
type CallRequest struct {
	RequestID entity.RequestID
	Method    string
	// Path is the path with its query.
	Path   string
	Header http.Header
	Body   []byte
}

// CallResponse is the response of a plain service.
type CallResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Verdict returns whether the service has run the call: MayHaveRun for a server
// error, after which the service may have run a part of it, otherwise Ran.
func (r CallResponse) Verdict() verdict.Verdict {
	if r.Status >= http.StatusInternalServerError {
		return verdict.MayHaveRun
	}
	return verdict.Ran
}

// Call sends a call to a plain service at most once and returns its response.
// See the package documentation for its errors.
func (c *Client) Call(ctx context.Context, address string, r CallRequest) (CallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallLimit)
	defer cancel()
	req, err := c.callRequest(ctx, address, r)
	if err != nil {
		return CallResponse{}, c.countFailure(verdict.New(verdict.NotRun, verdict.ReasonBadRequest, 0, "call: %v", err))
	}
	var x exchange
	resp, err := x.do(c.calls, req)
	switch {
	case err != nil && x.provenUnsent():
		return CallResponse{}, c.notRun(ctx, address, err)
	case err != nil:
		return CallResponse{}, c.mayHaveRun(ctx, verdict.ReasonConnectionLost, address, err)
	}
	defer resp.Body.Close()
	body, err := readAll(resp.Body, c.opts.MaxBodyBytes)
	if err != nil {
		return CallResponse{}, c.mayHaveRun(ctx, verdict.ReasonAnswerIncomplete, address, err)
	}
	hopbyhop.Drop(resp.Header)
	return CallResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func (c *Client) callRequest(ctx context.Context, address string, r CallRequest) (*http.Request, error) {
	base, err := c.request(address).Request()
	if err != nil {
		return nil, err
	}
	target, err := base.URL.Parse("/" + strings.TrimLeft(r.Path, "/"))
	if err != nil {
		return nil, err
	}
	var body io.Reader
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target.String(), body)
	if err != nil {
		return nil, err
	}
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	hopbyhop.Drop(req.Header)
	req.Header.Set(HeaderRequestID, string(r.RequestID))
	return req, nil
}
