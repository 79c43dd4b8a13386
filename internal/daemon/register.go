package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// platformConns bounds the idle connections to each service of the platform.
const platformConns = 8

// register keeps the instance on the platform's list and reads the list.
func (d *Daemon) register(ctx context.Context) {
	down := false
	for {
		ok := d.renew(ctx)
		if !ok && !down && ctx.Err() == nil {
			telemetry.Log(d.log, telemetry.EventListUnavailable)
		}
		down = !ok
		select {
		case <-ctx.Done():
			return
		case <-time.After(platform.ListRenewInterval):
		}
	}
}

// renew is one round with the list.
func (d *Daemon) renew(ctx context.Context) bool {
	self := d.self
	self.Leaving = d.loop.Status().Draining
	if err := d.list.Register(ctx, self); err != nil {
		return false
	}
	instances, err := d.list.List(ctx)
	if err != nil {
		return false
	}
	d.loop.Post(node.Listed{Instances: instances})
	return true
}

// countingTransport counts the bytes of bodies to and from the platform.
type countingTransport struct {
	next *http.Transport
	d    *Daemon
}

func (d *Daemon) countPlatform(next *http.Transport) http.RoundTripper {
	return countingTransport{next: next, d: d}
}

// headerBytes is what the headers of one exchange take in each direction,
// which the HTTP library does not tell.
const headerBytes = 160

// RoundTrip implements http.RoundTripper. After an exchange that failed, what
// is open to the platform counts as silent, and the next one dials.
func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.d.metrics.PlatformBytesSent.Inc(headerBytes + max(0, r.ContentLength))
	res, err := c.next.RoundTrip(r)
	if err != nil {
		c.next.CloseIdleConnections()
		return nil, err
	}
	c.d.metrics.PlatformBytesReceived.Inc(headerBytes + max(0, res.ContentLength))
	return res, nil
}
