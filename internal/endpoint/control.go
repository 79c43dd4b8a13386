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
	"github.com/medlarhold/medlarhold/internal/framing"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Pause removes a stream from the engine's batch. The engine keeps the stream's
// KV cache as long as memory allows.
func (c *Client) Pause(ctx context.Context, address string, id entity.RequestID) (StreamStatus, error) {
	return control[StreamStatus](ctx, c, address, c.request(address).Post(streamPath(id)+"/pause"))
}

// Resume continues a paused stream.
func (c *Client) Resume(ctx context.Context, address string, id entity.RequestID) (StreamStatus, error) {
	return control[StreamStatus](ctx, c, address, c.request(address).Post(streamPath(id)+"/resume"))
}

// Cancel ends a stream. When it returns no error, the slot is free.
func (c *Client) Cancel(ctx context.Context, address string, id entity.RequestID) (StreamStatus, error) {
	return control[StreamStatus](ctx, c, address, c.request(address).Delete(streamPath(id)))
}

// Load requests an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	return control[Load](ctx, c, address, c.request(address).Get("/v1/load"))
}

// CacheEvents requests the changes of an engine's prefix cache, beginning at
// sequence number from.
func (c *Client) CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error) {
	path := "/v1/cache/events?from=" + strconv.FormatUint(from, 10)
	return control[CacheEvents](ctx, c, address, c.request(address).Get(path))
}

// Order sends an order to an engine. ErrOldFence means that the engine has seen
// a higher fencing number.
func (c *Client) Order(ctx context.Context, address string, o Order) (OrderStatus, error) {
	return control[OrderStatus](ctx, c, address, c.request(address).Post("/v1/orders").BodyJSON(o))
}

// OrderStatus requests what an engine serves and the highest fencing number
// that it has seen.
func (c *Client) OrderStatus(ctx context.Context, address string) (OrderStatus, error) {
	return control[OrderStatus](ctx, c, address, c.request(address).Get("/v1/orders"))
}

// Export asks an engine which part of a prefix's KV cache it can export.
func (c *Client) Export(ctx context.Context, address string, r ExportRequest) (Export, error) {
	return control[Export](ctx, c, address, c.request(address).Post("/v1/kv/export").BodyJSON(r))
}

// Import makes an engine fetch KV cache from another one.
func (c *Client) Import(ctx context.Context, address string, r ImportRequest) (Import, error) {
	return control[Import](ctx, c, address, c.request(address).Post("/v1/kv/import").BodyJSON(r))
}

func streamPath(id entity.RequestID) string {
	return "/v1/streams/" + url.PathEscape(string(id))
}

// control sends a request that may be repeated and decodes the response. It
// makes up to ControlAttempts attempts. The first one may use a pooled connection,
// the others open a new one.
func control[T any](ctx context.Context, c *Client, address string, r *sling.Sling) (T, error) {
	var answer T
	pauses := c.newBackoff()
	for attempt := 1; ; attempt++ {
		transport := c.single
		if attempt == 1 {
			transport = c.pooled
		}
		data, err := c.controlOnce(ctx, transport, r)
		if err == nil {
			return answer, c.decode(ctx, address, data, &answer)
		}
		if ctx.Err() != nil || attempt >= c.opts.ControlAttempts || !retryable(err) {
			return answer, c.controlError(ctx, address, err)
		}
		c.count(MetricRepeated)
		if isTimeout(err) {
			c.count(MetricNoProgress)
		}
		sleep(ctx, pauses.NextBackOff())
	}
}

func (c *Client) controlOnce(ctx context.Context, t *http.Transport, r *sling.Sling) ([]byte, error) {
	req, err := r.Request()
	if err != nil {
		return nil, err
	}
	resp, err := t.RoundTrip(req.WithContext(framing.ExpectHeads(ctx)))
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
		return c.mayHaveRun(ctx, verdict.ReasonEndpointFailed, address, err)
	}
	return nil
}

// statusError is the error of a response with a status other than 200.
type statusError struct {
	code    int
	message string
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("answered %d: %q", e.code, e.message)
}

// retryable reports whether another attempt may succeed: after any error other
// than a response that is too large or has a status below 500.
func retryable(err error) bool {
	var status *statusError
	if errors.Is(err, errBodyTooLarge) {
		return false
	}
	return !errors.As(err, &status) || status.code >= http.StatusInternalServerError
}

func (c *Client) controlError(ctx context.Context, address string, err error) error {
	var status *statusError
	if !errors.As(err, &status) {
		return c.mayHaveRun(ctx, verdict.ReasonConnectionLost, address, err)
	}
	switch status.code {
	case http.StatusConflict:
		return trace.Wrap(ErrOldFence)
	case http.StatusNotFound:
		return c.mayHaveRun(ctx, verdict.ReasonUnknownRequest, address, err)
	}
	return c.mayHaveRun(ctx, verdict.ReasonEndpointFailed, address, err)
}
