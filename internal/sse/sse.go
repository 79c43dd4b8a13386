// Package sse reads and writes server-sent events, with a bound on the size of
// each event that is read.
package sse

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/gravitational/trace"
)

// ContentType is the media type of a stream of server-sent events.
const ContentType = "text/event-stream"

// ErrTooLarge is returned for an event that is larger than the limit of a Reader or Splitter.
var ErrTooLarge = errors.New("sse: event too large")

// Event is one server-sent event.
type Event struct {
	Name string
	Data []byte
}

// Reader reads events from a stream.
type Reader struct {
	input *bufio.Reader
	limit int
}

// NewReader returns a Reader that accepts events of up to limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{input: bufio.NewReader(r), limit: limit}
}

// Next returns the next event and skips comments. It returns io.EOF when the stream
// ends; an event cut off by the end of the stream is not returned.
func (r *Reader) Next() (Event, error) {
	var ev Event
	remaining := r.limit
	for {
		line, err := r.readLine(remaining)
		if err != nil {
			return Event{}, err
		}
		remaining -= len(line)
		if len(line) > 0 {
			ev.addLine(line)
			continue
		}
		if ev.Name != "" || ev.Data != nil {
			return ev, nil
		}
		remaining = r.limit
	}
}

// addLine adds the field in a non-empty line to the event. Unknown fields are ignored.
func (e *Event) addLine(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "event":
		e.Name = string(value)
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		if e.Data == nil {
			e.Data = []byte{}
		}
	}
}

// readLine reads one line of up to limit bytes and removes the line break. It returns
// io.EOF for a line that was cut off by the end of the stream.
func (r *Reader) readLine(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.input.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, trace.Wrap(ErrTooLarge)
		}
		line = append(line, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// Write writes one event whose data is v as JSON.
func Write(w io.Writer, name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	buf := make([]byte, 0, len(name)+len(data)+20)
	buf = append(buf, "event: "...)
	buf = append(buf, name...)
	buf = append(buf, "\ndata: "...)
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	_, err = w.Write(buf)
	return trace.Wrap(err)
}

// WriteComment writes a comment, which readers skip. It serves as a keep-alive message.
func WriteComment(w io.Writer, text string) error {
	_, err := io.WriteString(w, ": "+text+"\n\n")
	return trace.Wrap(err)
}
