package claim

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Ticket is the entry instance's side of one proposal: it holds the one
// irrevocable step. Whatever messages are late, lost or repeated, a ticket
// either dispatches or ends as not run, never both.
type Ticket struct {
	state  ticketState
	first  time.Time // when the request was first proposed
	within time.Duration
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketWon
	ticketDispatched
	ticketEnded
)

// NewTicket starts a ticket for a proposal that is about to be sent.
func NewTicket(now time.Time) *Ticket { return &Ticket{first: now} }

// TicketAction says what the entry instance does after a Decision.
type TicketAction int

// What the entry instance may have to do.
const (
	// TicketIgnore: the decision changes nothing.
	TicketIgnore TicketAction = iota
	// TicketDispatch: the request may be dispatched; call Dispatch right before.
	TicketDispatch
	// TicketAnswer: answer the caller with the decision.
	TicketAnswer
	// TicketSettle: send an Outcome with NotRun, for the request holds its key
	// and was not and will not be dispatched.
	TicketSettle
)

// HandleDecision takes a decision in. A win may come several times.
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

// Dispatch is called at the last moment before the first byte goes to an
// endpoint. Only with true may it go. With false the request is over, and an
// Outcome with NotRun is to be sent.
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

// NotSent takes a dispatch back on proof that no byte reached an endpoint. The
// request may then be dispatched elsewhere.
func (t *Ticket) NotSent() {
	if t.state == ticketDispatched {
		t.state = ticketWon
	}
}

// GiveUp ends the request for the caller. It returns NotRun if it was never
// dispatched, and then it never will be: an Outcome with NotRun is to be sent.
func (t *Ticket) GiveUp() verdict.Verdict {
	if t.state == ticketDispatched {
		return verdict.MayHaveRun
	}
	t.state = ticketEnded
	return verdict.NotRun
}
