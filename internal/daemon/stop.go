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

// stop is the planned stop. The instance first says that it is leaving, to
// peers, platform and balancer, and still serves what comes for the notice
// period; then it takes no new connection and waits for what is in flight.
func (d *Daemon) stop(ctx context.Context, callers *http.Server) error {
	telemetry.Log(d.log, telemetry.EventDrainBegin, "in_flight", d.loop.Status().InFlight)
	d.loop.Post(node.Drain{Notice: d.settings.Stop.Notice()})
	d.step(func(now time.Time, s *steward.Steward) { s.Resign(now) })
	d.loop.Do(ctx, func(*node.Node) {}) // from here on the status says so
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
	if !d.settle(wait) {
		telemetry.Log(d.log, telemetry.EventDrainTimeout, "in_flight", d.loop.Status().InFlight)
		return trace.LimitExceeded("outcomes were not recorded after %v", d.settings.Stop.Timeout())
	}
	d.deregister(ctx)
	telemetry.Log(d.log, telemetry.EventDrainEnd)
	return nil
}

// settlePause is the time between two looks of settle.
const settlePause = 20 * time.Millisecond

// settle waits until the outcomes of all requests stand in the log, or are
// given up.
func (d *Daemon) settle(ctx context.Context) bool {
	for d.loop.Status().InFlight > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(settlePause):
		}
	}
	return true
}

func (d *Daemon) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*peerExchangeTimeout)
	defer cancel()
	// An instance that could not take itself off is taken off by its age.
	_ = d.list.Deregister(ctx, d.self.ID)
}
