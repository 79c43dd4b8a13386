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
	// CallTimeout bounds a call.
	CallTimeout = 3 * time.Second
	// MaxResponseBytes bounds an answer.
	MaxResponseBytes = 8 << 20
)

// Client calls one instance.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// NewClient returns a client of the instance at the address, host:port or a URL.
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

// Status returns the instance's own status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.call(ctx, c.base.New().Get(PathStatus), &out)
}

// Instances returns the instances as this one sees them.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var out []Instance
	return out, c.call(ctx, c.base.New().Get(PathInstances), &out)
}

// Endpoints returns the endpoints as the instance sees them.
func (c *Client) Endpoints(ctx context.Context) ([]Endpoint, error) {
	var out []Endpoint
	return out, c.call(ctx, c.base.New().Get(PathEndpoints), &out)
}

// Pools returns the pools as the instance sees them.
func (c *Client) Pools(ctx context.Context) ([]Pool, error) {
	var out []Pool
	return out, c.call(ctx, c.base.New().Get(PathPools), &out)
}

// Drain makes the instance stop once its requests are finished. It is idempotent.
func (c *Client) Drain(ctx context.Context) (Drain, error) {
	var out Drain
	return out, c.call(ctx, c.base.New().Post(PathDrain), &out)
}

// call makes one exchange and decodes the answer.
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
		return trace.LimitExceeded("answer is longer than %d bytes", MaxResponseBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return refused(resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return trace.BadParameter("answer can't be decoded: %v", err)
	}
	return nil
}

// refused turns an error answer into an error.
func refused(status int, body []byte) error {
	var e Error
	if json.Unmarshal(body, &e) != nil || e.Message == "" {
		e.Message = http.StatusText(status)
	}
	if status == http.StatusUnauthorized || status == http.StatusForbidden {
		return trace.AccessDenied("%s", e.Message)
	}
	return trace.Errorf("status %d: %s", status, e.Message)
}
