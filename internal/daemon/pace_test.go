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
