package telemetry

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
)

// A reader that takes nothing, here a full pipe, never holds up whoever logs;
// what found no room is counted in a line once the reader goes on.
func TestStalledReaderNeverBlocks(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	log, flush := NewBoundedLogger(writer)
	long := strings.Repeat("x", 1000)
	for range 4 * boundedLines { // far more than the pipe and the buffer hold
		Log(log, EventCallEnded, "request", long)
	}
	read := make(chan []byte)
	go func() {
		data, err := io.ReadAll(reader)
		if err != nil {
			t.Error(err)
		}
		read <- data
	}()
	Log(log, EventCallEnded, "request", "after")
	flush()
	writer.Close()
	data := <-read
	if !bytes.Contains(data, []byte(EventLogLinesDropped.Message)) {
		t.Error("nothing says that lines are missing")
	}
	if n := bytes.Count(data, []byte("\n")); n < boundedLines {
		t.Errorf("%d lines came through, at least the %d that waited should", n, boundedLines)
	}
}
