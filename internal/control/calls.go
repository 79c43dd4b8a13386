package control

import (
	"context"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/membership"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/request"
)

// Post hands a message of package node to the control goroutine.
func (l *Loop) Post(msg any) {
	select {
	case l.inbox <- msg:
	case <-l.done:
	}
}

// Step runs one step of the steward on the control goroutine.
func (l *Loop) Step(f StewardStep) { l.Post(f) }

// Arrive hands a request in. Its directives come over the channel, the last
// one being DirectiveFinish.
func (l *Loop) Arrive(a request.Arrival) <-chan request.Directive {
	ch := make(chan request.Directive, directiveBuffer)
	l.Post(arrive{arrival: a, directives: ch})
	return ch
}

// Ended reports how a dispatch ended.
func (l *Loop) Ended(id entity.RequestID, end request.End) { l.Post(node.Ended{ID: id, End: end}) }

// Paused reports that an endpoint confirmed a pause.
func (l *Loop) Paused(id entity.RequestID) { l.Post(node.Paused{ID: id}) }

// CallerGone reports that a caller closed its connection.
func (l *Loop) CallerGone(id entity.RequestID) { l.Post(node.CallerGone{ID: id}) }

// Do runs f on the control goroutine and waits for it. It returns false when
// the control goroutine has ended or ctx ends first.
func (l *Loop) Do(ctx context.Context, f func(n *node.Node)) bool {
	q := ask{f: f, done: make(chan struct{})}
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

// View returns the members as the instance sees them.
func (l *Loop) View() membership.View { return *l.view.Load() }

// Status returns the state of the control goroutine.
func (l *Loop) Status() Status { return *l.status.Load() }
