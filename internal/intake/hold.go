package intake

import "net/http"

// Hold is what a handler holds for a request. It ends with the request. The zero value counts nothing.
type Hold struct{ conn *Conn }

// HoldOf returns what the handler of a request holds for it. It counts nothing if the request came through no Listener.
func HoldOf(r *http.Request) Hold { return Hold{ConnOf(r)} }

// Grow counts n more bytes, and reports whether there is room for them.
func (h Hold) Grow(n int64) bool {
	if h.conn == nil {
		return true
	}
	h.conn.mu.Lock()
	defer h.conn.mu.Unlock()
	if !h.conn.holding.Grow(n) {
		return false
	}
	h.conn.held += n
	return true
}

// Shrink counts n bytes less.
func (h Hold) Shrink(n int64) {
	if h.conn == nil {
		return
	}
	h.conn.mu.Lock()
	defer h.conn.mu.Unlock()
	n = min(n, h.conn.held)
	h.conn.held -= n
	h.conn.holding.Shrink(n)
}
