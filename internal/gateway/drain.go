package gateway

import (
	"context"
	"time"

	"github.com/medlarhold/medlarhold/internal/telemetry"
)

const (
	// noticeTime is how long the load balancer may take to find the instance not
	// ready: two readiness checks one second apart, and a margin.
	noticeTime = 2500 * time.Millisecond
	// closeTime is how long after the start of the stop an instance still accepts
	// requests. Later ones might not end within the grace period.
	closeTime = 3 * time.Second
	// exitMargin is how long before the end of the grace period the instance exits.
	exitMargin = 400 * time.Millisecond
	// drainPoll is the time between two checks of the requests in flight.
	drainPoll = 20 * time.Millisecond
)

// drain performs the planned stop. The instance reports itself as not ready to the
// load balancer, asks callers in each response to close their connections, and waits
// for the requests in flight until exitMargin before the end of the grace period.
func (g *Instance) drain(ctx context.Context, servers []*server) {
	begun := time.Now()
	g.leaving.Store(true)
	g.tunnels.StopOpening()
	g.control.post(ctx, leave{})
	telemetry.Log(g.log, telemetry.EventDrainBegin, "in_flight", g.edge.InFlight())
	end := begun.Add(g.settings.GracePeriod - exitMargin)
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for now := begun; now.Before(end) && ctx.Err() == nil; now = <-tick.C {
		if now.Sub(begun) >= closeTime {
			g.closed.Store(true)
		}
		if now.Sub(begun) >= noticeTime && g.edge.InFlight() == 0 && g.tunnels.Open() == 0 {
			break
		}
	}
	g.closed.Store(true)
	if n := g.edge.InFlight(); n > 0 {
		telemetry.Log(g.log, telemetry.EventDrainTimeout, "in_flight", n)
		return
	}
	shutdown, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	// An error means that requests outlasted the grace period; Run closes their
	// connections.
	_ = servers[0].http.Shutdown(shutdown)
	telemetry.Log(g.log, telemetry.EventDrainEnd, "ms", time.Since(begun).Milliseconds())
}
