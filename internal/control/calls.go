package control

import (
	"context"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/membership"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/request"
)

// Post sends a message of package node to the control goroutine. It blocks while
// the inbox is full; after the end of Run the message is discarded.
func (l *Loop) Post(msg any) {
	select {
	case l.inbox <- msg:
	case <-l.done:
	}
}

// Step queues one step of the steward to run on the control goroutine. It does not wait for the step.
func (l *Loop) Step(f StewardStep) { l.Post(f) }

// Arrive submits a new request. The returned channel delivers its directives, of
// which the last one is DirectiveFinish.
func (l *Loop) Arrive(a request.Arrival) <-chan request.Directive {
	ch := make(chan request.Directive, directiveBuffer)
	l.Post(arrive{arrival: a, directives: ch})
	return ch
}

// Ended reports the end of a dispatch and its result.
func (l *Loop) Ended(id entity.RequestID, end request.End) { l.Post(node.Ended{ID: id, End: end}) }

// Paused reports that an endpoint has confirmed a pause.
func (l *Loop) Paused(id entity.RequestID) { l.Post(node.Paused{ID: id}) }

// CallerGone reports that a caller has closed its connection.
func (l *Loop) CallerGone(id entity.RequestID) { l.Post(node.CallerGone{ID: id}) }

// Do runs f on the control goroutine and waits for it to return. It returns false
// if the control goroutine or ctx ends first; in the latter case f may still run.
func (l *Loop) Do(ctx context.Context, f func(n *node.Node)) bool {
	q := doCall{f: f, done: make(chan struct{})}
	select {
	case l.inbox <- q:
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-q.done:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// State returns the configuration in force.
func (l *Loop) State() config.State { return *l.state.Load() }

// View returns the members that the instance knows.
func (l *Loop) View() membership.View { return *l.view.Load() }

// Status returns the published status of the control goroutine.
func (l *Loop) Status() Status { return *l.status.Load() }
