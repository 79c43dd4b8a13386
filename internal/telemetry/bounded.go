package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// boundedLines is the maximum number of log lines that wait for a slow reader.
// At about 300 bytes per line they take about 600 KB.
const boundedLines = 2048

// boundedWriter queues lines for a goroutine that writes them. Write never
// blocks: while the queue is full, lines are dropped and counted.
type boundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewBoundedLogger returns a logger that writes JSON lines to out in the
// background and never blocks its callers, and a function that writes the queued
// lines and stops the logger. The logger must not be used after that call.
func NewBoundedLogger(out io.Writer) (logr.Logger, func()) {
	w := &boundedWriter{lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go w.run(out)
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.AddSync(w), zapcore.InfoLevel)
	return zapr.NewLogger(zap.New(core)), w.close
}

// Write implements io.Writer.
func (w *boundedWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// run writes the queued lines to out until the queue is closed. It writes all
// lines that are queued at a time with one call of out.Write.
func (w *boundedWriter) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		batch := line
		for n := len(w.lines); n > 0; n-- {
			batch = append(batch, <-w.lines...)
		}
		if n := w.dropped.Swap(0); n > 0 {
			batch = append(batch, droppedLine(n)...)
		}
		// An error of the log's own output can't be reported anywhere.
		_, _ = out.Write(batch)
	}
}

// close writes the queued lines and ends the goroutine. It blocks until out has
// accepted them.
func (w *boundedWriter) close() {
	close(w.lines)
	<-w.done
}

// droppedLine returns a log line with the number n of dropped lines.
func droppedLine(n int64) []byte {
	return fmt.Appendf(nil, "{\"level\":\"info\",\"msg\":%q,\"event\":%d,\"lines\":%d}\n", EventLogLinesDropped.Message, EventLogLinesDropped.ID, n)
}
