package telemetry

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
)

// TestStalledReaderDoesNotBlockLogging checks that logging doesn't block while nothing
// reads the log, here from a full pipe, and that a line about the dropped lines
// is written once the reader continues.
func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
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
		t.Error("got no line about dropped lines, want one")
	}
	if n := bytes.Count(data, []byte("\n")); n < boundedLines {
		t.Errorf("got %d lines, want at least the %d that were queued", n, boundedLines)
	}
}
