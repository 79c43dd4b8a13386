package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/standin/engine/model"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// pollLimit is the maximum number of cache events per poll.
const pollLimit = 1000

// endpointFake is the common part of engines and plain services. The counters hold
// the number of faults of each kind in force.
type endpointFake struct {
	f                        *Fleet
	row                      entity.Endpoint
	refusing, dropping, slow int
}

// reachableFrom reports whether an instance can reach the endpoint.
func (e *endpointFake) reachableFrom(in *instance) bool { return e.f.net.reaches(in.zone, e.row.Zone) }

// engine is a model engine with the streams of its requests.
type engine struct {
	endpointFake
	model   *model.Engine
	streams map[entity.RequestID]*stream
	wakeAt  time.Time
}

// stream is one request at an engine. It is kept after its end.
type stream struct {
	j       *job
	tokens  int
	end     *endpoint.End
	running bool
	// arrived is the time of the dispatch, first and last those of the first and
	// the latest token.
	arrived, first, last time.Time
}

// release returns the release that the entry sends to the owner after the end.
func (s *stream) release() entity.Release {
	r := entity.Release{PrefillTokens: s.end.PrefillTokens, GeneratedTokens: s.tokens}
	if s.tokens > 0 {
		r.TimeToFirstToken, r.DecodeTime = s.first.Sub(s.arrived), s.last.Sub(s.first)
	}
	return r
}

// advance runs the engine's iterations up to now and schedules the next call of
// advance.
func (e *engine) advance() {
	for _, ev := range e.model.Advance(e.f.now) {
		e.handleEvent(ev)
	}
	next, ok := e.model.Next()
	if !ok || (next.Equal(e.wakeAt) && e.wakeAt.After(e.f.now)) {
		return
	}
	e.wakeAt = next
	e.f.at(next, func() {
		if e.wakeAt.Equal(next) {
			e.advance()
		}
	})
}

func (e *engine) handleEvent(ev model.Event) {
	s := e.streams[ev.ID]
	switch ev.Kind {
	case model.EventStarted:
		e.recordRunStart(s)
	case model.EventToken:
		if s.tokens++; s.tokens == 1 {
			s.first = ev.At
		}
		s.last = ev.At
	case model.EventEnded:
		s.end = &ev.End
		e.recordRunEnd(s, ev.End.FinishReason.Complete())
		s.j.followEnd(e, s)
	}
}

func (e *engine) recordRunStart(s *stream) {
	if s.running {
		return
	}
	s.running = true
	e.f.record(e.f.endpointEvent(history.KindRunStart, s.j.call, &e.row))
}

func (e *engine) recordRunEnd(s *stream, complete bool) {
	if !s.running && !complete {
		return
	}
	s.running = false
	ev := e.f.endpointEvent(history.KindRunEnd, s.j.call, &e.row)
	ev.Complete = complete
	if complete {
		ev.Digest = streamDigest(s.j.id, s.tokens)
	}
	e.f.record(ev)
}

// submit dispatches a new request to the engine. An error means that the engine
// refused it on admission.
func (e *engine) submit(j *job) error {
	w := &j.call.work
	e.f.record(e.f.endpointEvent(history.KindDispatch, j.call, &e.row))
	err := e.model.Submit(e.f.now, model.Request{ID: j.id, Model: w.Model, Prefix: w.Prefix,
		PromptTokens: w.PromptTokens, MaxTokens: w.MaxTokens, OutputTokens: j.call.output})
	if err == nil {
		e.streams[j.id] = &stream{j: j, arrived: e.f.now}
	}
	e.advance()
	return err
}

// pause pauses a stream, and reports whether the stream produces no more tokens. That
// is also the case after its end.
func (e *engine) pause(id entity.RequestID) bool {
	s := e.streams[id]
	if s == nil {
		return false
	}
	e.advance()
	if s.end == nil {
		if _, err := e.model.Pause(e.f.now, id); err != nil {
			return false
		}
		e.recordRunEnd(s, false)
	}
	e.advance()
	return true
}

// estimateMargin is the factor by which an owner may overestimate a running time,
// because it learns speeds from streams that share the engine with others.
const estimateMargin = 1.3

// canFinishInTime reports whether the engine, at its present speed and without other
// work, could complete the work by its deadline even if it took estimateMargin times as
// long.
func (e *engine) canFinishInTime(w *entity.Work) bool {
	took := estimateMargin * (float64(w.PromptTokens)/prefillRate + float64(w.MaxTokens)/decodeRate)
	if e.slow > 0 {
		took *= slowFactor
	}
	return !e.f.now.Add(time.Duration(took * float64(time.Second))).After(w.Deadline)
}

func (e *engine) resume(id entity.RequestID) bool {
	s := e.streams[id]
	if s == nil {
		return false
	}
	e.advance()
	if s.end == nil {
		if _, err := e.model.Resume(e.f.now, id); err != nil {
			return false
		}
		e.recordRunStart(s)
	}
	e.advance()
	return true
}

func (e *engine) cancel(id entity.RequestID) {
	e.advance()
	if _, err := e.model.Cancel(e.f.now, id); err != nil && !errors.Is(err, model.ErrUnknown) {
		panic(err)
	}
	e.advance()
}

func streamDigest(id entity.RequestID, tokens int) string { return fmt.Sprintf("%s:%d", id, tokens) }

// service is a plain service.
type service struct {
	endpointFake
	runs int
}

// call runs a request and passes its digest to done. A call to a service that drops
// connections has either run or never arrived; its caller can't tell which.
func (s *service) call(j *job, done func(digest string, err *verdict.Error)) {
	if s.dropping > 0 && s.f.chance(0.5) {
		s.f.after(s.f.between(time.Millisecond, callTimeout), func() { done("", connectionLost()) })
		return
	}
	s.f.record(s.f.endpointEvent(history.KindDispatch, j.call, &s.row))
	s.f.record(s.f.endpointEvent(history.KindRunStart, j.call, &s.row))
	s.runs++
	digest := fmt.Sprintf("%s run %d at %s", j.id, s.runs, s.row.ID)
	took := s.f.between(20*time.Millisecond, 300*time.Millisecond)
	if s.slow > 0 {
		took = s.f.between(200*time.Millisecond, 3*time.Second)
	}
	s.f.after(took, func() {
		ev := s.f.endpointEvent(history.KindRunEnd, j.call, &s.row)
		ev.Complete, ev.Digest = true, digest
		s.f.record(ev)
		if s.dropping > 0 || !s.reachableFrom(j.in) {
			s.f.after(callTimeout, func() { done("", connectionLost()) })
			return
		}
		done(digest, nil)
	})
}

func connectionLost() *verdict.Error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnectionLost, Message: "the call's connection was lost"}
}

func cacheEvent(id entity.EndpointID, ev endpoint.CacheEvent) entity.CacheEvent {
	return entity.CacheEvent{Endpoint: id, Seq: ev.Seq,
		Stored: endpoint.FromWire(ev.Stored), Evicted: endpoint.FromWire(ev.Evicted), Cleared: ev.Cleared}
}
