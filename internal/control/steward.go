package control

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/placement"
	"github.com/medlarhold/medlarhold/internal/core/steward"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// StewardStep is one step of the steward. It runs on the control goroutine.
type StewardStep func(now time.Time, s *steward.Steward)

// tick advances the time of the core and the steward, and gives the steward the
// local demand if its demand report is due.
func (l *Loop) tick(now time.Time) {
	l.opts.Node.Tick(now)
	if l.opts.Steward.DemandDue(now) {
		l.opts.Steward.SetLocalDemand(l.opts.Node.InFlightByModel())
	}
	l.opts.Steward.Tick(now)
}

// handleStewardMessage processes a peer's message to the steward. It reports
// whether the message was one.
func (l *Loop) handleStewardMessage(m node.FromPeer) bool {
	switch msg := m.Msg.(type) {
	case steward.Demand:
		l.opts.Steward.HandleDemand(l.opts.Clock(), m.From, msg)
	case placement.Report:
		l.opts.Steward.HandleReport(l.opts.Clock(), msg)
	default:
		return false
	}
	return true
}

// carryOutSteward carries out the decisions of the steward after one step.
func (l *Loop) carryOutSteward(r steward.Ready) {
	for _, a := range r.Appends {
		l.opts.LeaseAppend(a)
	}
	for _, q := range r.Reads {
		l.opts.LeaseRead(q)
	}
	for _, o := range r.Orders {
		l.opts.Order(o)
	}
	for _, d := range r.Demands {
		l.sendToCandidate(d.To, d.Demand)
	}
	for _, p := range r.Reports {
		l.sendToCandidate(p.To, p.Report)
	}
	for _, name := range r.Won {
		telemetry.Log(l.opts.Log, telemetry.EventLeaseAcquired, "lease", name)
	}
	for _, name := range r.Lost {
		telemetry.Log(l.opts.Log, telemetry.EventLeaseLost, "lease", name)
	}
}

// sendToCandidate sends a message to a lease candidate, which may be this instance.
func (l *Loop) sendToCandidate(to entity.InstanceID, msg any) {
	view := l.View()
	if to == view.Self.ID {
		l.handleStewardMessage(node.FromPeer{From: to, Msg: msg})
		return
	}
	for _, z := range view.Zones {
		for _, m := range z.Members {
			if m.ID == to {
				l.opts.Send(to, m.PeerAddress, msg)
				return
			}
		}
	}
}
