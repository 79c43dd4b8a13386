package framing

import (
	"errors"
	"syscall"
	"testing"
	"time"
)

// A regular end counts only once all that was to be written is.
func TestEndWhileAWriteGoesOn(t *testing.T) {
	var w Writes
	if err := w.CheckEnd(); err != nil {
		t.Errorf("got %v with nothing to write, want none", err)
	}
	end := w.Begin()
	if err := w.CheckEnd(); !errors.Is(err, ErrCutOff) || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v while a write goes on, want that it was cut off", err)
	}
	time.AfterFunc(writeEndTime/5, func() { end(nil) })
	if err := w.CheckEnd(); err != nil {
		t.Errorf("got %v after a write that ends at the same time, want none", err)
	}
	w.Begin()(errors.New("reset"))
	w.Begin()(nil)
	if err := w.CheckEnd(); !errors.Is(err, ErrCutOff) {
		t.Errorf("got %v after a write that failed, want that it was cut off", err)
	}
}
