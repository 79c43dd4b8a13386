package fleet

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// callTimeout is how long a call to a plain service may take.
	callTimeout = 4 * time.Second
	// controlTimeout limits a pause, resume or cancel call to an engine.
	controlTimeout = 2 * time.Second
	// reattachDelay and maxReattachAttempts limit the attempts to reattach to a
	// stream whose connection was lost.
	reattachDelay       = 300 * time.Millisecond
	maxReattachAttempts = 8
	pauseRetryDelay     = 20 * time.Millisecond
	connectTimeout      = 2 * time.Second
)

// job executes the directives of one request, as the HTTP side towards callers does.
type job struct {
	in       *instance
	call     *call
	id       entity.RequestID
	endpoint entity.EndpointID
	abortErr *verdict.Error
	ended    bool
	answered bool
	digest   string
	// lastControlAt is when the latest pause, resume or cancel call takes effect.
	lastControlAt time.Time
}

func (j *job) execute(d request.Directive) {
	j.in.f.tracef("%s: request %s directive %d at %q err=%v", j.in.id, d.ID, d.Kind, d.Endpoint, d.Err)
	f := j.in.f
	switch d.Kind {
	case request.DirectiveDispatch:
		j.dispatch(d)
	case request.DirectivePause:
		j.pause(f.now.Add(controlTimeout))
	case request.DirectiveResume:
		failed := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonEndpointFailed}
		j.control(func(e *engine) {
			if !e.resume(j.id) {
				j.abort(failed)
			}
		}, func() { j.abort(failed) })
	case request.DirectiveCancel:
		j.abortErr = d.Err
		j.control(func(e *engine) {
			e.cancel(j.id)
			f.after(maxDelay, func() { j.abort(d.Err) })
		}, func() { j.abort(d.Err) })
	case request.DirectiveFinish:
		if d.Err == nil && d.Answer != nil && j.digest == "" {
			j.digest = string(d.Answer.Body)
		}
		j.answer(d.Err, j.digest)
	}
}

// pause pauses the stream. It repeats the call until the given time while the engine
// does not know the stream, because the dispatch may not have arrived yet.
func (j *job) pause(until time.Time) {
	f := j.in.f
	j.control(func(e *engine) {
		switch {
		case e.pause(j.id):
			f.after(f.between(minDelay, maxDelay), func() { j.in.post(node.Paused{ID: j.id}) })
		case !j.ended && f.now.Before(until):
			f.after(pauseRetryDelay, func() { j.in.do(func() { j.pause(until) }) })
		}
	}, func() {})
}

// dispatch sends the request to the endpoint once, and not after d.NotAfter.
func (j *job) dispatch(d request.Directive) {
	f := j.in.f
	j.endpoint, j.ended, j.abortErr = d.Endpoint, false, nil
	f.after(f.between(minDelay, maxDelay), func() {
		j.in.do(func() {
			if f.now.After(d.NotAfter) {
				j.end(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonOwnerUnreachable}, "")
				return
			}
			j.deliverTo(d.Endpoint)
		})
	})
}

func (j *job) deliverTo(id entity.EndpointID) {
	f := j.in.f
	f.markUninformed(j)
	if _, ok := j.in.follower.State().Endpoint(id); !ok {
		j.end(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonNoEndpoint}, "")
		return
	}
	e := f.endpoint(id)
	switch {
	case !e.reachableFrom(j.in):
		f.after(connectTimeout, func() {
			j.end(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonConnectionLost}, "")
		})
	case e.refusing > 0:
		j.end(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonEndpointRefused}, "")
	case f.services[id] != nil:
		f.services[id].call(j, func(digest string, err *verdict.Error) { j.end(err, digest) })
	default:
		if err := f.engines[id].submit(j); err != nil {
			j.end(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonEndpointRefused}, "")
			return
		}
		f.after(reattachDelay, func() { j.watchStream(f.engines[id], 0) })
	}
}

