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

// pollLimit bounds the cache events of one answer.
const pollLimit = 1000

// endpointFake is what engines and plain services have in common.
type endpointFake struct {
	f                        *Fleet
	row                      entity.Endpoint
	refusing, dropping, slow int
}

// reachableFrom says whether an instance gets through to the endpoint.
func (e *endpointFake) reachableFrom(in *instance) bool { return e.f.net.reaches(in.zone, e.row.Zone) }

// engine is a model engine with the streams that its clients follow.
type engine struct {
	endpointFake
	model   *model.Engine
	streams map[entity.RequestID]*stream
	wakeAt  time.Time
}

// stream is one request at an engine, kept also after its end.
type stream struct {
	j       *job
	tokens  int
	end     *endpoint.End
	running bool
	// arrived, first and last are the times of the dispatch and of the tokens.
	arrived, first, last time.Time
}

// release is what the stream's client tells the owner of it.
func (s *stream) release() entity.Release {
	r := entity.Release{PrefillTokens: s.end.PrefillTokens, GeneratedTokens: s.tokens}
	if s.tokens > 0 {
		r.TimeToFirstToken, r.DecodeTime = s.first.Sub(s.arrived), s.last.Sub(s.first)
	}
	return r
}

// advance runs the engine's iterations and schedules the next look at it.
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
		e.recordRunEnd(s, ev.End.FinishReason.Whole())
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

func (e *engine) recordRunEnd(s *stream, whole bool) {
	if !s.running && !whole {
		return
	}
	s.running = false
	ev := e.f.endpointEvent(history.KindRunEnd, s.j.call, &e.row)
	ev.Complete = whole
	if whole {
		ev.Digest = streamDigest(s.j.id, s.tokens)
	}
	e.f.record(ev)
}

// submit takes a new request. The error says that it was refused on admission.
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

// pause answers true if the stream produces nothing more, as it also does
// after its end.
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

// estimateMargin is how far an owner's estimate of a running time may be off:
// it is learnt from streams that share the engine with others.
const estimateMargin = 1.3

// canFinishInTime says whether the engine could end the work by its deadline with
// nothing else to do, at the speed that it has now.
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

// call runs a request and answers with its digest. A service that drops
// connections has run the call all the same, or never sees it.
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
