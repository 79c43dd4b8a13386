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

// boundedLines is how many log lines wait for a reader that is slow. At some
// 300 bytes a line they take about 600 KB.
const boundedLines = 2048

// boundedWriter hands lines to a goroutine that writes them. It never blocks:
// lines that find no room are dropped and counted.
type boundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewBoundedLogger returns a logger that writes JSON lines to out without ever
// blocking on it, and a function that writes out what still waits.
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

// run writes lines, several at a time where they wait.
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
		// There is nowhere else to tell of a log that can't be written.
		_, _ = out.Write(batch)
	}
}

func (w *boundedWriter) close() {
	close(w.lines)
	<-w.done
}

// droppedLine says how many lines found no room.
func droppedLine(n int64) []byte {
	return fmt.Appendf(nil, "{\"level\":\"info\",\"msg\":%q,\"event\":%d,\"lines\":%d}\n", EventLogLinesDropped.Message, EventLogLinesDropped.ID, n)
}
