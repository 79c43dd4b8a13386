package edge

import (
	"net"
	"net/http"
	"time"

	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// defaultHeaderTimeout is how long a caller may take to send a request header if the configuration sets no time.
const defaultHeaderTimeout = 10 * time.Second

// WrapListener returns a listener of callers' connections, accepted from l, that enforces the limits on what callers
// send. It sets the hooks of h, which must serve from the returned listener.
func (s *Server) WrapListener(l net.Listener, h *http.Server) net.Listener {
	return intake.Listen(l, h, intake.Options{
		Account: s.account, MaxConns: s.opts.MaxConns, HeadBytes: s.headerBytes, HeadTimeout: s.headerTimeout, WholeBodies: true,
		WriteTimeout: s.opts.WriteTimeout, RetryAfter: memoryRetryAfter, Refused: s.recordRefusal,
		LetGo: func(cause intake.Cause) { s.opts.Metrics.CallerLetGo(string(cause)) },
	})
}

// headerBytes returns the limit of the configuration on a request's line and headers, 0 if it sets none.
func (s *Server) headerBytes() int64 {
	if config := s.opts.Scheduler.Config(); config != nil {
		return config.Bounds.HeaderBytes
	}
	return 0
}

// headerTimeout returns how long a caller may take to send a header, counted from its first byte.
func (s *Server) headerTimeout() time.Duration {
	if config := s.opts.Scheduler.Config(); config != nil && config.Bounds.HeaderTimeout > 0 {
		return config.Bounds.HeaderTimeout
	}
	return defaultHeaderTimeout
}

// recordRefusal counts and logs a request that was refused before it was whole.
func (s *Server) recordRefusal(reason verdict.Reason, why string, from net.Addr) {
	s.opts.Metrics.Refused(reason, verdict.NotRun)
	telemetry.Log(s.opts.Log, telemetry.EventCallEnded, "request", "", "from", from.String(), "verdict", verdict.NotRun, "reason", reason, "why", why)
}
