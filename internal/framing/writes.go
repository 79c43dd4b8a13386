package framing

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// writeEndTime is within what time a write that failed with the connection has returned.
const writeEndTime = 15 * time.Millisecond

// ErrCutOff is returned in place of the end of a connection that ended before all was written to it. It wraps
// syscall.ECONNRESET.
var ErrCutOff = fmt.Errorf("the connection ended before all was written to it: %w", syscall.ECONNRESET)

// Writes keeps track of what is written to a connection, one write at a time. The kernel tells the error of a reset
// once: if a write gets it, a read sees a regular end. It is safe for concurrent use. The zero value has nothing
// to write.
type Writes struct {
	mu sync.Mutex
	// pending is closed at the end of the write that has begun, nil if there is none.
	pending chan struct{}
	failed  bool
}

// Begin records that a write begins. The returned function records its end.
func (w *Writes) Begin() (end func(error)) {
	pending := make(chan struct{})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = pending
	return func(err error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.pending = nil
		w.failed = w.failed || err != nil
		close(pending)
	}
}

// Complete reports whether all writes have ended without an error.
func (w *Writes) Complete() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending == nil && !w.failed
}

// CheckEnd returns nil if the end of the connection, as a read has seen it, is a regular one: all writes have ended
// without an error. Otherwise it returns ErrCutOff.
func (w *Writes) CheckEnd() error {
	w.mu.Lock()
	pending := w.pending
	w.mu.Unlock()
	if pending != nil {
		timer := time.NewTimer(writeEndTime)
		defer timer.Stop()
		select {
		case <-pending:
		case <-timer.C:
		}
	}
	if !w.Complete() {
		return ErrCutOff
	}
	return nil
}
