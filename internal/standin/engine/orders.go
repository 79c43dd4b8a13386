package engine

import (
	"net/http"
	"time"

	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/standin/engine/model"
	"github.com/medlarhold/medlarhold/internal/standin/serve"
)

func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var req endpoint.ExportRequest
	if !serve.DecodeJSON(w, r, &req) {
		return
	}
	s.mu.Lock()
	wanted := model.Request{Model: req.Model, Adapter: req.Adapter, Prefix: endpoint.FromWire(req.Prefix)}
	if rec := s.streams[req.RequestID]; rec != nil {
		wanted.ID = rec.runID
	}
	export := s.model.Export(s.clock(), wanted)
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, export)
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var req endpoint.ImportRequest
	if !serve.DecodeJSON(w, r, &req) {
		return
	}
	held, err := s.peers.Export(r.Context(), req.From, endpoint.ExportRequest{
		Model: req.Model, Adapter: req.Adapter, Prefix: req.Blocks,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	s.mu.Lock()
	imported, ready := s.model.Import(s.clock(), model.Request{
		Model: req.Model, Adapter: req.Adapter, Prefix: endpoint.FromWire(held.Blocks),
	})
	wait := ready.Sub(s.clock())
	s.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	}
	serve.WriteJSON(w, http.StatusOK, endpoint.Import{Imported: imported})
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o endpoint.Order
	if !serve.DecodeJSON(w, r, &o) {
		return
	}
	s.mu.Lock()
	status, err := s.model.HandleOrder(s.clock(), o)
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	serve.WriteJSON(w, http.StatusOK, status)
}

func (s *Server) serveOrders(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	status := s.model.OrderStatus(s.clock())
	s.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, status)
}
