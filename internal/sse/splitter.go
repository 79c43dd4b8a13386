package sse

import (
	"bytes"

	"github.com/gravitational/trace"
)

// Splitter divides a stream into complete events without changing a byte, so that the
// stream can be resumed from another endpoint after its last complete event.
type Splitter struct {
	limit   int
	pending []byte
	lastID  string
}

// NewSplitter returns a Splitter that accepts events of up to limit bytes.
func NewSplitter(limit int) *Splitter { return &Splitter{limit: limit} }

// Add appends p to the stream and returns all events that are complete now. The result
// is valid until the next call. Add returns ErrTooLarge if an incomplete event exceeds
// the limit.
func (s *Splitter) Add(p []byte) ([]byte, error) {
	s.pending = append(s.pending, p...)
	end := lastEventEnd(s.pending)
	if len(s.pending)-end > s.limit {
		return nil, trace.Wrap(ErrTooLarge)
	}
	complete := s.pending[:end:end]
	s.recordIDs(complete)
	s.pending = s.pending[end:]
	return complete, nil
}

// LastID returns the id of the last complete event that has one.
func (s *Splitter) LastID() string { return s.lastID }

// HasPartial reports whether the bytes added so far end within an event.
func (s *Splitter) HasPartial() bool { return len(s.pending) > 0 }

// DiscardPartial discards the bytes of an incomplete event.
func (s *Splitter) DiscardPartial() { s.pending = nil }

// lastEventEnd returns the offset after the last complete event, which a blank line ends.
func lastEventEnd(b []byte) int {
	end := 0
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(b, blank); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// recordIDs records the last id in a sequence of complete events.
func (s *Splitter) recordIDs(complete []byte) {
	for line := range bytes.Lines(complete) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimSpace(value))
		}
	}
}
