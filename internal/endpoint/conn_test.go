package endpoint

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/framing"
)

// pipeConn returns a conn whose writes are read and discarded.
func pipeConn(t *testing.T) *conn {
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	go func() {
		buf := make([]byte, 16)
		for {
			if _, err := far.Read(buf); err != nil {
				return
			}
		}
	}()
	return &conn{Conn: framing.NewConn(near), noProgress: time.Minute}
}

func TestSealedConnRejectsWrites(t *testing.T) {
	c := pipeConn(t)
	for range 2 {
		if !c.seal() {
			t.Fatal("seal failed on a connection without a write")
		}
	}
	if n, err := c.Write([]byte("x")); n != 0 || !errors.Is(err, errSealed) {
		t.Fatalf("Write = %d, %v, want 0, %v", n, err, errSealed)
	}
}

func TestWrittenConnCannotBeSealed(t *testing.T) {
	c := pipeConn(t)
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if c.seal() {
		t.Fatal("seal succeeded after a write")
	}
}

// TestEitherSealOrWriteSucceeds calls both concurrently. If both succeeded, a request
// that was sent would be reported as not run, and could be dispatched twice.
func TestEitherSealOrWriteSucceeds(t *testing.T) {
	for range 500 {
		c := pipeConn(t)
		var race sync.WaitGroup
		var written, sealed bool
		race.Go(func() { _, err := c.Write([]byte("x")); written = err == nil })
		race.Go(func() { sealed = c.seal() })
		race.Wait()
		if written == sealed {
			t.Fatalf("got written %v, sealed %v, want exactly one", written, sealed)
		}
	}
}

func TestReadWithoutProgressTimesOut(t *testing.T) {
	c := pipeConn(t)
	c.noProgress = time.Millisecond
	if _, err := c.Read(make([]byte, 1)); !isTimeout(err) {
		t.Fatalf("Read = %v, want a timeout", err)
	}
}

// TestWriteRestartsTheReadTimeout checks that the time without progress on a pooled
// connection counts from the request, not from the previous response. net/http keeps
// a Read pending on an idle connection, whose timeout would be partly used up.
func TestWriteRestartsTheReadTimeout(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	deadlines := &deadlineRecorder{Conn: near}
	c := &conn{Conn: framing.NewConn(deadlines), noProgress: time.Minute}
	go func() { _, _ = far.Read(make([]byte, 1)) }()
	before := time.Now()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if deadlines.last.Before(before.Add(c.noProgress)) {
		t.Fatalf("got deadline %v, want at least %v after the write at %v", deadlines.last, c.noProgress, before)
	}
}

type deadlineRecorder struct {
	net.Conn
	last time.Time
}

func (d *deadlineRecorder) SetDeadline(t time.Time) error {
	d.last = t
	return d.Conn.SetDeadline(t)
}
