package edge

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/upstream"
)

// Options of a Server.
type Options struct {
	Scheduler   Scheduler
	HeaderCodec HeaderCodec
	Client      *upstream.Client
	Log         logr.Logger
	Metrics     *telemetry.Metrics
	// MaxBuffered bounds the bytes of bodies that are held at the same time.
	MaxBuffered int64
}

// Server is the callers' side of transparent routes.
type Server struct {
	opts     Options
	buffered atomic.Int64
	inFlight atomic.Int64
	patience    patienceTracker
}

// NewServer returns a Server.
func NewServer(o Options) *Server { return &Server{opts: o} }

// InFlight returns the number of requests without a whole answer.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP carries one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c := &call{server: s, w: w, r: r, arrivedAt: time.Now()}
	if s.opts.Scheduler.Leaving() {
		w.Header().Set("Connection", "close")
	}
	c.serve()
}

// patienceVariation is the share by which callers of one route differ in how long
// they wait.
const patienceVariation = 0.17

// patienceTracker remembers, by route, the longest time that callers have been
// seen to wait. A caller that names much less has tried before: what is missing
// tells how long ago.
type patienceTracker struct {
	mu      sync.Mutex
	maxByRoute map[string]time.Duration
}

// sinceFirstAttempt estimates how long ago the caller's first attempt was, 0 for a first one.
func (l *patienceTracker) sinceFirstAttempt(route *catalog.Route, remaining time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxByRoute == nil {
		l.maxByRoute = make(map[string]time.Duration)
	}
	if remaining > l.maxByRoute[route.Name] {
		l.maxByRoute[route.Name] = remaining
	}
	longest := float64(l.maxByRoute[route.Name])
	if float64(remaining) >= (1-patienceVariation)*longest {
		return 0
	}
	return time.Duration((1-patienceVariation/2)*longest) - remaining
}
