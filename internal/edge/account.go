package edge

import (
	"sync"
	"time"

	"github.com/medlarhold/medlarhold/internal/intake"
)

// Backlog is what an instance holds for its callers and endpoints at one moment.
type Backlog struct {
	// HeldBytes is the size of the connections, heads, request bodies and unread answers in memory, LimitBytes how
	// much there may be.
	HeldBytes  int64 `json:"held_bytes"`
	LimitBytes int64 `json:"limit_bytes"`
	// SlowCallers is the number of callers that keep a write waiting.
	SlowCallers int `json:"slow_callers"`
	// LetGo is the number of callers that were let go since the start.
	LetGo int64 `json:"let_go"`
}

// Backlog returns what is held now.
func (s *Server) Backlog() Backlog {
	standing := s.account.Standing()
	return Backlog{HeldBytes: standing.HeldBytes, LimitBytes: standing.LimitBytes, SlowCallers: standing.SlowCallers, LetGo: standing.LetGo}
}

// holding is what is held for one request: a part of what is held for its connection. Its methods are safe for
// concurrent use.
type holding struct {
	*intake.Holding
	// own is set if the request came through no intake.Listener, so that nothing else is held for its connection.
	own bool

	mu sync.Mutex
	// writing is set while bytes are written to the caller, since writingSince.
	writing      bool
	writingSince time.Time
	// ended is set once nothing is held for the request any more.
	ended bool
	// held is the size of its body and its unread answer.
	held int64
}

// newHolding returns the holding of a request. abort ends a write to the caller that is blocked.
func (s *Server) newHolding(conn *intake.Conn, abort func()) *holding {
	if conn == nil {
		return &holding{Holding: s.account.Open(abort), own: true}
	}
	return &holding{Holding: conn.Holding()}
}

// grow counts n more bytes, for which clients may be let go. It returns false if there is no room for them.
func (h *holding) grow(n int64) bool {
	if !h.Grow(n) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held += n
	return true
}

// shrink counts n bytes less.
func (h *holding) shrink(n int64) {
	h.mu.Lock()
	n = min(n, h.held)
	h.held -= n
	h.mu.Unlock()
	h.Shrink(n)
}

// setSlow records that the caller has kept a write waiting since a time. The caller of it must hold h.mu.
func (h *holding) setSlow(since time.Time) {
	if !h.ended { // else the timer of a write has run out as the request ended
		h.SetSlow(since)
	}
}

// watch makes a spool notice that the caller is let go.
func (h *holding) watch(s *spool) {
	h.OnLetGo(func() { go s.wake() }) // the caller may hold the lock of another spool
	if h.LetGoCause() != "" {
		s.wake()
	}
}

// close ends the holding: nothing is held for the request any more.
func (h *holding) close() {
	h.mu.Lock()
	h.ended = true
	held := h.held
	h.held = 0
	h.mu.Unlock()
	if h.own {
		h.Close()
		return
	}
	h.OnLetGo(nil)
	h.SetReading()
	h.Shrink(held)
}
