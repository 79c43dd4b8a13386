package model

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// Engine is the state of one engine. It is not safe for use by several goroutines.
type Engine struct {
	settings Settings
	now      time.Time
	slow     float64
	frozen   bool
	streams  map[entity.RequestID]*stream
	waiting  []*stream // by arrival
	running  []*stream // by admission
	paused   []*stream // by the time of the pause
	cache    *cache
	step     *iteration
	out      []Event
	stats    Stats
	reports  reports
	events   eventLog
	catalog  catalog
}

// New returns an idle engine.
func New(s Settings) *Engine {
	s = s.withDefaults()
	return &Engine{
		settings: s,
		slow:     1,
		streams:  map[entity.RequestID]*stream{},
		cache:    newCache(s.KVTokens / s.BlockTokens),
		events:   newEventLog(s),
		catalog:  newCatalog(s),
	}
}

// Submit takes a request into the queue.
func (e *Engine) Submit(now time.Time, r Request) error {
	e.advance(now)
	switch {
	case e.streams[r.ID] != nil:
		return trace.Wrap(ErrDuplicate)
	case !e.catalog.serves(r.Model, r.Adapter):
		return trace.Wrap(ErrNotLoaded)
	case r.MaxTokens <= 0 || r.blocks(e.settings.BlockTokens) > e.cache.total:
		return trace.Wrap(ErrTooLong)
	case len(e.waiting) >= e.settings.MaxWaiting:
		return trace.Wrap(ErrBusy)
	}
	s := newStream(r)
	e.streams[r.ID] = s
	e.waiting = append(e.waiting, s)
	e.settle()
	return nil
}

// Pause takes a stream out of the batch or the queue. It produces no token
// until it is resumed.
func (e *Engine) Pause(now time.Time, id entity.RequestID) (endpoint.StreamStatus, error) {
	e.advance(now)
	s := e.streams[id]
	if s == nil {
		return endpoint.StreamStatus{}, trace.Wrap(ErrUnknown)
	}
	if s.state != endpoint.StatePaused {
		e.takeOut(s)
		s.state = endpoint.StatePaused
		e.paused = append(e.paused, s)
		e.settle()
	}
	return s.status(), nil
}

// Resume puts a paused stream at the end of the queue.
func (e *Engine) Resume(now time.Time, id entity.RequestID) (endpoint.StreamStatus, error) {
	e.advance(now)
	s := e.streams[id]
	if s == nil {
		return endpoint.StreamStatus{}, trace.Wrap(ErrUnknown)
	}
	if s.state == endpoint.StatePaused {
		e.takeOut(s)
		s.state = endpoint.StateWaiting
		e.waiting = append(e.waiting, s)
		e.settle()
	}
	return s.status(), nil
}

// Cancel ends a stream and frees its slot and memory.
func (e *Engine) Cancel(now time.Time, id entity.RequestID) (endpoint.StreamStatus, error) {
	e.advance(now)
	s := e.streams[id]
	if s == nil {
		return endpoint.StreamStatus{}, trace.Wrap(ErrUnknown)
	}
	e.takeOut(s)
	e.end(s, endpoint.FinishCancelled)
	e.settle()
	return s.status(), nil
}

// Status says where a stream stands.
func (e *Engine) Status(now time.Time, id entity.RequestID) (endpoint.StreamStatus, error) {
	e.advance(now)
	if s := e.streams[id]; s != nil {
		return s.status(), nil
	}
	return endpoint.StreamStatus{}, trace.Wrap(ErrUnknown)
}

// Advance runs all iterations that end by now and returns what happened since
// the last call.
func (e *Engine) Advance(now time.Time) []Event {
	e.advance(now)
	out := e.out
	e.out = nil
	return out
}

// Next says when the running iteration ends; false when the engine is idle or frozen.
func (e *Engine) Next() (time.Time, bool) {
	if e.step == nil || e.frozen {
		return time.Time{}, false
	}
	return e.step.ends, true
}

// Freeze stops all work until Thaw.
func (e *Engine) Freeze(now time.Time) {
	e.advance(now)
	e.frozen = true
}

// Unfreeze lets work go on where Freeze stopped it.
func (e *Engine) Unfreeze(now time.Time) {
	if !e.frozen {
		return
	}
	frozenFor := now.Sub(e.now)
	e.frozen = false
	if e.step != nil {
		e.step.ends = e.step.ends.Add(frozenFor)
	}
	e.advance(now)
	e.settle()
}

// SetSlowdown makes the iterations from the next one on take factor times as long.
func (e *Engine) SetSlowdown(factor float64) {
	e.slow = factor
}

// Stats returns the counts of work done.
func (e *Engine) Stats() Stats {
	return e.stats
}

// Load returns the load report that the engine gives at now.
func (e *Engine) Load(now time.Time) endpoint.Load {
	e.advance(now)
	l := e.reports.at(now.Add(-e.settings.LoadLag))
	l.CacheSeq = e.events.newest(now)
	return l
}

// advance moves the time on, iteration by iteration.
func (e *Engine) advance(now time.Time) {
	if e.frozen {
		return
	}
	for e.step != nil && !e.step.ends.After(now) {
		e.now = e.step.ends
		e.finishStep()
		e.settle()
	}
	if now.After(e.now) {
		e.now = now
	}
	e.catalog.advance(e.now)
}

// settle starts an iteration if there is work and none is running, and notes the load.
func (e *Engine) settle() {
	if e.step == nil && !e.frozen {
		e.admit()
		e.startStep()
	}
	e.reports.note(endpoint.Load{
		Running:  len(e.running),
		Waiting:  len(e.waiting),
		KVTokens: e.cache.used() * e.settings.BlockTokens,
		AsOf:     e.now,
	}, e.settings.LoadLag)
}

// takeOut removes the stream from whichever list it stands in, and from the
// running iteration.
func (e *Engine) takeOut(s *stream) {
	e.waiting = without(e.waiting, s)
	e.running = without(e.running, s)
	e.paused = without(e.paused, s)
	if e.step != nil {
		spent := e.step.drop(s)
		s.prefilled += spent
		e.stats.PrefillTokens += int64(spent)
	}
}

func without(list []*stream, s *stream) []*stream {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// end closes a stream that stands in no list any more.
func (e *Engine) end(s *stream, reason endpoint.FinishReason) {
	e.letGo(s)
	s.state = endpoint.StateEnded
	delete(e.streams, s.req.ID)
	e.emit(Event{Kind: EventEnded, ID: s.req.ID, End: s.end(reason)})
}

func (e *Engine) emit(ev Event) {
	ev.At = e.now
	e.out = append(e.out, ev)
}

func (s *stream) status() endpoint.StreamStatus {
	return endpoint.StreamStatus{State: s.state, Tokens: s.generated}
}
