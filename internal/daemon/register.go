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
	d.metrics.ListCall("renew")
	if err := d.list.Register(ctx, self); err != nil {
		return false
	}
	d.metrics.ListCall("read")
	instances, err := d.list.List(ctx)
	if err != nil {
		return false
	}
	d.loop.Post(node.Listed{Instances: instances})
	return true
}

// platformClient returns an HTTP client towards the platform whose bytes are counted.
func (d *Daemon) platformClient(t telemetry.Traffic) *http.Client {
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig: d.certs.client(), MaxIdleConnsPerHost: platformConns, DialContext: t.DialContext,
	}}
}
