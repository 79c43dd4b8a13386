package caller

import (
	"net/http"
	"time"
)

// bounded gives up on callers that take nothing of their answer.
func (s *Server) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &boundedWriter{ResponseWriter: w, timeout: s.opts.WriteTimeout}
		// What an earlier request on this connection set still holds.
		b.setDeadline()
		next.ServeHTTP(b, r)
		b.setDeadline() // for what the server flushes at the end
	})
}

// boundedWriter fails when its caller takes nothing for the timeout.
type boundedWriter struct {
	http.ResponseWriter
	timeout time.Duration
}

// Write implements io.Writer.
func (w *boundedWriter) Write(p []byte) (int, error) {
	w.setDeadline()
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written.
func (w *boundedWriter) FlushError() error {
	w.setDeadline()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap gives http.ResponseController the writer inside.
func (w *boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *boundedWriter) setDeadline() {
	// Only writers of tests have no deadlines.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}
