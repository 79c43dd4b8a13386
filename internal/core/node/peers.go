package node

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/claim"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/limit"
	"github.com/medlarhold/medlarhold/internal/core/membership"
)

// handlePeerMessage processes a message from an instance, which may be this one.
func (n *Node) handlePeerMessage(now time.Time, from entity.InstanceID, msg any) {
	switch m := msg.(type) {
	case membership.Message:
		n.members.Step(now, from, m)
	case entity.Reservation:
		m.From = from // a peer's own statement of its identity is not trusted
		n.owner.HandleReservation(now, m)
	case entity.Release:
		n.owner.HandleRelease(now, m)
	case Withdraw:
		n.owner.HandleWithdraw(now, m.ID, m.Seq)
	case HeldSlots:
		n.owner.HandleHeldSlots(now, heldSlots(from, m))
	case entity.Grant:
		n.entry.HandleGrant(now, from, m)
	case entity.Refusal:
		n.entry.HandleRefusal(now, from, m)
	case entity.Preemption:
		n.entry.HandlePreemption(now, from, m)
	case limit.Demand:
		n.limits.home.Step(now, from, m)
	case limit.Share:
		n.limits.borrower.Step(now, from, m)
	case claim.Proposal:
		m.From = from
		n.shard(claim.ShardOf(m.Org, m.Key)).HandleProposal(now, m)
	case claim.Outcome:
		m.From = from
		n.shard(claim.ShardOf(m.Org, m.Key)).HandleOutcome(now, m)
	case claim.Decision:
		n.handleDecision(now, m)
	case claim.Acknowledgement:
		delete(n.claims.tickets, m.Request)
	}
}

// sendFailed handles a message that was not delivered, or may not have been. Answers
// to reservations and messages that follow from a grant are sent again as long as
// the peer is a member. They carry the Seq of their reservation, so they do no harm
// if they arrive late or twice.
func (n *Node) sendFailed(now time.Time, to entity.InstanceID, msg any) {
	n.members.PeerFailed(now, to)
	switch m := msg.(type) {
	case entity.Reservation:
		n.entry.ReservationUndelivered(now, to, m.Work.ID, m.Seq)
	case entity.Grant, entity.Refusal, entity.Preemption, entity.Release, Withdraw, HeldSlots:
		n.unsent = append(n.unsent, undelivered{at: now.Add(n.settings.ResendAfter), to: to, msg: msg})
	}
}

// resend sends undelivered messages again that are due, and drops those to instances
// that are no longer members.
func (n *Node) resend(now time.Time) {
	kept := n.unsent[:0]
	for _, u := range n.unsent {
		switch {
		case now.Before(u.at):
			kept = append(kept, u)
		case n.isMember(u.to):
			n.send(u.to, u.msg)
		}
	}
	n.unsent = kept
}

func (n *Node) isMember(id entity.InstanceID) bool {
	_, ok := n.address[id]
	return ok
}

// flushOwner sends the messages of the owner side.
func (n *Node) flushOwner() {
	r := n.owner.Ready()
	for _, g := range r.Grants {
		n.send(g.To, g.Grant)
	}
	for _, f := range r.Refusals {
		n.send(f.To, f.Refusal)
	}
	for _, p := range r.Preemptions {
		n.send(p.To, p.Preemption)
	}
}

// flushEntry sends the messages of the entry side. Releases go first: they free slots
// for the reservations that follow.
func (n *Node) flushEntry(now time.Time) {
	r := n.entry.Ready()
	for _, rel := range r.Releases {
		n.send(rel.Owner, rel.Release)
	}
	for _, h := range r.HeldSlots {
		n.send(h.Owner, heldSlotsMessage(h.Slot.Endpoint, []entity.HeldSlot{h.Slot}))
	}
	for _, c := range r.Withdrawals {
		n.send(c.Owner, Withdraw{ID: c.ID, Seq: c.Seq})
	}
	for _, q := range r.Reservations {
		n.send(q.Owner, q.Reservation)
	}
	n.ready.Directives = append(n.ready.Directives, r.Directives...)
	for _, p := range r.Proposals {
		n.propose(now, p)
	}
	for _, x := range r.Settlements {
		n.settleClaim(now, x)
	}
	for _, f := range r.Finished {
		n.limits.borrower.Done(now, f.Work.Org)
	}
	n.ready.Retries = append(n.ready.Retries, r.Retries...)
	n.ready.Finished = append(n.ready.Finished, r.Finished...)
}
