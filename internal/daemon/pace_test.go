package daemon

import (
	"testing"
	"time"
)

// TestListReadsFitTheirBudget holds the average of list reads against its bound.
func TestListReadsFitTheirBudget(t *testing.T) {
	for rows := range 5000 {
		for searching, budget := range map[bool]float64{false: listBytesPerSec, true: searchBytesPerSec} {
			d := listInterval(rows, searching)
			if d < minListInterval || d > maxListInterval {
				t.Fatalf("%d rows: %v", rows, d)
			}
			perSec := float64(rows*listRowBytes) / d.Seconds()
			if perSec > 1.01*budget && d < maxListInterval {
				t.Fatalf("%d rows, searching %v: %.0f bytes a second", rows, searching, perSec)
			}
		}
	}
}

// TestEnginesAtRestAreAskedRarely follows an engine that falls to rest and
// comes into use again.
func TestEnginesAtRestAreAskedRarely(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &look{}
	for range 10 {
		l.seen(now, false)
	}
	if l.interval != maxRestInterval || l.inUse {
		t.Fatalf("at rest: %+v", l)
	}
	if l.seen(now, true); l.interval != pollInterval || !l.inUse || l.due.After(now.Add(pollInterval)) {
		t.Fatalf("in use: %+v", l)
	}
}

// TestNewOwnerAsksForTheLastEvents starts looks at engines of several ages.
func TestNewOwnerAsksForTheLastEvents(t *testing.T) {
	for newest, want := range map[uint64]uint64{0: 0, newcomerEvents: 0, 4000: 4000 - newcomerEvents} {
		l := &look{}
		if l.begin(newest); l.cursor.next != want {
			t.Errorf("newest event %d: asks from %d, want %d", newest, l.cursor.next, want)
		}
	}
	l := &look{cursor: cacheCursor{next: 7}}
	if l.begin(4000); l.cursor.next != 7 {
		t.Errorf("an owner that is not new asks from %d", l.cursor.next)
	}
}
