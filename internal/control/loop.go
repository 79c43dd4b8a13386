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
	// inboxSize bounds the number of messages that wait for the control goroutine.
	inboxSize = 16384
	// directiveBuffer is the capacity of the channel for a request's
	// directives. It is never exceeded, because each directive requires a
	// response from the request's goroutine.
	directiveBuffer = 8
	// batchSize bounds the number of messages handled before the ticker is checked again.
	batchSize = 64
)

// Options configures a Loop.
type Options struct {
	Node    *node.Node
	Steward *steward.Steward
	Clock   func() time.Time
	// Send sends a message to a peer. RemovePeer closes the link to a dead peer.
	Send       func(to entity.InstanceID, address string, msg any)
	RemovePeer func(id entity.InstanceID)
	// ClaimAppend and ClaimRead start an append or read of a claim stream. They must not block.
	ClaimAppend func(node.ClaimAppend)
	ClaimRead   func(node.ClaimReadRequest)
	// LeaseAppend, LeaseRead and Order carry out the steward's decisions. They must not block.
	LeaseAppend func(steward.Append)
	LeaseRead   func(steward.Read)
	Order       func(placement.Order)
	// SetOwned is called with all endpoints that this instance owns, whenever these change.
	SetOwned func([]entity.Endpoint)
	Log      logr.Logger
	Metrics  *telemetry.Metrics
}

// Loop is the control goroutine with its inbox. Its exported methods are safe for
// concurrent use; state, view and status are copies published for them.
type Loop struct {
	opts       Options
	inbox      chan any
	done       chan struct{}
	directives map[entity.RequestID]chan request.Directive
	state      atomic.Pointer[config.State]
	view       atomic.Pointer[membership.View]
	status     atomic.Pointer[Status]
}

// Status is the part of the control goroutine's state that is published to other goroutines.
type Status struct {
	InFlight int
	Draining bool
}

// Messages that only the Loop handles.
type (
	// arrive submits a request with the channel for its directives.
	arrive struct {
		arrival    request.Arrival
		directives chan request.Directive
	}
	// doCall carries a function from Do to the control goroutine. done is closed after it has run.
	doCall struct {
		f    func(n *node.Node)
		done chan struct{}
	}
)

// New returns a Loop that is not running yet.
func New(opts Options) *Loop {
	l := &Loop{
		opts: opts, inbox: make(chan any, inboxSize), done: make(chan struct{}),
		directives: make(map[entity.RequestID]chan request.Directive),
	}
	l.state.Store(&config.State{})
	view := opts.Node.View()
	l.view.Store(&view)
	l.status.Store(&Status{})
	return l
}

// Run is the control goroutine. It returns when ctx ends and must be called once.
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
			l.handleBatch()
		}
	}
}

// handleBatch handles up to batchSize messages that are already in the inbox.
func (l *Loop) handleBatch() {
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
		l.directives[m.arrival.Work.ID] = m.directives
		msg = node.Arrive{Arrival: m.arrival}
	case doCall:
		m.f(l.opts.Node)
		close(m.done)
		return
	case StewardStep:
		l.timed(l.opts.Metrics.ControlNanoseconds, func(now time.Time) { m(now, l.opts.Steward) })
		return
	case node.FromPeer:
		if l.handleStewardMessage(m) {
			return
		}
	case node.Configured:
		l.opts.Steward.SetState(l.opts.Clock(), m.State)
		l.state.Store(&m.State)
		l.opts.Metrics.ConfigRevision.Update(int64(m.State.Revision()))
	}
	l.timed(l.counterFor(msg), func(now time.Time) { l.opts.Node.Step(now, msg) })
}

// timed runs step, carries out the resulting decisions, and adds the time taken to c.
func (l *Loop) timed(c interface{ Inc(int64) }, step func(now time.Time)) {
	start := l.opts.Clock()
	step(start)
	l.carryOut(l.opts.Node.Ready())
	l.carryOutSteward(l.opts.Steward.Ready())
	c.Inc(l.opts.Clock().Sub(start).Nanoseconds())
}

// counterFor returns the counter for the time that a message takes:
// RequestNanoseconds for messages that a request causes, ControlNanoseconds for all
// others.
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

// carryOut carries out the decisions of the core after one step.
func (l *Loop) carryOut(r node.Ready) {
	for _, m := range r.Peers {
		l.opts.Send(m.To, m.Address, m.Msg)
	}
	for _, d := range r.Directives {
		l.sendDirective(d)
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
	for _, id := range r.Lost {
		l.opts.RemovePeer(id)
	}
	l.publishStatus()
}

// publishStatus publishes the status to other goroutines if it has changed.
func (l *Loop) publishStatus() {
	now := Status{InFlight: l.opts.Node.InFlight(), Draining: l.opts.Node.Draining()}
	if now != *l.status.Load() {
		l.status.Store(&now)
		l.opts.Metrics.InFlight.Update(int64(now.InFlight))
	}
}

// sendDirective sends a directive to the goroutine of its request. Directives for
// unknown or finished requests are discarded.
func (l *Loop) sendDirective(d request.Directive) {
	ch, ok := l.directives[d.ID]
	if !ok {
		return
	}
	if d.Kind == request.DirectiveFinish {
		delete(l.directives, d.ID)
	}
	ch <- d
}

func (l *Loop) membersChanged() {
	view := l.opts.Node.View()
	l.view.Store(&view)
	l.opts.Steward.SetView(l.opts.Clock(), view)
	local, _ := view.Zone(view.Self.Zone)
	l.opts.Metrics.Members.Update(int64(len(local.Members)))
	telemetry.Log(l.opts.Log, telemetry.EventMembersChanged, "zone_members", len(local.Members), "version", view.Version)
}
