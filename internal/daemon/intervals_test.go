package daemon

import (
	"testing"
	"time"
)

// TestListReadsStayWithinBudget checks that list reads of a fleet of any size
// stay within the average traffic allowed for them and within the bounds of the
// interval.
func TestListReadsStayWithinBudget(t *testing.T) {
	for rows := range 5000 {
		for searching, budget := range map[bool]float64{false: listBytesPerSec, true: searchBytesPerSec} {
			d := listInterval(rows, searching)
			if d < minListInterval || d > maxListInterval {
				t.Fatalf("%d rows: got interval %v, want %v to %v", rows, d, minListInterval, maxListInterval)
			}
			perSec := float64(rows*listRowBytes) / d.Seconds()
			if perSec > 1.01*budget && d < maxListInterval {
				t.Fatalf("%d rows, searching %v: got %.0f bytes per second, want at most %.0f", rows, searching, perSec, budget)
			}
		}
	}
}

// TestIdleEnginesArePolledLessOften checks that the poll interval of an engine
// grows to its maximum while the engine is idle, and returns to the regular one
// as soon as the engine is in use.
func TestIdleEnginesArePolledLessOften(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &pollState{}
	for range 10 {
		s.update(now, false)
	}
	if s.interval != maxIdleInterval || s.inUse {
		t.Fatalf("idle engine: got %+v, want interval %v", s, maxIdleInterval)
	}
	if s.update(now, true); s.interval != pollInterval || !s.inUse || s.due.After(now.Add(pollInterval)) {
		t.Fatalf("engine in use: got %+v, want interval %v", s, pollInterval)
	}
}

// TestNewOwnerReadsOnlyTheLatestEvents checks that a new owner of an engine reads
// at most its initialCacheEvents latest cache events, and that an owner that has
// read events before continues at its cursor.
func TestNewOwnerReadsOnlyTheLatestEvents(t *testing.T) {
	for newest, want := range map[uint64]uint64{0: 0, initialCacheEvents: 0, 4000: 4000 - initialCacheEvents} {
		s := &pollState{}
		if s.startCursor(newest); s.cursor.next != want {
			t.Errorf("newest event %d: got cursor %d, want %d", newest, s.cursor.next, want)
		}
	}
	s := &pollState{cursor: cacheCursor{next: 7}}
	if s.startCursor(4000); s.cursor.next != 7 {
		t.Errorf("cursor of an owner that has read events: got %d, want 7", s.cursor.next)
	}
}
