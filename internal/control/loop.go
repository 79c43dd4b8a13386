package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/claim"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/membership"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/placement"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/core/steward"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

const (
	// inboxSize bounds the messages that wait for the control goroutine.
	inboxSize = 16384
	// directiveBuffer holds the directives of one request that its goroutine
	// has not taken yet; more than these never wait, since each asks for an answer.
	directiveBuffer = 8
	// batchSize bounds the messages handled between two looks at the clock.
	batchSize = 64
)

// Options of a Loop.
type Options struct {
	Node    *node.Node
	Steward *steward.Steward
	Clock   func() time.Time
	// Send passes a message to a peer, Forget closes the link to a dead one.
	Send       func(to entity.InstanceID, address string, msg any)
	RemovePeer func(id entity.InstanceID)
	// ClaimAppend and ClaimRead talk to the log service; they must not block.
	ClaimAppend func(node.ClaimAppend)
	ClaimRead   func(node.ClaimReadRequest)
	// LeaseAppend, LeaseRead and Order carry out the steward's part; they must not block.
	LeaseAppend func(steward.Append)
	LeaseRead   func(steward.Read)
	Order       func(placement.Order)
	// SetOwned is told which endpoints this instance owns.
	SetOwned func([]entity.Endpoint)
	Log      logr.Logger
	Metrics  *telemetry.Metrics
}

// Loop is the control goroutine with its inbox.
type Loop struct {
	opts    Options
	inbox   chan any
	done    chan struct{}
	waiting map[entity.RequestID]chan request.Directive
	state   atomic.Pointer[config.State]
	view    atomic.Pointer[membership.View]
	status  atomic.Pointer[Status]
}

// Status is what other goroutines may know of the control goroutine's state.
type Status struct {
	InFlight int
	Draining bool
}

// Messages that only the Loop handles.
type (
	// arrive carries a request with the channel for its directives.
	arrive struct {
		arrival    request.Arrival
		directives chan request.Directive
	}
	// ask runs a question on the control goroutine.
	ask struct {
		f    func(n *node.Node)
		done chan struct{}
	}
)

// New returns a Loop that is not running yet.
func New(opts Options) *Loop {
	l := &Loop{
		opts: opts, inbox: make(chan any, inboxSize), done: make(chan struct{}),
		waiting: make(map[entity.RequestID]chan request.Directive),
	}
	l.state.Store(&config.State{})
	view := opts.Node.View()
	l.view.Store(&view)
	l.status.Store(&Status{})
	return l
}

// Run is the control goroutine. It returns when ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	tick := time.NewTicker(node.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.timed(l.opts.Metrics.ControlNanoseconds, l.tick)
		case msg := <-l.inbox:
			l.handle(msg)
			l.handleWaiting()
		}
	}
}

// handleWaiting handles messages that are there already, up to a batch.
func (l *Loop) handleWaiting() {
	for range batchSize {
		select {
		case msg := <-l.inbox:
			l.handle(msg)
		default:
			return
		}
	}
}

func (l *Loop) handle(msg any) {
	switch m := msg.(type) {
	case arrive:
		l.waiting[m.arrival.Work.ID] = m.directives
		msg = node.Arrive{Arrival: m.arrival}
	case ask:
		m.f(l.opts.Node)
		close(m.done)
		return
	case StewardStep:
		l.timed(l.opts.Metrics.ControlNanoseconds, func(now time.Time) { m(now, l.opts.Steward) })
		return
	case node.FromPeer:
		if l.stewardMessage(m) {
			return
		}
	case node.Configured:
		l.opts.Steward.SetState(l.opts.Clock(), m.State)
		l.state.Store(&m.State)
		l.opts.Metrics.ConfigRevision.Update(int64(m.State.Revision()))
	}
	l.timed(l.counterFor(msg), func(now time.Time) { l.opts.Node.Step(now, msg) })
}

// timed steps the core, carries out what it decided, and accounts for the time.
func (l *Loop) timed(c interface{ Inc(int64) }, step func(now time.Time)) {
	start := l.opts.Clock()
	step(start)
	l.carryOut(l.opts.Node.Ready())
	l.carryOutSteward(l.opts.Steward.Ready())
	c.Inc(l.opts.Clock().Sub(start).Nanoseconds())
}

// counterFor tells the time that requests cause from the time of control.
func (l *Loop) counterFor(msg any) interface{ Inc(int64) } {
	switch m := msg.(type) {
	case node.Arrive, node.Ended, node.Paused, node.CallerGone:
		return l.opts.Metrics.RequestNanoseconds
	case node.FromPeer:
		switch m.Msg.(type) {
		case entity.Reservation, entity.Grant, entity.Refusal, entity.Preemption, entity.Release, node.Withdraw,
			claim.Proposal, claim.Outcome, claim.Decision, claim.Acknowledgement:
			return l.opts.Metrics.RequestNanoseconds
		}
	}
	return l.opts.Metrics.ControlNanoseconds
}

// carryOut hands out one batch.
func (l *Loop) carryOut(r node.Ready) {
	for _, m := range r.Peers {
		l.opts.Send(m.To, m.Address, m.Msg)
	}
	for _, d := range r.Directives {
		l.direct(d)
	}
	for _, a := range r.ClaimAppends {
		l.opts.ClaimAppend(a)
	}
	for _, q := range r.ClaimReads {
		l.opts.ClaimRead(q)
	}
	for _, t := range r.Retries {
		l.opts.Metrics.Retried(t.Reason)
		telemetry.Log(l.opts.Log, telemetry.EventRequestRetried, "request", t.ID, "reason", t.Reason)
	}
	if r.Owned != nil {
		l.opts.SetOwned(*r.Owned)
		telemetry.Log(l.opts.Log, telemetry.EventOwnershipChanged, "owned", len(*r.Owned))
	}
	if r.MembersChanged {
		l.membersChanged()
	}
	for _, id := range r.Dead {
		l.opts.RemovePeer(id)
	}
	l.publishStatus()
}

// publishStatus tells other goroutines what has changed.
func (l *Loop) publishStatus() {
	now := Status{InFlight: l.opts.Node.InFlight(), Draining: l.opts.Node.Draining()}
	if now != *l.status.Load() {
		l.status.Store(&now)
		l.opts.Metrics.InFlight.Update(int64(now.InFlight))
	}
}

// direct passes a directive to the goroutine of its request.
func (l *Loop) direct(d request.Directive) {
	ch, ok := l.waiting[d.ID]
	if !ok {
		return
	}
	if d.Kind == request.DirectiveFinish {
		delete(l.waiting, d.ID)
	}
	ch <- d
}

func (l *Loop) membersChanged() {
	view := l.opts.Node.View()
	l.view.Store(&view)
	l.opts.Steward.SetView(l.opts.Clock(), view)
	own, _ := view.Zone(view.Self.Zone)
	l.opts.Metrics.Members.Update(int64(len(own.Members)))
	telemetry.Log(l.opts.Log, telemetry.EventMembersChanged, "zone_members", len(own.Members), "version", view.Version)
}
