package gateway

import (
	"sync"
	"time"
)

// An endpoint ends a response that stays unread for some seconds, as it does when this process stands still.

// maxStandstill is how long the process may stand still before an endpoint may have ended a response.
const maxStandstill = time.Second

// standstill notices that the process has stood still: it was frozen, or its machine suspended. It is safe for
// concurrent use.
type standstill struct {
	mu sync.Mutex
	// lastTick is when tick was last called, by bootTime; 0 for never.
	lastTick time.Duration
	// endedAt is when the last standstill ended.
	endedAt time.Time
}

// tick is called regularly, at intervals far below maxStandstill.
func (s *standstill) tick(now time.Time, boot time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastTick > 0 && boot-s.lastTick >= maxStandstill {
		s.endedAt = now
	}
	s.lastTick = boot
}

// since reports whether the process has stood still since a time.
func (s *standstill) since(at time.Time, boot time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endedAt.After(at) || s.lastTick > 0 && boot-s.lastTick >= maxStandstill
}
