package model

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// Engine is the state of one engine. It is not safe for concurrent use.
type Engine struct {
	settings Settings
	now      time.Time
	slow     float64
	frozen   bool
	streams  map[entity.RequestID]*stream
	waiting  []*stream // by arrival
	running  []*stream // by admission
	paused   []*stream // by time of pause
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

// Submit adds a request to the queue. It returns ErrDuplicate, ErrNotLoaded, ErrTooLong or ErrBusy
// if the engine refuses it.
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
	e.startIfIdle()
	return nil
}

// Pause removes a stream from the batch or the queue; it produces no token until it is resumed. It
// returns ErrUnknown if there is no such stream.
func (e *Engine) Pause(now time.Time, id entity.RequestID) (endpoint.StreamStatus, error) {
	e.advance(now)
	s := e.streams[id]
	if s == nil {
		return endpoint.StreamStatus{}, trace.Wrap(ErrUnknown)
	}
	if s.state != endpoint.StatePaused {
		e.detach(s)
		s.state = endpoint.StatePaused
		e.paused = append(e.paused, s)
		e.startIfIdle()
	}
	return s.status(), nil
}

// Resume appends a paused stream to the queue. It has no effect on a stream that is not paused, and
// returns ErrUnknown if there is no such stream.
func (e *Engine) Resume(now time.Time, id entity.RequestID) (endpoint.StreamStatus, error) {
	e.advance(now)
	s := e.streams[id]
	if s == nil {
		return endpoint.StreamStatus{}, trace.Wrap(ErrUnknown)
	}
	if s.state == endpoint.StatePaused {
		e.detach(s)
		s.state = endpoint.StateWaiting
		e.waiting = append(e.waiting, s)
		e.startIfIdle()
	}
	return s.status(), nil
}

// Cancel ends a stream and frees its slot and memory. It returns ErrUnknown if there is no such
// stream.
func (e *Engine) Cancel(now time.Time, id entity.RequestID) (endpoint.StreamStatus, error) {
	e.advance(now)
	s := e.streams[id]
	if s == nil {
		return endpoint.StreamStatus{}, trace.Wrap(ErrUnknown)
	}
	e.detach(s)
	e.end(s, endpoint.FinishCancelled)
	e.startIfIdle()
	return s.status(), nil
}

// Status returns the state of a stream, or ErrUnknown if there is no such stream.
func (e *Engine) Status(now time.Time, id entity.RequestID) (endpoint.StreamStatus, error) {
	e.advance(now)
	if s := e.streams[id]; s != nil {
		return s.status(), nil
	}
	return endpoint.StreamStatus{}, trace.Wrap(ErrUnknown)
}

// Advance runs all iterations that end by now and returns the events since the last call, in
// order.
func (e *Engine) Advance(now time.Time) []Event {
	e.advance(now)
	out := e.out
	e.out = nil
	return out
}

// Next returns the end of the running iteration; false if the engine is idle or frozen.
func (e *Engine) Next() (time.Time, bool) {
	if e.step == nil || e.frozen {
		return time.Time{}, false
	}
	return e.step.ends, true
}

// Freeze stops all work until Unfreeze.
func (e *Engine) Freeze(now time.Time) {
	e.advance(now)
	e.frozen = true
}

// Unfreeze continues the work that Freeze stopped. The running iteration ends later by the time
// that the engine was frozen.
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
	e.startIfIdle()
}

// SetSlowdown makes iterations take factor times as long, from the next one on.
func (e *Engine) SetSlowdown(factor float64) {
	e.slow = factor
}

// Stats returns the counts of the work done.
func (e *Engine) Stats() Stats {
	return e.stats
}

// Load returns the load report at now, which describes the load LoadLag ago.
func (e *Engine) Load(now time.Time) endpoint.Load {
	e.advance(now)
	l := e.reports.at(now.Add(-e.settings.LoadLag))
	l.CacheSeq = e.events.newestVisible(now)
	return l
}

// advance moves the time forward to now, iteration by iteration.
func (e *Engine) advance(now time.Time) {
	if e.frozen {
		return
	}
	for e.step != nil && !e.step.ends.After(now) {
		e.now = e.step.ends
		e.finishStep()
		e.startIfIdle()
	}
	if now.After(e.now) {
		e.now = now
	}
	e.catalog.advance(e.now)
}

// startIfIdle admits waiting streams and starts an iteration if none is running, and records the
// load.
func (e *Engine) startIfIdle() {
	if e.step == nil && !e.frozen {
		e.admit()
		e.startStep()
	}
	e.reports.record(endpoint.Load{
		Running:  len(e.running),
		Waiting:  len(e.waiting),
		KVTokens: e.cache.used() * e.settings.BlockTokens,
		AsOf:     e.now,
	}, e.settings.LoadLag)
}

// detach removes the stream from the queue, the batch or the paused streams, and from the running
// iteration.
func (e *Engine) detach(s *stream) {
	e.waiting = without(e.waiting, s)
	e.running = without(e.running, s)
	e.paused = without(e.paused, s)
	if e.step != nil {
		spent := e.step.remove(s)
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

// end closes a stream that has been detached, or removed from the batch.
func (e *Engine) end(s *stream, reason endpoint.FinishReason) {
	e.freeMemory(s)
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