// watchStream ends the dispatch if its client can't reach the stream in more than
// maxReattachAttempts checks in a row.
func (j *job) watchStream(e *engine, lost int) {
	s := e.streams[j.id]
	if j.ended || s == nil || s.end != nil || j.in.state == stateDead {
		return
	}
	if e.reachableFrom(j.in) && e.dropping == 0 {
		lost = 0
	} else if lost++; lost > maxReattachAttempts {
		j.end(&verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}, "")
		return
	}
	j.in.f.after(reattachDelay, func() { j.watchStream(e, lost) })
}

// followEnd delivers the end of a stream to its client, over a new connection if
// necessary.
func (j *job) followEnd(e *engine, s *stream) { j.fetchEnd(e, s, 0) }

func (j *job) fetchEnd(e *engine, s *stream, attempts int) {
	f := j.in.f
	f.after(f.between(minDelay, maxDelay), func() {
		switch {
		case e.reachableFrom(j.in) && e.dropping == 0:
			if s.end.FinishReason.Complete() {
				j.end(nil, streamDigest(j.id, s.tokens))
				return
			}
			j.end(&verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonAnswerIncomplete}, "")
		case attempts >= maxReattachAttempts:
			j.end(&verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost}, "")
		default:
			f.after(reattachDelay, func() { j.fetchEnd(e, s, attempts+1) })
		}
	})
}

// control runs act at the engine of the stream, or failed after controlTimeout if
// the engine can't be reached or refuses calls. It does nothing for plain services,
// which have no such calls.
func (j *job) control(act func(*engine), failed func()) {
	f := j.in.f
	e := f.engines[j.endpoint]
	if e == nil {
		return
	}
	at := f.now.Add(f.between(minDelay, maxDelay))
	if !at.After(j.lastControlAt) {
		at = j.lastControlAt.Add(minDelay) // control calls of a stream keep their order
	}
	j.lastControlAt = at
	f.at(at, func() {
		switch {
		case j.in.state == stateDead:
		case e.reachableFrom(j.in) && e.refusing == 0:
			act(e)
		default:
			j.lastControlAt = f.now.Add(controlTimeout)
			f.after(controlTimeout, failed)
		}
	})
}

func (j *job) abort(err *verdict.Error) { j.end(err, "") }

// cancelStream cancels a stream that is no longer read, and reports whether the engine
// may still be running it.
func (j *job) cancelStream() bool {
	e := j.in.f.engines[j.endpoint]
	if e == nil || e.streams[j.id] == nil || e.streams[j.id].end != nil {
		return false
	}
	if !e.reachableFrom(j.in) || e.refusing > 0 {
		return true
	}
	e.cancel(j.id)
	return false
}

// end reports the end of the current dispatch to the core. Further calls for the
// same dispatch have no effect.
func (j *job) end(err *verdict.Error, digest string) {
	j.in.do(func() {
		if j.ended {
			return
		}
		j.ended = true
		if err != nil && j.abortErr != nil {
			err = j.abortErr
		}
		mayBeRunning := err != nil && j.cancelStream()
		end := request.End{Err: err, Release: entity.Release{TimeToFirstToken: time.Millisecond}}
		if e := j.in.f.engines[j.endpoint]; e != nil && e.streams[j.id] != nil && e.streams[j.id].end != nil {
			end.Release = e.streams[j.id].release()
		}
		end.Release.MayBeRunning = mayBeRunning
		if err != nil {
			end.Release.Failed = err.Reason != verdict.ReasonPreempted
		} else {
			j.digest = digest
			if j.call.key != "" {
				end.Answer = &request.Answer{Status: 200, Body: []byte(digest)}
			}
		}
		j.in.step(node.Ended{ID: j.id, End: end})
	})
}

// answer sends the caller its final answer.
func (j *job) answer(err *verdict.Error, digest string) {
	j.answered = true
	f := j.in.f
	delete(j.in.jobs, j.id)
	ev := history.Event{Kind: history.KindAnswer, Caller: j.call.caller, Request: j.id, Verdict: verdict.Ran}
	if err != nil {
		ev.Verdict, ev.Reason = err.Verdict, err.Reason
	} else {
		ev.Complete, ev.Digest = true, digest
	}
	if ev.Reason == verdict.ReasonOverload {
		f.record(f.shedEvent(j))
	}
	f.record(ev)
	f.outcomes[ev.Reason]++
	j.call.answered(err)
}
