package config

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// Errors of Publish, to be tested with errors.Is.
var (
	// ErrNotPublished means that the change was not appended to the log.
	ErrNotPublished = errors.New("change was not published")
	// ErrUnknownOutcome means that the change may have been appended to the
	// log. Publish it again with the same id to learn the outcome; it is never
	// applied twice.
	ErrUnknownOutcome = errors.New("change may have been published")
)

// MaxPublishAttempts is the maximum number of appends of one change.
const MaxPublishAttempts = 5

// Publisher appends changes to the log and determines their outcomes. It is
// not safe for concurrent use.
type Publisher struct {
	Log platform.Log
	// Follower is brought up to date by each call.
	Follower *Follower
	Now      func() time.Time
	// Backoff gives the pauses between attempts; nil for an exponential backoff.
	Backoff backoff.BackOff
}

// Publish appends the change and returns its outcome. If the response to an
// append is lost, Publish reads the log to find the change; if it is not there,
// Publish appends it again with the same id, which is idempotent. The error is
// ErrNotPublished or ErrUnknownOutcome.
func (p *Publisher) Publish(ctx context.Context, c Change) (Outcome, error) {
	data, err := EncodeChange(c)
	if err != nil {
		return Outcome{}, trace.Wrap(err)
	}
	maybeAppended := false
	try := func() (Outcome, error) {
		_, err := p.Log.Append(ctx, Stream, data)
		maybeAppended = maybeAppended || !errors.Is(err, platform.ErrNotAppended)
		if !maybeAppended {
			return Outcome{}, err
		}
		out, found, syncErr := p.settle(ctx, c)
		if found {
			return out, nil
		}
		return Outcome{}, errors.Join(err, syncErr)
	}
	out, err := backoff.Retry(ctx, try, backoff.WithMaxTries(MaxPublishAttempts), backoff.WithBackOff(p.backoff()))
	switch {
	case err == nil:
		return out, nil
	case maybeAppended:
		return Outcome{}, trace.Wrap(errors.Join(ErrUnknownOutcome, err))
	default:
		return Outcome{}, trace.Wrap(errors.Join(ErrNotPublished, err))
	}
}

// backoff returns the backoff between attempts.
func (p *Publisher) backoff() backoff.BackOff {
	if p.Backoff != nil {
		return p.Backoff
	}
	return backoff.NewExponentialBackOff()
}

// settle reads the log to its end and returns the outcome of the change if the
// log holds the change.
func (p *Publisher) settle(ctx context.Context, c Change) (Outcome, bool, error) {
	outcomes, err := p.Follower.Sync(ctx, p.Log, p.Now)
	for _, out := range outcomes {
		if out.ChangeID == c.ID {
			return out, true, nil
		}
	}
	if st := p.Follower.State().ObjectState(c.Kind, c.Name); st.ChangeID == c.ID {
		return Outcome{Result: ResultApplied, ChangeID: c.ID, Operator: st.Operator, At: st.At, Delete: st.Deleted, Current: st}, true, nil
	}
	return Outcome{}, false, err
}

// Unchanged reports whether publishing the object would not change the state.
func (s State) Unchanged(o Object) bool {
	e := s.entry(o.Kind, o.Name)
	if o.Delete || e == nil || e.doc == nil {
		return o.Delete && (e == nil || e.doc == nil)
	}
	doc, err := decodeDocument(o.Kind, o.Name, o.Spec)
	return err == nil && sameDocument(doc, e.doc)
}

// History applies all changes of the log, from the oldest, and returns their
// outcomes and the resulting state. If the log has dropped the first changes
// because of its retention, History begins after the newest snapshot.
func History(ctx context.Context, log platform.Log, now func() time.Time) ([]Outcome, State, error) {
	f := &Follower{phase: phaseFollow}
	out, err := f.Sync(ctx, log, now)
	return out, f.State(), trace.Wrap(err)
}
