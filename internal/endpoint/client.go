package endpoint

import (
	"fmt"
	"net/http"

	"github.com/cenkalti/backoff/v5"
	"github.com/dghubble/sling"
	"github.com/rcrowley/go-metrics"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// The names of the counters. MetricFailed is a format string that takes a reason.
const (
	// MetricReattach counts attempts to attach again to streams whose connection was lost.
	MetricReattach = "medlarhold_endpoint_reattachments_total"
	// MetricNoProgress counts connections that were abandoned because they made
	// no progress.
	MetricNoProgress = "medlarhold_endpoint_no_progress_total"
	// MetricRepeated counts retries of calls that may be repeated.
	MetricRepeated = "medlarhold_endpoint_repeated_calls_total"
	// MetricFailed counts failures by reason.
	MetricFailed = "medlarhold_endpoint_failures_total{reason=%q}"
)

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	opts Options
	// single opens a new connection for each request to an engine, calls for
	// each call of a plain service. pooled reuses connections to engines, for
	// requests that may be repeated.
	single *http.Transport
	calls  *http.Transport
	pooled *http.Transport
}

// New returns a Client with the options.
func New(o Options) *Client {
	o = o.withDefaults()
	engines := &dialer{timeout: o.DialTimeout, noProgress: o.NoProgress, tls: o.TLS, wrap: o.Wrap}
	services := &dialer{timeout: o.DialTimeout, noProgress: o.CallNoProgress, tls: o.TLS, wrap: o.Wrap}
	return &Client{
		opts:   o,
		single: newTransport(engines, false),
		calls:  newTransport(services, false),
		pooled: newTransport(engines, true),
	}
}

// Close closes the pooled connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
}

// request returns a builder for a request to the endpoint.
func (c *Client) request(address string) *sling.Sling {
	scheme := "http://"
	if c.opts.TLS != nil {
		scheme = "https://"
	}
	return sling.New().Base(scheme + address)
}

// newBackoff returns the backoff between attempts.
func (c *Client) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.opts.ReattachPause
	b.MaxInterval = c.opts.NoProgress
	return b
}

func (c *Client) count(name string) {
	metrics.GetOrRegisterCounter(name, c.opts.Metrics).Inc(1)
}

// countFailure counts err by its reason and returns it.
func (c *Client) countFailure(err error) error {
	c.count(fmt.Sprintf(MetricFailed, verdict.Of(err).Reason))
	return err
}
