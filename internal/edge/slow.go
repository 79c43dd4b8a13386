package edge

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// slowAfter is how long a write to a caller may take before the caller counts as slow.
const slowAfter = 100 * time.Millisecond

// errLetGo is returned for a write to a caller that was let go.
var errLetGo = errors.New("the caller reads too slowly")

// holding returns what is held for the request.
func (c *call) holding() *holding {
	if c.held == nil {
		c.held = c.server.newHolding(intake.ConnOf(c.r), c.abortWrite)
		c.held.SetOrg(c.orgID())
	}
	return c.held
}

// abortWrite makes the present and all further writes to the caller fail.
func (c *call) abortWrite() {
	// The error is ignored: only response writers in tests don't support deadlines.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Unix(1, 0))
}

// writeToCaller writes p to the caller at once. While the caller keeps the write waiting, the spool,
// if it is set, takes what the endpoint sends.
func (c *call) writeToCaller(out *http.ResponseController, p []byte, s *spool) error {
	h := c.holding()
	if h.LetGoCause() != "" {
		return callerError{errLetGo}
	}
	c.beginWrite(h, s)
	c.setWriteDeadline(out)
	_, err := c.w.Write(p)
	if err == nil {
		err = out.Flush()
	}
	c.endWrite(h)
	if err != nil {
		return callerError{c.slowOrGone(h, err)}
	}
	return nil
}

// beginWrite records that a write has begun and starts the timer after which the caller counts as slow.
func (c *call) beginWrite(h *holding, s *spool) {
	h.mu.Lock()
	h.writing, h.writingSince = true, time.Now()
	h.mu.Unlock()
	if c.watch == nil {
		c.watch = time.AfterFunc(slowAfter, func() { callerIsSlow(h, s) })
		return
	}
	c.watch.Reset(slowAfter)
}

// callerIsSlow records that the caller is slow if a write takes long.
func callerIsSlow(h *holding, s *spool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.writing || time.Since(h.writingSince) < slowAfter {
		return
	}
	h.setSlow(h.writingSince)
	if s != nil {
		s.begin()
	}
}

// endWrite records that a write has ended.
func (c *call) endWrite(h *holding) {
	c.watch.Stop()
	h.mu.Lock()
	h.writing = false
	fast := time.Since(h.writingSince) < slowAfter
	h.mu.Unlock()
	if fast {
		h.SetReading()
	}
}

// slowOrGone returns the cause of a failed write: a caller that read nothing for the whole time of a
// write is let go.
func (c *call) slowOrGone(h *holding, err error) error {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		h.LetGo(intake.CauseStopped)
	}
	if h.LetGoCause() != "" {
		return errLetGo
	}
	return err
}

// callerReason returns why the request of a caller ended to which a write has failed.
func callerReason(err error) verdict.Reason {
	if errors.Is(err, errLetGo) {
		return verdict.ReasonCallerSlow
	}
	return verdict.ReasonCallerGone
}

// logLetGo logs that the caller was let go.
func (c *call) logLetGo() {
	h := c.holding()
	held, slowFor := h.State()
	c.server.opts.Metrics.CallerLetGo(string(h.LetGoCause()))
	telemetry.Log(c.server.opts.Log, telemetry.EventCallerLetGo, "request", c.id, "organisation", c.orgID(), "cause", h.LetGoCause(),
		"held_bytes", held, "slow_ms", slowFor.Milliseconds())
}
