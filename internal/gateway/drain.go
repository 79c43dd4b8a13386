package gateway

import (
	"context"
	"time"

	"github.com/medlarhold/medlarhold/internal/telemetry"
)

const (
	// noticeTime is how long the balancer may take to see that the instance is
	// not ready: two questions a second apart, and a margin.
	noticeTime = 2500 * time.Millisecond
	// closeTime is when a stopping instance takes no more requests, since they
	// might not end within the grace period.
	closeTime = 3 * time.Second
	// exitMargin is how long before the end of the grace period it exits.
	exitMargin = 400 * time.Millisecond
	// drainPoll is the time between two looks at what is still in flight.
	drainPoll = 20 * time.Millisecond
)

// drain is the planned stop: the balancer is told, callers are asked to leave
// with each answer, and what is in flight ends.
func (g *Instance) drain(ctx context.Context, servers []*server) {
	begun := time.Now()
	g.leaving.Store(true)
	g.control.post(ctx, leave{})
	telemetry.Log(g.log, telemetry.EventDrainBegin, "in_flight", g.edge.InFlight())
	end := begun.Add(g.settings.GracePeriod - exitMargin)
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for now := begun; now.Before(end) && ctx.Err() == nil; now = <-tick.C {
		if now.Sub(begun) >= closeTime {
			g.closed.Store(true)
		}
		if now.Sub(begun) >= noticeTime && g.edge.InFlight() == 0 {
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
	// What is still in flight at the end is cut off below and was logged.
	_ = servers[0].http.Shutdown(shutdown)
	telemetry.Log(g.log, telemetry.EventDrainEnd, "ms", time.Since(begun).Milliseconds())
}
