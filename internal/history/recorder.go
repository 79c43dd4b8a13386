package history

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"

	"github.com/gravitational/trace"
)

// Recorder collects events. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	events []Event
}

// Add records an event.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// Events returns a copy of the events recorded so far.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// Write writes events as JSON lines.
func Write(w io.Writer, events []Event) error {
	enc := json.NewEncoder(w)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Read reads events in the format of Write until the end of r.
func Read(r io.Reader) ([]Event, error) {
	dec := json.NewDecoder(bufio.NewReader(r))
	var events []Event
	for {
		var e Event
		err := dec.Decode(&e)
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return nil, trace.Wrap(err, "history: event %d", len(events)+1)
		}
		events = append(events, e)
	}
}
