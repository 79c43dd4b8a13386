package caller

import (
	"context"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// job carries out the directives of one request. The methods that talk to an
// endpoint run on goroutines of their own.
type job interface {
	// dispatch sends the request to the endpoint, once, and reports its end.
	dispatch(ctx context.Context, e entity.Endpoint, d request.Directive)
	// pause, resume and cancel act on the stream at the endpoint.
	pause(ctx context.Context, e entity.Endpoint)
	resume(ctx context.Context, e entity.Endpoint)
	cancel(ctx context.Context, e entity.Endpoint, d request.Directive)
	// finish gives the caller the final answer.
	finish(d request.Directive)
}

// run hands a request to the control goroutine and carries out its directives
// until the final answer. A caller that goes away doesn't end it: the request
// is ended by its directives like any other.
func (s *Server) run(ctx context.Context, a request.Arrival, j job, who identity) {
	directives := s.opts.Control.Arrive(a)
	gone := ctx.Done()
	work := context.WithoutCancel(ctx)
	var at entity.Endpoint
	var orders controls
	for {
		select {
		case <-gone:
			gone = nil
			s.opts.Control.CallerGone(a.Work.ID)
		case d := <-directives:
			if d.Kind == request.DirectiveFinish {
				s.account(a, d, who, j)
				j.finish(d)
				return
			}
			at = s.carryOut(work, d, at, j, &orders)
		}
	}
}

// carryOut acts on one directive and returns the endpoint that the request is
// at. Pause, resume and cancel go to where it was dispatched, also when the
// configuration has changed since.
func (s *Server) carryOut(ctx context.Context, d request.Directive, at entity.Endpoint, j job, orders *controls) entity.Endpoint {
	switch d.Kind {
	case request.DirectiveDispatch:
		e, ok := s.opts.State().Endpoint(d.Endpoint)
		if !ok {
			s.opts.Control.Ended(d.ID, request.End{Err: &verdict.Error{Verdict: verdict.NotRun,
				Reason: verdict.ReasonNoEndpoint, Message: "the endpoint left the configuration"}})
			return at
		}
		at = *e
		if s.opts.Clock().After(d.NotAfter) {
			s.opts.Control.Ended(d.ID, request.End{Err: &verdict.Error{Verdict: verdict.NotRun,
				Reason: verdict.ReasonOwnerUnreachable, Message: "the grant of the slot was out of date"}, Release: entity.Release{Unused: true}})
			return at
		}
		go j.dispatch(ctx, at, d)
	case request.DirectivePause:
		orders.add(func() { j.pause(ctx, at) })
	case request.DirectiveResume:
		orders.add(func() { j.resume(ctx, at) })
	case request.DirectiveCancel:
		orders.add(func() { j.cancel(ctx, at, d) })
	case request.DirectiveFinish: // handled by run
	}
	return at
}

// account counts the final answer.
func (s *Server) account(a request.Arrival, d request.Directive, who identity, j job) {
	if d.Err != nil {
		s.opts.Metrics.Refused(d.Err.Reason, d.Err.Verdict)
		telemetry.Log(s.opts.Log, telemetry.EventRequestFinished, "request", a.Work.ID,
			"organisation", a.Work.Org, "verdict", d.Err.Verdict, "reason", d.Err.Reason)
		return
	}
	var tokens int64
	if e, ok := j.(*engineJob); ok {
		tokens = e.count()
	}
	s.opts.Metrics.Completed(who.tierName, tokens)
	telemetry.Log(s.opts.Log, telemetry.EventRequestFinished, "request", a.Work.ID,
		"organisation", a.Work.Org, "verdict", "ran", "tokens", tokens)
}

// endpointFailed notes that an endpoint did not answer as it should.
func (s *Server) endpointFailed(id entity.RequestID, e entity.Endpoint, v *verdict.Error) {
	telemetry.Log(s.opts.Log, telemetry.EventEndpointFailed, "request", id, "endpoint", e.ID, "verdict", v.Verdict, "reason", v.Reason)
}
