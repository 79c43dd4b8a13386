package endpoint

import (
	"fmt"
	"net/http"

	"github.com/cenkalti/backoff/v5"
	"github.com/dghubble/sling"
	"github.com/rcrowley/go-metrics"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// The names of the counters. MetricFailed takes a reason.
const (
	// MetricReattach counts attachments to streams whose connection was lost.
	MetricReattach = "medlarhold_endpoint_reattachments_total"
	// MetricNoProgress counts connections that were given up on for lack of progress.
	MetricNoProgress = "medlarhold_endpoint_no_progress_total"
	// MetricRepeated counts second tries of calls that may be repeated.
	MetricRepeated = "medlarhold_endpoint_repeated_calls_total"
	// MetricFailed counts failures by reason.
	MetricFailed = "medlarhold_endpoint_failures_total{reason=%q}"
)

// Client talks to endpoints. It is safe for use by several goroutines.
type Client struct {
	opts Options
	// single gives each request to an engine its own connection, calls the
	// same to a plain service; pooled is for what may be repeated.
	single *http.Transport
	calls  *http.Transport
	pooled *http.Transport
}

// New returns a Client.
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

// request starts a request to an endpoint.
func (c *Client) request(address string) *sling.Sling {
	scheme := "http://"
	if c.opts.TLS != nil {
		scheme = "https://"
	}
	return sling.New().Base(scheme + address)
}

func (c *Client) pauses() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = c.opts.ReattachPause
	b.MaxInterval = c.opts.NoProgress
	return b
}

func (c *Client) count(name string) {
	metrics.GetOrRegisterCounter(name, c.opts.Metrics).Inc(1)
}

// failed counts err by its reason and returns it.
func (c *Client) failed(err error) error {
	c.count(fmt.Sprintf(MetricFailed, verdict.Of(err).Reason))
	return err
}
