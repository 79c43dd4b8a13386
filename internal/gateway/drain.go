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
	// requests, if the grace period is long enough. Later ones might not end within it.
	closeTime = 3 * time.Second
	// exitMargin is how long before the end of the grace period the instance exits.
	exitMargin = 400 * time.Millisecond
	// answerMargin is how long before its exit the instance answers the requests whose
	// endpoints have not responded.
	answerMargin = 200 * time.Millisecond
	// drainPoll is the time between two checks of the requests in flight.
	drainPoll = 20 * time.Millisecond
)

// stopSchedule lists the steps of a planned stop by the time since its start.
type stopSchedule struct {
	// closed is when the instance accepts no more requests.
	closed time.Duration
	// lastDispatch is when it passes no more requests to endpoints, and refuses those that
	// still wait: what is passed on later would probably be cut.
	lastDispatch time.Duration
	// lastAnswer is when it answers the callers whose endpoints have not responded.
	lastAnswer time.Duration
	// exit is when it cuts what still runs.
	exit time.Duration
}

// newStopSchedule returns the schedule for a grace period.
func newStopSchedule(grace time.Duration) stopSchedule {
	exit := max(0, grace-exitMargin)
	closed := min(closeTime, exit/2)
	lastAnswer := max(closed, exit-answerMargin)
	return stopSchedule{closed: closed, lastDispatch: (closed + lastAnswer) / 2, lastAnswer: lastAnswer, exit: exit}
}

// stopPhases are the two phases of a planned stop that end waits of requests. Each context ends when
// its phase begins.
type stopPhases struct {
	dispatching, answering       context.Context
	endDispatching, endAnswering context.CancelFunc
}

func newStopPhases() stopPhases {
	var p stopPhases
	p.dispatching, p.endDispatching = context.WithCancel(context.Background())
	p.answering, p.endAnswering = context.WithCancel(context.Background())
	return p
}

// drain performs the planned stop. The instance reports itself as not ready to the
// load balancer, asks callers in each response to close their connections, and waits
// for the requests in flight. The steps of newStopSchedule answer those that can't be
// served in time.
func (g *Instance) drain(ctx context.Context, servers []*server) {
	begun := time.Now()
	schedule := newStopSchedule(g.settings.GracePeriod)
	end := begun.Add(schedule.exit)
	g.leaving.Store(true)
	g.tunnels.StopOpening()
	g.control.post(ctx, leave{endsAt: end})
	telemetry.Log(g.log, telemetry.EventDrainBegin, "in_flight", g.edge.InFlight())
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for now := begun; now.Before(end) && ctx.Err() == nil; now = <-tick.C {
		g.advanceStop(schedule, now.Sub(begun))
		if now.Sub(begun) >= noticeTime && g.edge.InFlight() == 0 && g.tunnels.Open() == 0 {
			break
		}
	}
	g.advanceStop(schedule, schedule.exit)
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

// advanceStop takes the steps that are due at a time since the start of the stop.
func (g *Instance) advanceStop(s stopSchedule, since time.Duration) {
	if since >= s.closed {
		g.closed.Store(true)
	}
	if since >= s.lastDispatch {
		g.phases.endDispatching()
	}
	if since >= s.lastAnswer {
		g.phases.endAnswering()
	}
}
