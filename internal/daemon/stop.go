package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/steward"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// stop performs the planned stop. The instance first announces to peers, platform
// and load balancer that it is leaving, and still serves new requests for the
// notice period. Then it accepts no more connections, waits for the requests in
// flight and deregisters. It returns an error if requests were still in flight, or
// outcomes not recorded, after the stop timeout.
func (d *Daemon) stop(ctx context.Context, callers *http.Server) error {
	telemetry.Log(d.log, telemetry.EventDrainBegin, "in_flight", d.loop.Status().InFlight)
	d.loop.Post(node.Drain{Notice: d.settings.Stop.Notice(), Timeout: d.settings.Stop.Timeout()})
	d.step(func(now time.Time, s *steward.Steward) { s.Resign(now) })
	d.loop.Do(ctx, func(*node.Node) {}) // returns once Status reports draining
	d.renew(ctx)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d.settings.Stop.Notice()):
	}
	wait, cancel := context.WithTimeout(ctx, d.settings.Stop.Timeout())
	defer cancel()
	if err := callers.Shutdown(wait); err != nil {
		telemetry.Log(d.log, telemetry.EventDrainTimeout, "in_flight", d.loop.Status().InFlight)
		return trace.LimitExceeded("requests were still in flight after %v", d.settings.Stop.Timeout())
	}
	if !d.waitForOutcomes(wait) {
		telemetry.Log(d.log, telemetry.EventDrainTimeout, "in_flight", d.loop.Status().InFlight)
		return trace.LimitExceeded("outcomes were not recorded after %v", d.settings.Stop.Timeout())
	}
	d.deregister(ctx)
	telemetry.Log(d.log, telemetry.EventDrainEnd)
	return nil
}

// outcomePollInterval is the time between two checks of waitForOutcomes.
const outcomePollInterval = 20 * time.Millisecond

// waitForOutcomes waits until the outcome of each request is recorded in the log
// or abandoned. It returns false if ctx ends first.
func (d *Daemon) waitForOutcomes(ctx context.Context) bool {
	for d.loop.Status().InFlight > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(outcomePollInterval):
		}
	}
	return true
}

func (d *Daemon) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*peerExchangeTimeout)
	defer cancel()
	// If this fails, the registration expires.
	_ = d.list.Deregister(ctx, d.self.ID)
}
