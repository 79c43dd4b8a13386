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

// Control is the interface of the control goroutine that a Server uses.
type Control interface {
	// Arrive submits a new request. The returned channel delivers its
	// directives, of which the last one is DirectiveFinish.
	Arrive(a request.Arrival) <-chan request.Directive
	// Ended reports the end of a dispatch and its result.
	Ended(id entity.RequestID, end request.End)
	// Paused reports that an endpoint has confirmed a pause.
	Paused(id entity.RequestID)
	// CallerGone reports that the caller has closed its connection.
	CallerGone(id entity.RequestID)
	// Status returns the status of a request, and whether the request is known.
	Status(ctx context.Context, id entity.RequestID) (request.Status, bool)
	// Ready reports whether the load balancer should send requests to this
	// instance and, if not, the reason.
	Ready() (bool, string)
	// Serving reports whether the instance may serve a received request and,
	// if not, the reason. An instance that is leaving still serves requests.
	Serving() (bool, string)
}

// Options configures a Server.
type Options struct {
	Control Control
	// State returns the configuration in force.
	State func() config.State
	// Endpoints is the client of the engines and plain services.
	Endpoints *endpoint.Client
	// NewID returns a new unique request id.
	NewID   func() entity.RequestID
	Clock   func() time.Time
	Log     logr.Logger
	Metrics *telemetry.Metrics
	// DefaultDeadline is the time until the deadline of requests that set none.
	// MaxDeadline bounds the time of all requests.
	DefaultDeadline, MaxDeadline time.Duration
	// MaxBodyBytes bounds the bodies of completion requests, and of calls of
	// services whose pool sets no bound.
	MaxBodyBytes int64
	// EngineBlockTokens is the length of the blocks in which engines cache
	// prompts. PrefixBlockTokens, a multiple of it, is the length of the blocks
	// in which owners compare prompts. MaxPrefixBlocks bounds the number of the
	// latter per request. Lengths are in tokens.
	EngineBlockTokens, PrefixBlockTokens, MaxPrefixBlocks int
	// WriteTimeout bounds the time for which a caller may read nothing of its response.
	WriteTimeout time.Duration
}

// Server serves callers over HTTP.
type Server struct {
	opts Options
}

// NewServer returns a Server.
func NewServer(opts Options) *Server { return &Server{opts: opts} }

// Handler returns the handler of the callers' interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.completions)
	mux.HandleFunc("/services/{pool}/{path...}", s.service)
	mux.HandleFunc("GET /v1/requests/{id}", s.status)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.readyz)
	return s.recoverPanics(s.withWriteTimeout(mux))
}

// readyz handles GET /readyz: whether the load balancer should send requests to this instance.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := s.opts.Control.Ready(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// recoverPanics logs a panic of a handler and aborts its response, so that the
// process continues.
func (s *Server) recoverPanics(next http.Handler) http.Handler {
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
