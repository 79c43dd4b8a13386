package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Ticket is the entry instance's state of one proposal. It guards the dispatch,
// which can't be undone: however messages are delayed, lost or repeated, a request
// is either dispatched or ends as not run, never both. A Ticket is not safe for
// concurrent use.
type Ticket struct {
	state  ticketState
	first  time.Time     // when the request was first proposed
	within time.Duration // how long after first the request may be dispatched
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketWon
	ticketDispatched
	ticketEnded
)

// NewTicket returns a ticket for a proposal that is about to be sent.
func NewTicket(now time.Time) *Ticket { return &Ticket{first: now} }

// TicketAction is what the entry instance has to do after a Decision.
type TicketAction int

// The actions.
const (
	// TicketIgnore: the decision changes nothing.
	TicketIgnore TicketAction = iota
	// TicketDispatch: the request may be dispatched; call Dispatch right before it is.
	TicketDispatch
	// TicketAnswer: answer the caller with the decision.
	TicketAnswer
	// TicketSettle: send an Outcome with NotRun, since the request holds its key
	// but has not been dispatched and won't be.
	TicketSettle
)

// HandleDecision processes a decision. A win may be received several times.
func (t *Ticket) HandleDecision(d Decision) TicketAction {
	switch {
	case t.state == ticketEnded && d.Won:
		return TicketSettle
	case t.state != ticketWaiting:
		return TicketIgnore
	case d.Won:
		t.state, t.within = ticketWon, d.DispatchWithin
		return TicketDispatch
	}
	t.state = ticketEnded
	return TicketAnswer
}

// Dispatch reports whether the request may be dispatched. It must be called right
// before the first byte is sent to an endpoint. If it returns false, nothing may be
// sent: the request is over, and the entry instance sends an Outcome with NotRun.
func (t *Ticket) Dispatch(now time.Time) bool {
	if t.state != ticketWon {
		return false
	}
	if !now.Before(t.first.Add(t.within)) {
		t.state = ticketEnded
		return false
	}
	t.state = ticketDispatched
	return true
}

// NotSent undoes a dispatch. It may be called only if it is proven that no byte
// reached an endpoint. The request may then be dispatched to another endpoint.
func (t *Ticket) NotSent() {
	if t.state == ticketDispatched {
		t.state = ticketWon
	}
}

// GiveUp ends the request without a result for the caller. It returns MayHaveRun if
// the request was dispatched. Else it returns NotRun and rules out any later
// dispatch; the entry instance then sends an Outcome with NotRun.
func (t *Ticket) GiveUp() verdict.Verdict {
	if t.state == ticketDispatched {
		return verdict.MayHaveRun
	}
	t.state = ticketEnded
	return verdict.NotRun
}
