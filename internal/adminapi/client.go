package adminapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"
)

// Limits of one call.
const (
	// CallTimeout bounds the duration of a call.
	CallTimeout = 3 * time.Second
	// MaxResponseBytes bounds the length of a response body.
	MaxResponseBytes = 8 << 20
)

// Client calls the admin interface of one instance. It is safe for concurrent use.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// NewClient returns a client of the instance at the address, which is host:port or
// a URL. If hc is nil, it uses http.DefaultClient.
func NewClient(address, operatorKey string, hc *http.Client) *Client {
	if hc == nil {
		hc = http.DefaultClient
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	base := sling.New().Base(address)
	if operatorKey != "" {
		base.Set("Authorization", "Bearer "+operatorKey)
	}
	return &Client{base: base, http: hc}
}

// Status returns the status of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.call(ctx, c.base.New().Get(PathStatus), &out)
}

// Instances returns the instances that this instance knows.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var out []Instance
	return out, c.call(ctx, c.base.New().Get(PathInstances), &out)
}

// Endpoints returns the endpoints that the instance knows.
func (c *Client) Endpoints(ctx context.Context) ([]Endpoint, error) {
	var out []Endpoint
	return out, c.call(ctx, c.base.New().Get(PathEndpoints), &out)
}

// Pools returns the pools with the totals over the endpoints that the instance owns.
func (c *Client) Pools(ctx context.Context) ([]Pool, error) {
	var out []Pool
	return out, c.call(ctx, c.base.New().Get(PathPools), &out)
}

// Drain begins the planned stop: the instance stops once its requests are
// finished. It is idempotent.
func (c *Client) Drain(ctx context.Context) (Drain, error) {
	var out Drain
	return out, c.call(ctx, c.base.New().Post(PathDrain), &out)
}

// call sends one request and decodes the response into out.
func (c *Client) call(ctx context.Context, s *sling.Sling, out any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return trace.ConnectionProblem(err, "%v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	if err != nil {
		return trace.ConnectionProblem(err, "%v", err)
	}
	if len(body) > MaxResponseBytes {
		return trace.LimitExceeded("response is longer than %d bytes", MaxResponseBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return trace.BadParameter("response can't be decoded: %v", err)
	}
	return nil
}

// statusError returns the error for a response with a status other than 200.
func statusError(status int, body []byte) error {
	var e Error
	if json.Unmarshal(body, &e) != nil || e.Message == "" {
		e.Message = http.StatusText(status)
	}
	if status == http.StatusUnauthorized || status == http.StatusForbidden {
		return trace.AccessDenied("%s", e.Message)
	}
	return trace.Errorf("status %d: %s", status, e.Message)
}
