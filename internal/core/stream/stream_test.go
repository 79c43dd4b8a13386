package stream

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/platform"
)

var (
	start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	set   = ReaderSettings{Stream: "s", Limit: 10, Interval: 2 * time.Second, Wait: 500 * time.Millisecond, Backoff: time.Second, Timeout: 3 * time.Second}
)

func TestReaderCatchesUpBeforeItRests(t *testing.T) {
	r := NewReader(set)
	for from := platform.Offset(0); from < 20; from += 10 {
		req := r.Request(start, false)
		if req == nil || req.From != from || req.Wait != 0 {
			t.Fatalf("from %d: %+v", from, req)
		}
		if r.Request(start, true) != nil {
			t.Fatal("two reads under way")
		}
		if r.CaughtUp() {
			t.Fatalf("caught up at %d of 20", from)
		}
		for o := from; o < from+10; o++ {
			if !r.Accept(o) || r.Accept(o) {
				t.Fatalf("record %d", o)
			}
		}
		r.ReadDone(start, 20)
	}
	if !r.CaughtUp() || !r.AtEnd() || r.Request(start, false) != nil {
		t.Error("doesn't rest")
	}
	if req := r.Request(start, true); req == nil || req.Wait != set.Wait {
		t.Errorf("something waits: %+v", req)
	}
}

func TestReaderReadsNowAndThenWhileNothingWaits(t *testing.T) {
	r := NewReader(set)
	r.Request(start, false)
	r.ReadDone(start, 0)
	if r.Request(start.Add(set.Interval-1), false) != nil || r.Request(start.Add(set.Interval), false) == nil {
		t.Error("not after Interval")
	}
}

func TestReaderIsDownAfterFailuresInARow(t *testing.T) {
	r := NewReader(set)
	now := start
	for range DownAfter {
		if r.Down() {
			t.Fatal("down too early")
		}
		r.Request(now, false)
		r.ReadFailed(now, platform.ErrUnavailable)
		r.ReadNow(now)
		if r.Request(now, true) != nil {
			t.Error("no pause")
		}
		now = now.Add(set.Backoff)
	}
	if !r.Down() {
		t.Error("not down")
	}
	r.Request(now, false)
	r.ReadDone(now, 0)
	if r.Down() {
		t.Error("still down")
	}
}

func TestOvertakenReaderStartsOver(t *testing.T) {
	r := NewReader(set)
	r.Request(start, false)
	r.ReadDone(start, 0)
	if r.Overtaken(0) || !r.Overtaken(5) {
		t.Fatal("overtaken or not")
	}
	r.Restart(5)
	r.ReadDone(start, 9)
	if r.CaughtUp() || r.Next() != 5 {
		t.Errorf("next %d, caught up %v", r.Next(), r.CaughtUp())
	}
}

func TestStatusOf(t *testing.T) {
	for want, err := range map[AppendStatus]error{
		AppendDone:    nil,
		AppendFailed:  fmt.Errorf("append: %w", platform.ErrNotAppended),
		AppendUnknown: errors.New("connection reset"),
	} {
		if got := StatusOf(err); got != want {
			t.Errorf("%v: %d", err, got)
		}
	}
}
