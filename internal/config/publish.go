package config

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// Errors of publishing that callers must tell apart.
var (
	// ErrNotPublished means that the change does not stand on the log.
	ErrNotPublished = errors.New("change was not published")
	// ErrUnknownOutcome means that the change may stand on the log. Publishing it
	// again with the same id settles it and never applies it twice.
	ErrUnknownOutcome = errors.New("change may have been published")
)

// MaxPublishAttempts is how often one change is appended at most.
const MaxPublishAttempts = 5

// Publisher puts changes on the log and finds out what became of them.
type Publisher struct {
	Log platform.Log
	// Follower is brought up to date by each call.
	Follower *Follower
	Now      func() time.Time
	// Backoff spaces the tries; nil for an exponential one.
	Backoff backoff.BackOff
}

// Publish appends the change and returns its outcome. An append whose answer
// was lost is settled by reading the log; if the change is not there, it is
// appended again under the same id, which is idempotent.
func (p *Publisher) Publish(ctx context.Context, c Change) (Outcome, error) {
	data, err := EncodeChange(c)
	if err != nil {
		return Outcome{}, trace.Wrap(err)
	}
	mayStand := false
	try := func() (Outcome, error) {
		_, err := p.Log.Append(ctx, Stream, data)
		mayStand = mayStand || !errors.Is(err, platform.ErrNotAppended)
		if !mayStand {
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
	case mayStand:
		return Outcome{}, trace.Wrap(errors.Join(ErrUnknownOutcome, err))
	default:
		return Outcome{}, trace.Wrap(errors.Join(ErrNotPublished, err))
	}
}

// backoff returns the spacing of tries.
func (p *Publisher) backoff() backoff.BackOff {
	if p.Backoff != nil {
		return p.Backoff
	}
	return backoff.NewExponentialBackOff()
}

// settle reads the log to its end and looks for what became of the change.
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

// Unchanged says whether the object asks for what stands already.
func (s State) Unchanged(o Object) bool {
	e := s.entry(o.Kind, o.Name)
	if o.Delete || e == nil || e.doc == nil {
		return o.Delete && (e == nil || e.doc == nil)
	}
	doc, err := decodeDocument(o.Kind, o.Name, o.Spec)
	return err == nil && sameDocument(doc, e.doc)
}

// History folds the log from its oldest changes on and returns the outcome of
// each. Where retention has passed the first changes, it begins after the
// newest snapshot.
func History(ctx context.Context, log platform.Log, now func() time.Time) ([]Outcome, State, error) {
	f := &Follower{phase: phaseFollow}
	out, err := f.Sync(ctx, log, now)
	return out, f.State(), trace.Wrap(err)
}
