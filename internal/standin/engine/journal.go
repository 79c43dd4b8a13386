package engine

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// Entry is one dispatch as the engine saw it.
type Entry struct {
	RequestID  entity.RequestID `json:"request_id"`
	Model      entity.ModelID   `json:"model"`
	Adapter    entity.AdapterID `json:"adapter,omitempty"`
	Dispatched time.Time        `json:"dispatched"`
	// Refused says that it was refused on admission and never ran.
	Refused bool `json:"refused,omitempty"`
	// Started and Ended are zero for a request that didn't start or end.
	Started time.Time `json:"started,omitzero"`
	Ended   time.Time `json:"ended,omitzero"`
	// End is what the end mark said.
	End endpoint.End `json:"end,omitzero"`
	// Digest is the xxHash64 of the whole answer's text, empty for another end.
	Digest string `json:"digest,omitempty"`
	// Attached counts the attachments to the stream, the first one included.
	Attached int `json:"attached"`
}

// Journal returns all dispatches in the order of their arrival.
func (s *Server) Journal() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Entry, len(s.journal))
	for i, e := range s.journal {
		out[i] = *e
	}
	return out
}

// Dispatches returns the dispatches of one request.
func (s *Server) Dispatches(id entity.RequestID) []Entry {
	return slices.DeleteFunc(s.Journal(), func(e Entry) bool { return e.RequestID != id })
}

// Await waits until holds is true for a dispatch of the request, and returns it.
func (s *Server) Await(ctx context.Context, id entity.RequestID, holds func(Entry) bool) (Entry, error) {
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		for _, e := range s.Dispatches(id) {
			if holds(e) {
				return e, nil
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Entry{}, trace.Wrap(ctx.Err())
		}
	}
}

// notify tells those who wait that the journal has changed. The lock is held.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
