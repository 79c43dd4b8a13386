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
	started := time.Now()
	var readAt time.Time
	for {
		ok := d.renew(ctx)
		if now := time.Now(); ok && !now.Before(readAt) {
			var rows int
			rows, ok = d.readList(ctx)
			searching := now.Sub(started) < searchFor || d.alone()
			readAt = now.Add(jittered(listInterval(rows, searching)))
		}
		if !ok && !down && ctx.Err() == nil {
			telemetry.Log(d.log, telemetry.EventListUnavailable)
		}
		down = !ok
		select {
		case <-ctx.Done():
			return
		case <-time.After(d.renewPause()):
		}
	}
}

// alone says whether the instance knows no other in its zone.
func (d *Daemon) alone() bool {
	view := d.loop.View()
	own, _ := view.Zone(d.self.Zone)
	return !view.Joined || len(own.Members) < 2
}

// joinPause is the time between two looks at the list until a peer has answered.
const joinPause = 300 * time.Millisecond

// renewPause is the time until the next round with the list.
func (d *Daemon) renewPause() time.Duration {
	if !d.loop.View().Joined {
		return joinPause
	}
	return platform.ListRenewInterval
}

// renew tells the list that the instance is there, or leaving.
func (d *Daemon) renew(ctx context.Context) bool {
	self := d.self
	self.Leaving = d.loop.Status().Draining
	d.metrics.ListCall("renew")
	return d.list.Register(ctx, self) == nil
}

// readList reads the list and returns the number of its rows.
func (d *Daemon) readList(ctx context.Context) (int, bool) {
	d.metrics.ListCall("read")
	instances, err := d.list.List(ctx)
	if err != nil {
		return 0, false
	}
	d.listed.Store(&instances)
	d.loop.Post(node.PlatformList{Instances: instances})
	return len(instances), true
}

// platformClient returns an HTTP client towards the platform whose bytes are counted.
func (d *Daemon) platformClient(t telemetry.Traffic) *http.Client {
	return &http.Client{Transport: freshAfterFailure{&http.Transport{
		TLSClientConfig: d.certs.client(), MaxIdleConnsPerHost: platformConns, DialContext: t.DialContext,
	}}}
}

// freshAfterFailure takes what is open to the platform for silent after an
// exchange that failed, so that the next one dials.
type freshAfterFailure struct {
	next *http.Transport
}

// CloseIdleConnections closes what is open and idle.
func (f freshAfterFailure) CloseIdleConnections() { f.next.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (f freshAfterFailure) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := f.next.RoundTrip(r)
	if err != nil {
		f.next.CloseIdleConnections()
	}
	return res, err
}
