package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/callerapi"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// refuse writes the error as the final answer of a request that was not submitted to the control goroutine.
func (s *Server) refuse(w http.ResponseWriter, id entity.RequestID, err error) {
	v := verdict.Of(err)
	s.opts.Metrics.Refused(v.Reason, v.Verdict)
	telemetry.Log(s.opts.Log, telemetry.EventBadInput, "request", id, "reason", v.Reason)
	writeError(w, id, v)
}

// writeError writes the final answer of a request that was not served.
func writeError(w http.ResponseWriter, id entity.RequestID, v *verdict.Error) {
	setVerdict(w.Header(), id, v.Verdict, v.Reason)
	if v.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(v.RetryAfter.Seconds()))))
	}
	writeJSON(w, v.Reason.HTTPStatus(), callerapi.Error{
		RequestID: id, Verdict: v.Verdict, Reason: v.Reason, Message: v.Message, RetryAfterMs: v.RetryAfter.Milliseconds(),
	})
}

// setVerdict sets the header fields of the request id, verdict and reason.
func setVerdict(h http.Header, id entity.RequestID, v verdict.Verdict, reason verdict.Reason) {
	if id != "" {
		h.Set(callerapi.HeaderRequestID, string(id))
	}
	h.Set(callerapi.HeaderVerdict, string(v))
	if reason != verdict.ReasonNone {
		h.Set(callerapi.HeaderReason, string(reason))
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error needs no handling: the request's context ends when the caller closes its connection.
	_ = json.NewEncoder(w).Encode(v)
}

// readBody reads a body of at most limit bytes, which are held until the request ends. Its errors are refusals for the
// caller.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	hold := intake.HoldOf(r)
	body, err := intake.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, hold.Grow, hold.Shrink)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, inputError(verdict.ReasonBodyTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, intake.ErrNoMemory) || errors.Is(err, intake.ErrRefused):
		w.Header().Set("Connection", "close")
		return nil, noMemoryError()
	case err != nil:
		return nil, trace.Wrap(inputError(verdict.ReasonBadRequest, "the body could not be read: %v", err))
	}
	return body, nil
}

// memoryRetryAfter is when a caller may come back for whose body there was no memory.
const memoryRetryAfter = time.Second

func noMemoryError() error {
	return verdict.New(verdict.NotRun, verdict.ReasonOverload, memoryRetryAfter, "too much is held for callers")
}
