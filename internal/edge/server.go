package edge

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/intake"
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
	// Account has what is held for callers and all other clients of the process.
	Account *intake.Account
	// MaxConns is the number of callers' connections that may be open.
	MaxConns int
	// WriteTimeout is how long a caller may read nothing of what is written to it,
	// 0 for DefaultWriteTimeout.
	WriteTimeout time.Duration
}

// DefaultWriteTimeout is the default of Options.WriteTimeout.
const DefaultWriteTimeout = 5 * time.Second

// Server is the HTTP handler of transparent routes.
type Server struct {
	opts           Options
	account        *intake.Account
	inFlight       atomic.Int64
	callerTimeouts callerTimeoutTracker
}

// NewServer returns a Server.
func NewServer(o Options) *Server {
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	return &Server{opts: o, account: o.Account}
}

// InFlight returns the number of requests whose response is not complete.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	r.RequestURI = originForm(r.RequestURI)
	c := &call{server: s, w: w, r: r, arrivedAt: time.Now()}
	if s.opts.Scheduler.Leaving() {
		w.Header().Set("Connection", "close")
	}
	c.serve()
}

// originForm returns the path and query of a request target, which may name scheme and host as well.
func originForm(target string) string {
	_, rest, absolute := strings.Cut(target, "://")
	if !absolute || strings.HasPrefix(target, "/") {
		return target
	}
	if i := strings.IndexAny(rest, "/?"); i >= 0 {
		return "/" + strings.TrimPrefix(rest[i:], "/")
	}
	return "/"
}

// callerTimeoutVariation is the relative difference between the longest and the shortest
// time that callers of one route wait for a first attempt.
const callerTimeoutVariation = 0.17

// callerTimeoutTracker records, for each route, the longest time that callers were
// observed to wait. A caller that retries states only what is left of its time, so a
// time that is much shorter than the longest one marks a retry, and the difference
// is the time since the first attempt.
type callerTimeoutTracker struct {
	mu         sync.Mutex
	maxByRoute map[string]time.Duration
}

// sinceFirstAttempt estimates how long ago the caller's first attempt was. It returns
// 0 if this is the first attempt.
func (t *callerTimeoutTracker) sinceFirstAttempt(route *catalog.Route, remaining time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maxByRoute == nil {
		t.maxByRoute = make(map[string]time.Duration)
	}
	if remaining > t.maxByRoute[route.Name] {
		t.maxByRoute[route.Name] = remaining
	}
	longest := float64(t.maxByRoute[route.Name])
	if float64(remaining) >= (1-callerTimeoutVariation)*longest {
		return 0
	}
	return time.Duration((1-callerTimeoutVariation/2)*longest) - remaining
}
