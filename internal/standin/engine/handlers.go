package engine

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/prefix"
	"github.com/medlarhold/medlarhold/internal/standin/engine/model"
	"github.com/medlarhold/medlarhold/internal/standin/serve"
)

func (s *Server) routes() *http.ServeMux {
	mux := http.NewServeMux()
	engine := func(pattern string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			s.waitUnfrozen(r.Context())
			h(w, r)
		})
	}
	engine("POST /v1/completions", s.serveCompletions)
	engine("GET /v1/streams/{id}", s.serveAttach)
	engine("POST /v1/streams/{id}/pause", s.serveControl((*model.Engine).Pause))
	engine("POST /v1/streams/{id}/resume", s.serveControl((*model.Engine).Resume))
	engine("DELETE /v1/streams/{id}", s.serveControl((*model.Engine).Cancel))
	engine("GET /v1/load", s.serveLoad)
	engine("GET /v1/cache/events", s.serveCacheEvents)
	engine("POST /v1/kv/export", s.serveExport)
	engine("POST /v1/kv/import", s.serveImport)
	engine("POST /v1/orders", s.serveOrder)
	engine("GET /v1/orders", s.serveOrders)
	mux.HandleFunc("GET /standin/journal", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Journal())
	})
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if serve.DecodeJSON(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("POST /standin/silence-open", func(http.ResponseWriter, *http.Request) {
		s.StallOpenConnections()
	})
	return mux
}

func (s *Server) serveCompletions(w http.ResponseWriter, r *http.Request) {
	var req endpoint.GenerateRequest
	if !serve.DecodeJSON(w, r, &req) {
		return
	}
	if s.consumeFault(&s.faults.Lost) {
		abortConnection()
	}
	rec, status := s.dispatch(req)
	if status != http.StatusOK {
		http.Error(w, "not admitted", status)
		return
	}
	if s.consumeFault(&s.faults.Unanswered) {
		abortConnection()
	}
	if req.Stream {
		s.serveStream(w, r.Context(), rec, 0)
		return
	}
	s.serveComplete(w, r.Context(), rec)
}

// dispatch journals a request and submits it to the model. It returns the stream's record, or the
// status code of a refusal.
func (s *Server) dispatch(req endpoint.GenerateRequest) (*record, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	entry := &Entry{RequestID: req.RequestID, Model: req.Model, Adapter: req.Adapter, Dispatched: now}
	run := s.nextRun(req.RequestID)
	s.journal = append(s.journal, entry)
	s.notify()
	status := s.faults.RefuseWith
	if status == 0 {
		status = admissionStatus(s.model.Submit(now, model.Request{
			ID:           run,
			Model:        req.Model,
			Adapter:      req.Adapter,
			Prefix:       prefix.Hash(req.Prompt, s.settings.BlockTokens),
			PromptTokens: prefix.Tokens(req.Prompt),
			MaxTokens:    req.MaxTokens,
		}))
	}
	if status != http.StatusOK {
		entry.Refused = true
		return nil, status
	}
	rec := &record{
		id: req.RequestID, runID: run, answer: newAnswerGenerator(req.Prompt), entry: entry,
		changed: make(chan struct{}), lastActive: now,
	}
	s.runs[run] = rec
	s.streams[req.RequestID] = rec
	s.wakeLoop()
	return rec, http.StatusOK
}

// admissionStatus returns the status code for the result of Submit.
func admissionStatus(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, model.ErrNotLoaded):
		return http.StatusNotFound
	case errors.Is(err, model.ErrTooLong):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// completeAnswer is the answer to a request without streaming.
type completeAnswer struct {
	RequestID entity.RequestID `json:"request_id"`
	Text      string           `json:"text"`
	endpoint.End
}

func (s *Server) serveComplete(w http.ResponseWriter, ctx context.Context, rec *record) {
	rd := &reader{server: s, record: rec}
	rd.open()
	defer rd.close()
	for {
		v := rd.view()
		if v.end != nil {
			w.Header().Set(endpoint.HeaderRequestID, string(rec.id))
			serve.WriteJSON(w, http.StatusOK, completeAnswer{RequestID: rec.id, Text: rec.answer.text(v.tokens), End: *v.end})
			return
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return
		case <-s.done:
			abortConnection()
		}
	}
}

// find returns the stream that the request names. If there is none, it answers 404 and returns
// nil.
func (s *Server) find(w http.ResponseWriter, r *http.Request) *record {
	s.mu.Lock()
	rec := s.streams[entity.RequestID(r.PathValue("id"))]
	s.mu.Unlock()
	if rec == nil {
		http.Error(w, "unknown stream", http.StatusNotFound)
	}
	return rec
}

func (s *Server) serveAttach(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.FormValue("from"))
	if err != nil || from < 0 {
		http.Error(w, "from must be a token's index", http.StatusBadRequest)
		return
	}
	if rec := s.find(w, r); rec != nil {
		s.serveStream(w, r.Context(), rec, from)
	}
}

// controlCall is the common type of Pause, Resume and Cancel.
type controlCall func(*model.Engine, time.Time, entity.RequestID) (endpoint.StreamStatus, error)

func (s *Server) serveControl(do controlCall) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if rec := s.find(w, r); rec != nil {
			serve.WriteJSON(w, http.StatusOK, s.control(rec, do))
		}
	}
}

func (s *Server) control(rec *record, do controlCall) endpoint.StreamStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeLoop()
	now := s.clock()
	s.settle(now) // the record of a stream that has ended must be complete
	status, err := do(s.model, now, rec.runID)
	if err != nil { // the model removes streams that have ended
		return endpoint.StreamStatus{State: endpoint.StateEnded, Tokens: rec.tokens}
	}
	return status
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := s.model.Load(s.clock())
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, load)
}

// maxEvents bounds the cache events in one response.
const maxEvents = 1000

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be a sequence number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	events := s.model.CacheEvents(s.clock(), from, maxEvents)
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, events)
}
