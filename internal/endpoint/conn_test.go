package endpoint

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"
)

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
	return &conn{Conn: near, noProgress: time.Minute}
}

func TestSealedConnTakesNoByte(t *testing.T) {
	c := pipeConn(t)
	for range 2 {
		if !c.seal() {
			t.Fatal("an untouched connection can't be sealed")
		}
	}
	if n, err := c.Write([]byte("x")); n != 0 || !errors.Is(err, errSealed) {
		t.Fatalf("Write = %d, %v", n, err)
	}
}

func TestWrittenConnCannotBeSealed(t *testing.T) {
	c := pipeConn(t)
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if c.seal() {
		t.Fatal("sealed after a write")
	}
}

// TestSealAndWriteAgree races the two: a write succeeds exactly when the seal fails.
func TestSealAndWriteAgree(t *testing.T) {
	for range 500 {
		c := pipeConn(t)
		var race sync.WaitGroup
		var written, sealed bool
		race.Go(func() { _, err := c.Write([]byte("x")); written = err == nil })
		race.Go(func() { sealed = c.seal() })
		race.Wait()
		if written == sealed {
			t.Fatalf("written %v, sealed %v", written, sealed)
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

// TestWriteGivesAPendingReadItsTimeAgain: the answer to a request on a pooled
// connection is waited for from the request on, not from the last answer.
func TestWriteGivesAPendingReadItsTimeAgain(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	deadlines := &deadlineRecorder{Conn: near}
	c := &conn{Conn: deadlines, noProgress: time.Minute}
	go func() { _, _ = far.Read(make([]byte, 1)) }()
	before := time.Now()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if deadlines.last.Before(before.Add(c.noProgress)) {
		t.Fatalf("deadline %v, written at %v", deadlines.last, before)
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
