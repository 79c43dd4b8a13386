package engine

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// Entry is one dispatch as the engine observed it.
type Entry struct {
	RequestID  entity.RequestID `json:"request_id"`
	Model      entity.ModelID   `json:"model"`
	Adapter    entity.AdapterID `json:"adapter,omitempty"`
	Dispatched time.Time        `json:"dispatched"`
	// Refused is set if the engine refused the request on admission; it never ran.
	Refused bool `json:"refused,omitempty"`
	// Started and Ended are zero for a request that didn't start or end.
	Started time.Time `json:"started,omitzero"`
	Ended   time.Time `json:"ended,omitzero"`
	// End is the data of the end event.
	End endpoint.End `json:"end,omitzero"`
	// Digest is the xxHash64 of the text of a complete answer; empty if the stream ended
	// otherwise.
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

// Await waits until condition is true for a dispatch of the request and returns this dispatch. It
// returns an error if ctx ends first.
func (s *Server) Await(ctx context.Context, id entity.RequestID, condition func(Entry) bool) (Entry, error) {
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		for _, e := range s.Dispatches(id) {
			if condition(e) {
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

// notify wakes the callers of Await after a change of the journal. The caller holds the lock.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
