package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// readAll reads events until the first error.
func readAll(r io.Reader, limit int) ([]Event, error) {
	var events []Event
	reader := NewReader(r, limit)
	for {
		ev, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, ev)
	}
}

func TestNext(t *testing.T) {
	for _, tt := range []struct {
		name, in string
		want     []Event
	}{
		{"one", "event: token\ndata: {}\n\n", []Event{{"token", []byte("{}")}}},
		{"carriage returns", "event: a\r\ndata: b\r\n\r\n", []Event{{"a", []byte("b")}}},
		{"comments between", ": keepalive\n\ndata: 1\n\n: x\n\ndata: 2\n\n", []Event{{"", []byte("1")}, {"", []byte("2")}}},
		{"comment inside", "event: a\n: x\ndata: b\n\n", []Event{{"a", []byte("b")}}},
		{"lines of data", "data: a\ndata: b\n\n", []Event{{"", []byte("a\nb")}}},
		{"no space", "event:a\ndata:b\n\n", []Event{{"a", []byte("b")}}},
		{"one space only", "data:  b\n\n", []Event{{"", []byte(" b")}}},
		{"empty data", "data\n\n", []Event{{"", []byte{}}}},
		{"unknown fields", "id: 1\nretry: 3\ndata: x\n\n", []Event{{"", []byte("x")}}},
		{"cut off in the data", "data: a\n\ndata: {\"x\":", []Event{{"", []byte("a")}}},
		{"cut off before the blank line", "data: a\n", nil},
		{"empty", "", nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(tt.in), iotest.OneByteReader(strings.NewReader(tt.in))} {
				got, err := readAll(r, 1000)
				if !errors.Is(err, io.EOF) {
					t.Fatal(err)
				}
				if diff := cmp.Diff(tt.want, got, cmpopts.EquateEmpty()); diff != "" {
					t.Fatal(diff)
				}
			}
		})
	}
}

func TestNextBoundsAnEvent(t *testing.T) {
	for name, in := range map[string]string{
		"long line":   "data: " + strings.Repeat("x", 9000) + "\n\n",
		"many lines":  strings.Repeat("data: xxxxxxxx\n", 1000) + "\n",
		"no line end": strings.Repeat("x", 9000),
	} {
		if got, err := readAll(strings.NewReader(in), 8000); !errors.Is(err, ErrTooLarge) || len(got) > 0 {
			t.Errorf("%s: got %d events and error %v, want none and ErrTooLarge", name, len(got), err)
		}
	}
	many := strings.Repeat("data: xxxxxxxx\n\n", 1000)
	if got, err := readAll(strings.NewReader(many), 20); !errors.Is(err, io.EOF) || len(got) != 1000 {
		t.Errorf("small events: got %d events and error %v, want 1000 and EOF", len(got), err)
	}
}

func TestWriteCanBeRead(t *testing.T) {
	var buf bytes.Buffer
	for _, text := range []string{"a", "line\nbreak\r\n\r\n", "", ": no comment"} {
		if err := WriteComment(&buf, "keepalive"); err != nil {
			t.Fatal(err)
		}
		if err := Write(&buf, "token", text); err != nil {
			t.Fatal(err)
		}
	}
	got, err := readAll(&buf, 1000)
	if !errors.Is(err, io.EOF) || len(got) != 4 {
		t.Fatalf("got events %v and error %v, want 4 events and EOF", got, err)
	}
	if got[1].Name != "token" || string(got[1].Data) != `"line\nbreak\r\n\r\n"` {
		t.Fatalf("got second event %q, want token with the line breaks escaped", got[1])
	}
}

// naiveEvents is a simple reference implementation: it parses a complete stream at once,
// without a size limit.
func naiveEvents(in string) []Event {
	lines := strings.Split(in, "\n")
	lines = lines[:len(lines)-1] // the text after the last line break was cut off
	var events []Event
	var data, names []string
	for _, line := range lines {
		line = strings.TrimSuffix(line, "\r")
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "":
			if len(data) > 0 || len(names) > 0 && names[len(names)-1] != "" {
				name := strings.Join(names[max(0, len(names)-1):], "")
				events = append(events, Event{Name: name, Data: []byte(strings.Join(data, "\n"))})
			}
			data, names = nil, nil
		case field == "data":
			data = append(data, value)
		case field == "event":
			names = append(names, value)
		}
	}
	return events
}

// FuzzReader compares the events of a Reader with those of naiveEvents, and checks that
// no event is larger than a small limit.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{
		"event: token\ndata: {\"index\":0}\n\n", "data\n\n", "\r\n\r\n", ":\n\n", "event:\n\n", "data:a\ndata\n\n", "data: a", "event:a\nevent:\n\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in string) {
		got, err := readAll(iotest.HalfReader(strings.NewReader(in)), len(in)+1)
		if !errors.Is(err, io.EOF) {
			t.Fatal(err)
		}
		if diff := cmp.Diff(naiveEvents(in), got, cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
		small, err := readAll(strings.NewReader(in), 8)
		for _, ev := range small {
			if len(ev.Name)+len(ev.Data) > 8 {
				t.Fatalf("got an event of %d bytes, want at most 8; error %v", len(ev.Name)+len(ev.Data), err)
			}
		}
	})
}
