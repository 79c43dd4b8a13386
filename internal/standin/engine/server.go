package engine

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/standin/engine/model"
	"github.com/medlarhold/medlarhold/internal/standin/serve"
)

// Settings describes a simulated engine.
type Settings struct {
	model.Settings
	// Keepalive is the time after which a stream without a new token sends a comment.
	Keepalive time.Duration `json:"keepalive_ns,omitempty"`
	// Retention is how long an ended stream can be attached to. A stream that has had no reader
	// for this time is cancelled.
	Retention time.Duration `json:"keep_ns,omitempty"`
	// Clock is the time by which the engine works; nil means time.Now. A test that holds it back
	// decides how far streams get.
	Clock func() time.Time `json:"-"`
	// Stalled, if set, is called when a connection begins to be stalled by CutStall, before the
	// engine stops sending on it.
	Stalled func() `json:"-"`
}

// Defaults of Settings.
const (
	DefaultKeepalive = time.Second
	DefaultRetention = 30 * time.Second
)

// Server is a simulated engine.
type Server struct {
	settings Settings
	mux      *http.ServeMux
	clock    func() time.Time
	wake     chan struct{}
	done     chan struct{}
	stopped  sync.WaitGroup
	peers    *endpoint.Client // for calls to other engines

	mu       sync.Mutex
	model    *model.Engine
	runs     map[entity.RequestID]*record // by run id
	streams  map[entity.RequestID]*record // by request id, the latest run of each
	journal  []*Entry
	changed  chan struct{} // closed when the journal changes
	faults   Faults
	unfrozen chan struct{}
	// connections is the number of connections that have carried streams so far, which is also the
	// number of the latest one. Those with numbers up to stalledUpTo are stalled.
	connections int
	stalledUpTo int
}

// New returns a simulated engine that runs until Close. It is an http.Handler.
func New(settings Settings) *Server {
	if settings.Clock == nil {
		settings.Clock = time.Now
	}
	if settings.Keepalive <= 0 {
		settings.Keepalive = DefaultKeepalive
	}
	if settings.Retention <= 0 {
		settings.Retention = DefaultRetention
	}
	s := &Server{
		settings: settings,
		clock:    settings.Clock,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		peers:    endpoint.New(endpoint.Options{}),
		model:    model.New(settings.Settings),
		runs:     map[entity.RequestID]*record{},
		streams:  map[entity.RequestID]*record{},
		changed:  make(chan struct{}),
	}
	s.mux = s.routes()
	s.stopped.Add(1)
	go s.run()
	return s
}

// Start returns a simulated engine that listens on address.
func Start(address string, settings Settings) (*Server, *serve.Server, error) {
	s := New(settings)
	l, err := serve.Listen(address, s)
	if err != nil {
		s.Close()
		return nil, nil, err
	}
	return s, l, nil
}

// Close stops the engine and all its streams.
func (s *Server) Close() {
	close(s.done)
	s.stopped.Wait()
	s.peers.Close()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// run advances the model by the clock until Close.
func (s *Server) run() {
	defer s.stopped.Done()
	sweep := time.NewTicker(s.settings.Retention / 4)
	defer sweep.Stop()
	for {
		timer := time.NewTimer(s.advance())
		select {
		case <-timer.C:
		case <-s.wake:
		case <-sweep.C:
			s.sweep()
		case <-s.done:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// idleSleep is how long the loop sleeps when nothing is due.
const idleSleep = time.Minute

// advance runs the iterations that are due and returns the time until the next one ends.
func (s *Server) advance() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.settle(now)
	if next, ok := s.model.Next(); ok {
		return next.Sub(now)
	}
	return idleSleep
}

// settle applies what the model has done by now to the records. The caller holds the lock.
func (s *Server) settle(now time.Time) {
	for _, ev := range s.model.Advance(now) {
		s.apply(ev)
	}
}

// wakeLoop makes the loop check again what is due.
func (s *Server) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// apply applies an event of the model to the record of its stream. The caller holds the lock.
func (s *Server) apply(ev model.Event) {
	r := s.runs[ev.ID]
	switch ev.Kind {
	case model.EventStarted:
		r.entry.Started = ev.At
		s.notify()
	case model.EventToken:
		r.tokens++
	case model.EventEnded:
		r.entry.Ended, r.entry.End = ev.At, ev.End
		if ev.End.FinishReason.Complete() {
			r.entry.Digest = Digest(r.answer.text(r.tokens))
		}
		r.end = &ev.End
		s.notify()
		r.lastActive = ev.At
	}
	r.notify()
}

// sweep cancels streams that have had no reader for the retention time, and removes ended ones
// whose end and last reader are at least that long ago.
func (s *Server) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for run, r := range s.runs {
		if r.readers > 0 || now.Sub(r.lastActive) < s.settings.Retention {
			continue
		}
		if r.end == nil {
			_, _ = s.model.Cancel(now, run) // the next pass of the loop processes its end
			r.lastActive = now
			continue
		}
		delete(s.runs, run)
		if s.streams[r.id] == r {
			delete(s.streams, r.id)
		}
	}
}

// nextRun returns the id of a new run of a request. A request that is dispatched again has several
// runs.
func (s *Server) nextRun(id entity.RequestID) entity.RequestID {
	return entity.RequestID(fmt.Sprintf("%s#%d", id, len(s.journal)))
}
