package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Pause takes a stream out of the engine's batch; its KV cache stays as long
// as memory allows.
func (c *Client) Pause(ctx context.Context, address string, id entity.RequestID) (StreamStatus, error) {
	return ask[StreamStatus](ctx, c, address, c.request(address).Post(streamPath(id)+"/pause"))
}

// Resume lets a paused stream go on.
func (c *Client) Resume(ctx context.Context, address string, id entity.RequestID) (StreamStatus, error) {
	return ask[StreamStatus](ctx, c, address, c.request(address).Post(streamPath(id)+"/resume"))
}

// Cancel ends a stream. When it returns no error, the slot is free.
func (c *Client) Cancel(ctx context.Context, address string, id entity.RequestID) (StreamStatus, error) {
	return ask[StreamStatus](ctx, c, address, c.request(address).Delete(streamPath(id)))
}

// Load asks an engine for its load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	return ask[Load](ctx, c, address, c.request(address).Get("/v1/load"))
}

// CacheEvents asks for the changes of an engine's prefix cache from a sequence
// number on.
func (c *Client) CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error) {
	path := "/v1/cache/events?from=" + strconv.FormatUint(from, 10)
	return ask[CacheEvents](ctx, c, address, c.request(address).Get(path))
}

// Order gives an order. ErrOldFence means that the engine has seen a higher
// fencing number.
func (c *Client) Order(ctx context.Context, address string, o Order) (OrderStatus, error) {
	return ask[OrderStatus](ctx, c, address, c.request(address).Post("/v1/orders").BodyJSON(o))
}

// OrderStatus asks what an engine serves.
func (c *Client) OrderStatus(ctx context.Context, address string) (OrderStatus, error) {
	return ask[OrderStatus](ctx, c, address, c.request(address).Get("/v1/orders"))
}

// Export asks an engine which part of a prefix it can hand out.
func (c *Client) Export(ctx context.Context, address string, r ExportRequest) (Export, error) {
	return ask[Export](ctx, c, address, c.request(address).Post("/v1/kv/export").BodyJSON(r))
}

// Import has an engine fetch KV cache from another one.
func (c *Client) Import(ctx context.Context, address string, r ImportRequest) (Import, error) {
	return ask[Import](ctx, c, address, c.request(address).Post("/v1/kv/import").BodyJSON(r))
}

func streamPath(id entity.RequestID) string {
	return "/v1/streams/" + url.PathEscape(string(id))
}

// ask sends a request that may be repeated and decodes the answer. The first
// attempt may use a pooled connection, the others never do.
func ask[T any](ctx context.Context, c *Client, address string, r *sling.Sling) (T, error) {
	var answer T
	pauses := c.pauses()
	for tries := 1; ; tries++ {
		transport := c.single
		if tries == 1 {
			transport = c.pooled
		}
		data, err := c.askOnce(ctx, transport, r)
		if err == nil {
			return answer, c.decode(ctx, address, data, &answer)
		}
		if ctx.Err() != nil || tries >= c.opts.ControlTries || !repeatable(err) {
			return answer, c.askFailed(ctx, address, err)
		}
		c.count(MetricRepeated)
		if isTimeout(err) {
			c.count(MetricNoProgress)
		}
		sleep(ctx, pauses.NextBackOff())
	}
}

func (c *Client) askOnce(ctx context.Context, t *http.Transport, r *sling.Sling) ([]byte, error) {
	req, err := r.Request()
	if err != nil {
		return nil, err
	}
	resp, err := t.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
		return nil, &statusError{code: resp.StatusCode, message: string(message)}
	}
	return readAll(resp.Body, c.opts.MaxBodyBytes)
}

func (c *Client) decode(ctx context.Context, address string, data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return c.lost(ctx, verdict.ReasonEndpointFailed, address, err)
	}
	return nil
}

// statusError is an answer other than 200.
type statusError struct {
	code    int
	message string
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("answered %d: %q", e.code, e.message)
}

// repeatable says whether another attempt may do better.
func repeatable(err error) bool {
	var status *statusError
	if errors.Is(err, errBodyTooLarge) {
		return false
	}
	return !errors.As(err, &status) || status.code >= http.StatusInternalServerError
}

func (c *Client) askFailed(ctx context.Context, address string, err error) error {
	var status *statusError
	if !errors.As(err, &status) {
		return c.lost(ctx, verdict.ReasonConnectionLost, address, err)
	}
	switch status.code {
	case http.StatusConflict:
		return trace.Wrap(ErrOldFence)
	case http.StatusNotFound:
		return c.lost(ctx, verdict.ReasonUnknownRequest, address, err)
	}
	return c.lost(ctx, verdict.ReasonEndpointFailed, address, err)
}
