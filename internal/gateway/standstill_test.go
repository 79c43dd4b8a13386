package gateway

import (
	"testing"
	"time"
)

// Responses that were under way while the process stood still may have been ended unread.
func TestStandstillIsNoticed(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) (time.Time, time.Duration) { return start.Add(d), time.Hour + d }
	var s standstill
	since := func(began, now time.Duration) bool {
		from, _ := at(began)
		_, boot := at(now)
		return s.since(from, boot)
	}
	if since(0, time.Minute) {
		t.Error("stood still before the first tick")
	}
	for d := time.Duration(0); d < time.Second; d += 100 * time.Millisecond {
		s.tick(at(d))
	}
	if since(0, time.Second) {
		t.Error("stood still while ticks were regular")
	}
	if !since(0, 4*time.Second) {
		t.Error("a standstill goes unnoticed until the next tick")
	}
	s.tick(at(4 * time.Second))
	if !since(0, 4*time.Second) || !since(3*time.Second, 5*time.Second) {
		t.Error("a standstill goes unnoticed after the next tick")
	}
	if since(4*time.Second, 4100*time.Millisecond) {
		t.Error("a response that began after the standstill is in doubt")
	}
}
