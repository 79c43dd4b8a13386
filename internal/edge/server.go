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
	waits    longestWaits
}

// NewServer returns a Server.
func NewServer(o Options) *Server { return &Server{opts: o} }

// InFlight returns the number of requests without a whole answer.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP carries one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c := &call{s: s, w: w, r: r, arrived: time.Now()}
	if s.opts.Scheduler.Leaving() {
		w.Header().Set("Connection", "close")
	}
	c.serve()
}

// patienceSpread is the share by which callers of one route differ in how long
// they wait.
const patienceSpread = 0.17

// longestWaits remembers, by route, the longest time that callers have been
// seen to wait. A caller that names much less has tried before: what is missing
// tells how long ago.
type longestWaits struct {
	mu      sync.Mutex
	byRoute map[string]time.Duration
}

// spent estimates how long ago the caller's first attempt was, 0 for a first one.
func (l *longestWaits) spent(route *catalog.Route, remaining time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byRoute == nil {
		l.byRoute = make(map[string]time.Duration)
	}
	if remaining > l.byRoute[route.Name] {
		l.byRoute[route.Name] = remaining
	}
	longest := float64(l.byRoute[route.Name])
	if float64(remaining) >= (1-patienceSpread)*longest {
		return 0
	}
	return time.Duration((1-patienceSpread/2)*longest) - remaining
}
