package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/framing"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// platformConns bounds the idle connections to each service of the platform.
const platformConns = 8

// register keeps this instance registered on the platform's list, and reads the list, until ctx ends.
func (d *Daemon) register(ctx context.Context) {
	down := false
	started := time.Now()
	var readAt time.Time
	for {
		ok := d.renew(ctx)
		if now := time.Now(); ok && !now.Before(readAt) {
			var rows int
			rows, ok = d.readList(ctx)
			searching := now.Sub(started) < searchDuration || d.noZonePeers()
			readAt = now.Add(jittered(listInterval(rows, searching)))
		}
		if !ok && !down && ctx.Err() == nil {
			telemetry.Log(d.log, telemetry.EventListUnavailable)
		}
		down = !ok
		select {
		case <-ctx.Done():
			return
		case <-time.After(d.renewInterval()):
		}
	}
}

// noZonePeers reports whether the instance knows no other instance in its zone.
func (d *Daemon) noZonePeers() bool {
	view := d.loop.View()
	local, _ := view.Zone(d.self.Zone)
	return !view.Joined || len(local.Members) < 2
}

// joinRetryInterval is the time until the next renewal while no peer has answered yet.
const joinRetryInterval = 300 * time.Millisecond

// renewInterval returns the time until the registration is renewed next.
func (d *Daemon) renewInterval() time.Duration {
	if !d.loop.View().Joined {
		return joinRetryInterval
	}
	return platform.ListRenewInterval
}

// renew renews the registration of this instance, with its Leaving flag, and
// reports whether the list accepted it.
func (d *Daemon) renew(ctx context.Context) bool {
	self := d.self
	self.Leaving = d.loop.Status().Draining
	d.metrics.ListCall("renew")
	return d.list.Register(ctx, self) == nil
}

// readList reads the list, posts it to the control goroutine and returns the
// number of its rows. It returns false if the read failed.
func (d *Daemon) readList(ctx context.Context) (int, bool) {
	d.metrics.ListCall("read")
	instances, err := d.list.List(ctx)
	if err != nil {
		return 0, false
	}
	d.platformList.Store(&instances)
	d.loop.Post(node.PlatformList{Instances: instances})
	return len(instances), true
}

// platformClient returns an HTTP client of the platform's services whose traffic
// t counts.
func (d *Daemon) platformClient(t telemetry.Traffic) *http.Client {
	return &http.Client{Transport: redialAfterFailure{framing.Checked(&http.Transport{
		TLSClientConfig: d.certs.client(), MaxIdleConnsPerHost: platformConns, DialContext: t.DialContext,
	})}}
}

// redialAfterFailure is a transport that closes its idle connections after an
// exchange that failed: they may be unresponsive as well. The next exchange then
// dials a new connection.
type redialAfterFailure struct {
	next *framing.Transport
}

// CloseIdleConnections closes the idle connections.
func (f redialAfterFailure) CloseIdleConnections() { f.next.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (f redialAfterFailure) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := f.next.RoundTrip(r)
	if err != nil {
		f.next.CloseIdleConnections()
	}
	return res, err
}
