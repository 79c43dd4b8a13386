package caller

import (
	"context"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// job carries out the directives of one request. Each call of dispatch, pause,
// resume and cancel runs on a separate goroutine.
type job interface {
	// dispatch sends the request to the endpoint once and reports the end with Control.Ended.
	dispatch(ctx context.Context, e entity.Endpoint, d request.Directive)
	// pause, resume and cancel control the stream at the endpoint.
	pause(ctx context.Context, e entity.Endpoint)
	resume(ctx context.Context, e entity.Endpoint)
	cancel(ctx context.Context, e entity.Endpoint, d request.Directive)
	// finish writes the final answer to the caller.
	finish(d request.Directive)
}

// run submits a request to the control goroutine and carries out its directives
// until the final answer. If the caller closes its connection, run reports that
// and continues: the request still ends by a directive.
func (s *Server) run(ctx context.Context, a request.Arrival, j job, ident identity) {
	directives := s.opts.Control.Arrive(a)
	gone := ctx.Done()
	work := context.WithoutCancel(ctx)
	var current entity.Endpoint
	var controls controlQueue
	for {
		select {
		case <-gone:
			gone = nil
			s.opts.Control.CallerGone(a.Work.ID)
		case d := <-directives:
			if d.Kind == request.DirectiveFinish {
				s.recordFinish(a, d, ident, j)
				j.finish(d)
				return
			}
			current = s.carryOut(work, d, current, j, &controls)
		}
	}
}

// carryOut carries out one directive and returns the endpoint to which the request
// was dispatched last; current is the one before. Pause, resume and cancel use
// current, even if the configuration has changed since the dispatch.
func (s *Server) carryOut(ctx context.Context, d request.Directive, current entity.Endpoint, j job, controls *controlQueue) entity.Endpoint {
	switch d.Kind {
	case request.DirectiveDispatch:
		e, ok := s.opts.State().Endpoint(d.Endpoint)
		if !ok {
			s.opts.Control.Ended(d.ID, request.End{Err: &verdict.Error{Verdict: verdict.NotRun,
				Reason: verdict.ReasonNoEndpoint, Message: "the endpoint left the configuration"}})
			return current
		}
		current = *e
		if s.opts.Clock().After(d.NotAfter) {
			s.opts.Control.Ended(d.ID, request.End{Err: &verdict.Error{Verdict: verdict.NotRun,
				Reason: verdict.ReasonOwnerUnreachable, Message: "the grant of the slot was out of date"}, Release: entity.Release{Unused: true}})
			return current
		}
		go j.dispatch(ctx, current, d)
	case request.DirectivePause:
		controls.add(func() { j.pause(ctx, current) })
	case request.DirectiveResume:
		controls.add(func() { j.resume(ctx, current) })
	case request.DirectiveCancel:
		controls.add(func() { j.cancel(ctx, current, d) })
	case request.DirectiveFinish: // handled by run
	}
	return current
}

// recordFinish counts and logs the final answer.
func (s *Server) recordFinish(a request.Arrival, d request.Directive, ident identity, j job) {
	if d.Err != nil {
		s.opts.Metrics.Refused(d.Err.Reason, d.Err.Verdict)
		telemetry.Log(s.opts.Log, telemetry.EventRequestFinished, "request", a.Work.ID,
			"organisation", a.Work.Org, "verdict", d.Err.Verdict, "reason", d.Err.Reason)
		return
	}
	var tokens int64
	if e, ok := j.(*engineJob); ok {
		tokens = e.tokenCount()
	}
	s.opts.Metrics.Completed(ident.tierName, tokens)
	telemetry.Log(s.opts.Log, telemetry.EventRequestFinished, "request", a.Work.ID,
		"organisation", a.Work.Org, "verdict", "ran", "tokens", tokens)
}

// endpointFailed logs that an endpoint did not answer correctly.
func (s *Server) endpointFailed(id entity.RequestID, e entity.Endpoint, v *verdict.Error) {
	telemetry.Log(s.opts.Log, telemetry.EventEndpointFailed, "request", id, "endpoint", e.ID, "verdict", v.Verdict, "reason", v.Reason)
}
