// Package service is a stand-in for a plain service, for tests and
// demonstrations. It answers every call and journals it, runs a call again
// when it is sent again, and shows the faults that are set.
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

// HeaderIdempotencyKey carries the request key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Settings describes a stand-in service.
type Settings struct {
	// Delay is how long each call takes.
	Delay time.Duration `json:"delay_ns,omitempty"`
}

// Faults are the faults that the service shows. The zero value is a healthy service.
type Faults struct {
	// Delay is added to each call.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// Frozen stops all answers until it is unset.
	Frozen bool `json:"frozen,omitempty"`
	// AnswerWith answers all calls, without running them, with this status code.
	AnswerWith int `json:"answer_with,omitempty"`
	// Unanswered is how many calls are run and then have their connection closed.
	Unanswered int `json:"unanswered,omitempty"`
	// Lost is how many calls have their connection closed and aren't run.
	Lost int `json:"lost,omitempty"`
}

// Entry is one call as the service saw it.
type Entry struct {
	RequestID entity.RequestID `json:"request_id"`
	Key       string           `json:"key,omitempty"`
	Method    string           `json:"method"`
	Path      string           `json:"path"`
	BodyHash  string           `json:"body_sha256"`
	Received  time.Time        `json:"received"`
	// Ran says that the call had its effect; Ended is zero until then.
	Ran   bool      `json:"ran"`
	Ended time.Time `json:"ended,omitzero"`
	// Digest is the xxHash64 of the answer's body.
	Digest string `json:"digest,omitempty"`
}

// Answer is the body that the service answers with.
type Answer struct {
	RequestID entity.RequestID `json:"request_id"`
	Key       string           `json:"key,omitempty"`
	Method    string           `json:"method"`
	Path      string           `json:"path"`
	BodyHash  string           `json:"body_sha256"`
	// Run counts the calls that have run, this one included.
	Run int `json:"run"`
}

// Server is a stand-in service. It is an http.Handler.
type Server struct {
	settings Settings
	mux      *http.ServeMux

	mu      sync.Mutex
	faults  Faults
	thaw    chan struct{}
	journal []*Entry
	runs    int
}

// New returns a stand-in service.
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
		s.thaw = make(chan struct{})
	}
	if !f.Frozen && s.faults.Frozen {
		close(s.thaw)
	}
	s.faults = f
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, serve.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.waitThaw(r.Context())
	if s.take(&s.faults.Lost) {
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
	if s.take(&s.faults.Unanswered) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(endpoint.HeaderRequestID, string(e.RequestID))
	w.Header().Set("Content-Type", "application/json")
	w.Write(answer)
}

// receive journals a call and says what is to become of it.
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

// complete gives a call its effect and returns the body of its answer.
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

// take uses up one of the times that a fault is to show.
func (s *Server) take(times *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *times <= 0 {
		return false
	}
	*times--
	return true
}

// waitThaw waits while the service is frozen.
func (s *Server) waitThaw(ctx context.Context) {
	s.mu.Lock()
	frozen, thaw := s.faults.Frozen, s.thaw
	s.mu.Unlock()
	if !frozen {
		return
	}
	select {
	case <-thaw:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// wait waits for d. A call that was received has its effect even when its
// caller goes away, so ctx only ends the wait.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
