package caller

import (
	"net/http"
	"time"
)

// withWriteTimeout makes writes fail if the caller reads nothing of its response for the write timeout.
func (s *Server) withWriteTimeout(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &timeoutWriter{ResponseWriter: w, timeout: s.opts.WriteTimeout}
		// The deadline of an earlier request on this connection is still in force.
		b.setDeadline()
		next.ServeHTTP(b, r)
		b.setDeadline() // for the server's final flush
	})
}

// timeoutWriter sets a new write deadline before each write and flush.
type timeoutWriter struct {
	http.ResponseWriter
	timeout time.Duration
}

// Write implements io.Writer.
func (w *timeoutWriter) Write(p []byte) (int, error) {
	w.setDeadline()
	return w.ResponseWriter.Write(p)
}

// FlushError sends the buffered data to the caller.
func (w *timeoutWriter) FlushError() error {
	w.setDeadline()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *timeoutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *timeoutWriter) setDeadline() {
	// Only writers in tests do not support deadlines.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}
