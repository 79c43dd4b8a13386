package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Generate dispatches a request to an engine at most once and passes its tokens
// to onToken in order. See the package documentation for its errors.
func (c *Client) Generate(ctx context.Context, address string, r GenerateRequest, onToken func(Token) error) (Result, error) {
	s := newStream(c, address, r.RequestID, 0, onToken)
	s.limit = r.MaxTokens
	a, err := c.dispatch(ctx, address, r)
	if err != nil && !errors.Is(err, errConnectionLost) {
		return s.result, err
	}
	return s.follow(ctx, a, err)
}

// Attach reads a stream that was dispatched before, beginning at token index
// from. It never dispatches a request.
func (c *Client) Attach(ctx context.Context, address string, id entity.RequestID, from int, onToken func(Token) error) (Result, error) {
	s := newStream(c, address, id, from, onToken)
	s.attached = true
	a, err := c.openStream(ctx, s)
	return s.follow(ctx, a, err)
}

// errConnectionLost marks the loss of a connection after which the client may
// attach to the stream again.
var errConnectionLost = errors.New("connection lost")

// errUnknownStream means that the engine has no such stream.
var errUnknownStream = errors.New("the engine does not know the stream")

// streamResponse is the response over one connection that carries a stream's events.
type streamResponse struct {
	id   entity.RequestID
	body io.ReadCloser
}

func newStreamResponse(resp *http.Response) *streamResponse {
	return &streamResponse{id: entity.RequestID(resp.Header.Get(HeaderRequestID)), body: resp.Body}
}

// dispatch sends the request. After errConnectionLost the stream may exist on
// the engine; any other error is final.
func (c *Client) dispatch(ctx context.Context, address string, r GenerateRequest) (*streamResponse, error) {
	r.Stream = true
	req, err := c.request(address).Post("/v1/completions").Set(HeaderRequestID, string(r.RequestID)).BodyJSON(r).Request()
	if err != nil {
		return nil, c.countFailure(verdict.New(verdict.NotRun, verdict.ReasonInternal, 0, "request for %s: %v", address, err))
	}
	var x exchange
	resp, err := x.do(c.single, req.WithContext(ctx))
	switch {
	case err != nil && x.provenUnsent():
		return nil, c.notRun(ctx, address, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errConnectionLost, err)
	case resp.StatusCode != http.StatusOK:
		return nil, c.refused(ctx, address, resp)
	}
	return newStreamResponse(resp), nil
}

// refused returns the error for a response to a dispatch with a status other
// than 200.
func (c *Client) refused(ctx context.Context, address string, resp *http.Response) error {
	defer resp.Body.Close()
	message, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	var reason verdict.Reason
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		reason = verdict.ReasonBadRequest
	case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		reason = verdict.ReasonEndpointRefused
	default:
		return c.mayHaveRun(ctx, verdict.ReasonEndpointFailed, address, fmt.Errorf("answered %s: %q", resp.Status, message))
	}
	return c.countFailure(verdict.New(verdict.NotRun, reason, retryAfter(resp.Header),
		"endpoint %s refused: %s: %q", address, resp.Status, message))
}

// maxMessageBytes is the maximum length of an endpoint's error message in an error.
const maxMessageBytes = 200

// openStream attaches to the stream, beginning at its next token.
func (c *Client) openStream(ctx context.Context, s *stream) (*streamResponse, error) {
	path := "/v1/streams/" + url.PathEscape(string(s.id)) + "?from=" + strconv.Itoa(s.next)
	req, err := c.request(s.address).Get(path).Set(HeaderRequestID, string(s.id)).Request()
	if err != nil {
		return nil, err
	}
	var x exchange
	resp, err := x.do(c.single, req.WithContext(ctx))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errConnectionLost, err)
	}
	if resp.StatusCode == http.StatusOK {
		return newStreamResponse(resp), nil
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, errUnknownStream
	}
	return nil, fmt.Errorf("%w: re-attachment answered %s", errConnectionLost, resp.Status)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
