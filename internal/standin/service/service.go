// Package service is a simulated plain service for tests and demonstrations. It journals and
// answers every call, runs a call again that is sent again, and injects the faults that are set.
package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/standin/serve"
)

// HeaderIdempotencyKey is the header that carries the request key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Settings describes a simulated service.
type Settings struct {
	// Delay is the duration of each call.
	Delay time.Duration `json:"delay_ns,omitempty"`
}

// Faults are the faults that the service injects. The zero value is a healthy service.
type Faults struct {
	// Delay is added to the duration of each call.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// Frozen makes new calls wait, neither journalled nor run, until it is unset.
	Frozen bool `json:"frozen,omitempty"`
	// AnswerWith is the status code with which all calls are answered without running them; zero
	// runs them.
	AnswerWith int `json:"answer_with,omitempty"`
	// Unanswered is the number of calls that run and then have their connection closed without a
	// response.
	Unanswered int `json:"unanswered,omitempty"`
	// Lost is the number of calls that do not run and have their connection closed.
	Lost int `json:"lost,omitempty"`
}

// Entry is one call as the service observed it.
type Entry struct {
	RequestID entity.RequestID `json:"request_id"`
	Key       string           `json:"key,omitempty"`
	Method    string           `json:"method"`
	Path      string           `json:"path"`
	BodyHash  string           `json:"body_sha256"`
	Received  time.Time        `json:"received"`
	// Ran is set once the call has had its effect; Ended is the time of that.
	Ran   bool      `json:"ran"`
	Ended time.Time `json:"ended,omitzero"`
	// Digest is the xxHash64 of the response body.
	Digest string `json:"digest,omitempty"`
}

// Answer is the response body of a call.
type Answer struct {
	RequestID entity.RequestID `json:"request_id"`
	Key       string           `json:"key,omitempty"`
	Method    string           `json:"method"`
	Path      string           `json:"path"`
	BodyHash  string           `json:"body_sha256"`
	// Run is the number of calls that have run so far, this one included.
	Run int `json:"run"`
}

// Server is a simulated service. It is an http.Handler.
type Server struct {
	settings Settings
	mux      *http.ServeMux

	mu       sync.Mutex
	faults   Faults
	unfrozen chan struct{}
	journal  []*Entry
	runs     int
}

// New returns a simulated service.
func New(settings Settings) *Server {
	s := &Server{settings: settings, mux: http.NewServeMux()}
	s.mux.HandleFunc("/", s.serveCall)
	s.mux.HandleFunc("GET /standin/journal", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Journal())
	})
	s.mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if serve.DecodeJSON(w, r, &f) {
			s.SetFaults(f)
		}
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Journal returns all calls in the order of their arrival.
func (s *Server) Journal() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Entry, len(s.journal))
	for i, e := range s.journal {
		out[i] = *e
	}
	return out
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Frozen && !s.faults.Frozen {
		s.unfrozen = make(chan struct{})
	}
	if !f.Frozen && s.faults.Frozen {
		close(s.unfrozen)
	}
	s.faults = f
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, serve.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.waitUnfrozen(r.Context())
	if s.consumeFault(&s.faults.Lost) {
		panic(http.ErrAbortHandler)
	}
	e, answerWith, delay := s.receive(r, body)
	wait(r.Context(), delay)
	if answerWith != 0 {
		http.Error(w, "the service does not run calls now", answerWith)
		return
	}
	answer, err := s.complete(e)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if s.consumeFault(&s.faults.Unanswered) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(endpoint.HeaderRequestID, string(e.RequestID))
	w.Header().Set("Content-Type", "application/json")
	w.Write(answer)
}

// receive journals a call. It returns its entry, the status code that replaces its run if not
// zero, and its duration.
func (s *Server) receive(r *http.Request, body []byte) (e *Entry, answerWith int, delay time.Duration) {
	sum := sha256.Sum256(body)
	e = &Entry{
		RequestID: entity.RequestID(r.Header.Get(endpoint.HeaderRequestID)),
		Key:       r.Header.Get(HeaderIdempotencyKey),
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		BodyHash:  hex.EncodeToString(sum[:]),
		Received:  time.Now(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal = append(s.journal, e)
	return e, s.faults.AnswerWith, s.settings.Delay + s.faults.Delay
}

// complete runs a call and returns its response body.
func (s *Server) complete(e *Entry) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	e.Ran, e.Ended = true, time.Now()
	body, err := json.Marshal(Answer{
		RequestID: e.RequestID, Key: e.Key, Method: e.Method, Path: e.Path, BodyHash: e.BodyHash, Run: s.runs,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	e.Digest = strconv.FormatUint(xxhash.Sum64(body), 16)
	return body, nil
}

// consumeFault decrements the remaining count of a fault, and reports whether there was one left.
func (s *Server) consumeFault(times *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *times <= 0 {
		return false
	}
	*times--
	return true
}

// waitUnfrozen waits while the service is frozen. It aborts the connection if ctx ends first.
func (s *Server) waitUnfrozen(ctx context.Context) {
	s.mu.Lock()
	frozen, unfrozen := s.faults.Frozen, s.unfrozen
	s.mu.Unlock()
	if !frozen {
		return
	}
	select {
	case <-unfrozen:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// wait waits for d or until ctx ends. It returns no error, because a call that was received takes
// effect even if its caller disconnects.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
