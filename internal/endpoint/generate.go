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

// Generate dispatches a request to an engine, once, and hands its tokens to
// onToken in order. See the package documentation for its errors.
func (c *Client) Generate(ctx context.Context, address string, r GenerateRequest, onToken func(Token) error) (Result, error) {
	s := newStream(c, address, r.RequestID, 0, onToken)
	s.limit = r.MaxTokens
	a, err := c.dispatch(ctx, address, r)
	if err != nil && !errors.Is(err, errLost) {
		return s.result, err
	}
	return s.follow(ctx, a, err)
}

// Attach takes up a stream that was dispatched before, from token from on. It
// never runs anything.
func (c *Client) Attach(ctx context.Context, address string, id entity.RequestID, from int, onToken func(Token) error) (Result, error) {
	s := newStream(c, address, id, from, onToken)
	s.attached = true
	a, err := c.open(ctx, s)
	return s.follow(ctx, a, err)
}

// errLost marks the loss of a connection after which a stream may still be
// taken up again.
var errLost = errors.New("connection lost")

// errUnknownStream means that the engine does not know the stream.
var errUnknownStream = errors.New("the engine does not know the stream")

// answer is the start of a stream's answer over one connection.
type answer struct {
	id   entity.RequestID
	body io.ReadCloser
}

func newAnswer(resp *http.Response) *answer {
	return &answer{id: entity.RequestID(resp.Header.Get(HeaderRequestID)), body: resp.Body}
}

// dispatch sends the request. Its error is errLost or final.
func (c *Client) dispatch(ctx context.Context, address string, r GenerateRequest) (*answer, error) {
	r.Stream = true
	req, err := c.request(address).Post("/v1/completions").Set(HeaderRequestID, string(r.RequestID)).BodyJSON(r).Request()
	if err != nil {
		return nil, c.failed(verdict.New(verdict.NotRun, verdict.ReasonInternal, 0, "request for %s: %v", address, err))
	}
	var x exchange
	resp, err := x.do(c.single, req.WithContext(ctx))
	switch {
	case err != nil && x.untouched():
		return nil, c.notSent(ctx, address, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errLost, err)
	case resp.StatusCode != http.StatusOK:
		return nil, c.refused(ctx, address, resp)
	}
	return newAnswer(resp), nil
}

// refused turns an answer other than 200 to a dispatch into an error.
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
		return c.lost(ctx, verdict.ReasonEndpointFailed, address, fmt.Errorf("answered %s: %q", resp.Status, message))
	}
	return c.failed(verdict.New(verdict.NotRun, reason, retryAfter(resp.Header),
		"endpoint %s refused: %s: %q", address, resp.Status, message))
}

// maxMessageBytes bounds what is repeated of an endpoint's error message.
const maxMessageBytes = 200

// open attaches to the stream from its next token on.
func (c *Client) open(ctx context.Context, s *stream) (*answer, error) {
	path := "/v1/streams/" + url.PathEscape(string(s.id)) + "?from=" + strconv.Itoa(s.next)
	req, err := c.request(s.address).Get(path).Set(HeaderRequestID, string(s.id)).Request()
	if err != nil {
		return nil, err
	}
	var x exchange
	resp, err := x.do(c.single, req.WithContext(ctx))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errLost, err)
	}
	if resp.StatusCode == http.StatusOK {
		return newAnswer(resp), nil
	}
	resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, errUnknownStream
	}
	return nil, fmt.Errorf("%w: re-attachment answered %s", errLost, resp.Status)
}

// sleep waits for d or for the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
