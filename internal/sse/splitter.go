package sse

import (
	"bytes"

	"github.com/gravitational/trace"
)

// Splitter cuts a stream into whole events without changing a byte, so that a
// stream can go on elsewhere after its last whole event.
type Splitter struct {
	limit   int
	pending []byte
	lastID  string
}

// NewSplitter returns a Splitter that accepts events of up to limit bytes.
func NewSplitter(limit int) *Splitter { return &Splitter{limit: limit} }

// Add takes bytes in and returns all whole events that are there now. The
// result is valid until the next call.
func (s *Splitter) Add(p []byte) ([]byte, error) {
	s.pending = append(s.pending, p...)
	end := lastEventEnd(s.pending)
	if len(s.pending)-end > s.limit {
		return nil, trace.Wrap(ErrTooLarge)
	}
	whole := s.pending[:end:end]
	s.recordIDs(whole)
	s.pending = s.pending[end:]
	return whole, nil
}

// LastID returns the id of the last whole event that named one.
func (s *Splitter) LastID() string { return s.lastID }

// HasPartial says that the bytes so far end within an event.
func (s *Splitter) HasPartial() bool { return len(s.pending) > 0 }

// DiscardPartial forgets an event that was cut off.
func (s *Splitter) DiscardPartial() { s.pending = nil }

// lastEventEnd returns where the last whole event ends: after a blank line.
func lastEventEnd(b []byte) int {
	end := 0
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(b, blank); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// recordIDs remembers the last id among whole events.
func (s *Splitter) recordIDs(whole []byte) {
	for line := range bytes.Lines(whole) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimSpace(value))
		}
	}
}
