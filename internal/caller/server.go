package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// Control is the control goroutine as the callers' edge sees it.
type Control interface {
	// Arrive hands a request in. Its directives come over the channel, the last
	// one being DirectiveFinish.
	Arrive(a request.Arrival) <-chan request.Directive
	// Ended reports how a dispatch ended.
	Ended(id entity.RequestID, end request.End)
	// Paused reports that an endpoint confirmed a pause.
	Paused(id entity.RequestID)
	// CallerGone reports that the caller closed its connection.
	CallerGone(id entity.RequestID)
	// Status returns what the system knows about a request.
	Status(ctx context.Context, id entity.RequestID) (request.Status, bool)
	// Ready says whether the balancer should send requests here, and if not, why.
	Ready() (bool, string)
	// Serving says whether a request that has come may be served, and if not,
	// why. An instance that is leaving still serves what comes.
	Serving() (bool, string)
}

// Options of a Server.
type Options struct {
	Control Control
	// State returns the configuration in force.
	State func() config.State
	// Endpoints talks to the engines and plain services.
	Endpoints *endpoint.Client
	// NewID returns a fresh request id.
	NewID   func() entity.RequestID
	Clock   func() time.Time
	Log     logr.Logger
	Metrics *telemetry.Metrics
	// DefaultDeadline is given to requests that name none, MaxDeadline bounds all.
	DefaultDeadline, MaxDeadline time.Duration
	// MaxBodyBytes bounds bodies where the pool sets no bound.
	MaxBodyBytes int64
	// EngineBlockTokens is the length of the blocks in which engines cache
	// prompts, PrefixBlockTokens a multiple of it that owners compare by, and
	// MaxPrefixBlocks how many of the latter are told to them.
	EngineBlockTokens, PrefixBlockTokens, MaxPrefixBlocks int
	// WriteTimeout bounds how long a caller may take nothing of its answer.
	WriteTimeout time.Duration
}

// Server serves callers.
type Server struct {
	opts Options
}

// NewServer returns a Server.
func NewServer(opts Options) *Server { return &Server{opts: opts} }

// Handler returns the callers' interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.completions)
	mux.HandleFunc("/services/{pool}/{path...}", s.service)
	mux.HandleFunc("GET /v1/requests/{id}", s.status)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.readyz)
	return s.recovered(s.bounded(mux))
}

// readyz tells the balancer whether to send requests here.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if ok, why := s.opts.Control.Ready(); !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// recovered keeps a fault in one handler from ending the process.
func (s *Server) recovered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				telemetry.Log(s.opts.Log, telemetry.EventRequestPanicked, "panic", p)
				panic(http.ErrAbortHandler)
			}
		}()
		next.ServeHTTP(w, r)
	})
}
