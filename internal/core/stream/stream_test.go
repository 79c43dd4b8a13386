package stream

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/platform"
)

var (
	start    = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	settings = ReaderSettings{Stream: "s", Limit: 10, Interval: 2 * time.Second, Wait: 500 * time.Millisecond, Backoff: time.Second, Timeout: 3 * time.Second}
)

func TestReaderReadsContinuouslyUntilCaughtUp(t *testing.T) {
	r := NewReader(settings)
	for from := platform.Offset(0); from < 20; from += 10 {
		req := r.Request(start, false)
		if req == nil || req.From != from || req.Wait != 0 {
			t.Fatalf("got request %+v, want one from offset %d without a wait", req, from)
		}
		if r.Request(start, true) != nil {
			t.Fatal("got a second request while a read is in flight")
		}
		if r.CaughtUp() {
			t.Fatalf("got caught up at offset %d of 20", from)
		}
		for o := from; o < from+10; o++ {
			if !r.Accept(o) || r.Accept(o) {
				t.Fatalf("record %d: want it accepted exactly once", o)
			}
		}
		r.ReadDone(start, 20)
	}
	if !r.CaughtUp() || !r.AtEnd() || r.Request(start, false) != nil {
		t.Error("after the last record: want caught up, at end and no request before the interval")
	}
	if req := r.Request(start, true); req == nil || req.Wait != settings.Wait {
		t.Errorf("while something is waiting: got request %+v, want one with wait %v", req, settings.Wait)
	}
}

func TestIdleReaderReadsEveryInterval(t *testing.T) {
	r := NewReader(settings)
	r.Request(start, false)
	r.ReadDone(start, 0)
	if r.Request(start.Add(settings.Interval-1), false) != nil || r.Request(start.Add(settings.Interval), false) == nil {
		t.Error("want no request before the interval is over, and one once it is")
	}
}

func TestReaderIsDownAfterConsecutiveFailures(t *testing.T) {
	r := NewReader(settings)
	now := start
	for range DownAfter {
		if r.Down() {
			t.Fatalf("got down after fewer than %d failures", DownAfter)
		}
		r.Request(now, false)
		r.ReadFailed(now, platform.ErrUnavailable)
		r.ReadNow(now)
		if r.Request(now, true) != nil {
			t.Error("got a request within the backoff after a failed read")
		}
		now = now.Add(settings.Backoff)
	}
	if !r.Down() {
		t.Errorf("got not down after %d failures", DownAfter)
	}
	r.Request(now, false)
	r.ReadDone(now, 0)
	if r.Down() {
		t.Error("got down after a successful read")
	}
}

func TestReaderRestartsAfterTruncation(t *testing.T) {
	r := NewReader(settings)
	r.Request(start, false)
	r.ReadDone(start, 0)
	if r.Overtaken(0) || !r.Overtaken(5) {
		t.Fatal("want overtaken by a first offset of 5, and not by one of 0")
	}
	r.Restart(5)
	r.ReadDone(start, 9)
	if r.CaughtUp() || r.Next() != 5 {
		t.Errorf("got next %d and caught up %v, want 5 and false", r.Next(), r.CaughtUp())
	}
}

func TestStatusOf(t *testing.T) {
	for want, err := range map[AppendStatus]error{
		AppendDone:    nil,
		AppendFailed:  fmt.Errorf("append: %w", platform.ErrNotAppended),
		AppendUnknown: errors.New("connection reset"),
	} {
		if got := StatusOf(err); got != want {
			t.Errorf("error %v: got status %d, want %d", err, got, want)
		}
	}
}
