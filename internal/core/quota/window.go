package quota

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// windowSlots is the number of parts of a limit's window that are counted apart. Use expires a
// part at a time, at most one part late.
const windowSlots = 32

// UseWindow counts what was used within a limit's window.
type UseWindow struct {
	length time.Duration
	// grant is what the limit grants within the window.
	grant float64
	// begun is since when all use is counted.
	begun time.Time
	// slots holds the use by part of the window, the current one at index current, which
	// began at slotAt.
	slots   [windowSlots + 1]float64
	current int
	slotAt  time.Time
}

func newWindow(now time.Time, l Limit) *UseWindow {
	return &UseWindow{length: l.Window, grant: l.grant(), begun: now, slotAt: now}
}

// rescale makes the window that of a changed limit: what was used of the limit before counts as
// the same share of the limit in force. An organisation whose limit is lowered isn't
// refused for what it was allowed to use.
func (w *UseWindow) rescale(l Limit) {
	grant := l.grant()
	if grant == w.grant || grant <= 0 || w.grant <= 0 {
		return
	}
	for i := range w.slots {
		w.slots[i] *= grant / w.grant
	}
	w.grant = grant
}

// advance begins the parts of the window that are due, and forgets the oldest.
func (w *UseWindow) advance(now time.Time) {
	slot := w.length / windowSlots
	due := int(now.Sub(w.slotAt) / slot)
	if due <= 0 {
		return
	}
	w.slotAt = w.slotAt.Add(time.Duration(due) * slot)
	for range min(due, len(w.slots)) {
		w.current = (w.current + 1) % len(w.slots)
		w.slots[w.current] = 0
	}
}

func (w *UseWindow) add(now time.Time, amount float64) {
	w.advance(now)
	w.slots[w.current] += amount
}

// used returns what was used within the window.
func (w *UseWindow) used(now time.Time) float64 {
	w.advance(now)
	sum := 0.0
	for _, use := range w.slots {
		sum += use
	}
	return sum
}

// complete reports whether all use within the window is counted.
func (w *UseWindow) complete(now time.Time) bool { return now.Sub(w.begun) >= w.length }

// grant returns what the limit grants within its window.
func (l Limit) grant() float64 { return l.Rate*l.Window.Seconds() + l.Burst }

// extraRate returns the rate beyond Rate at which use may go on for a whole window within what
// the limit grants there: the burst, spread over the window; 0 for a limit without a window.
func (l Limit) extraRate() float64 {
	if l.Window <= 0 {
		return 0
	}
	return l.Burst / l.Window.Seconds()
}

// updateWindow creates the bucket's window if the limit has one, with what is known of the past.
func (l *Ledger) updateWindow(now time.Time, org entity.OrgID, b *bucket, limit Limit) {
	switch {
	case limit.Window <= 0:
		b.window = nil
	case b.window != nil && b.window.length == limit.Window:
		b.window.rescale(limit)
	default:
		b.window = l.pastWindow(now, org, limit)
	}
}

// pastWindow returns the window of a new bucket.
func (l *Ledger) pastWindow(now time.Time, org entity.OrgID, limit Limit) *UseWindow {
	if l.past != nil {
		if w := l.past(now, org); w != nil && w.length == limit.Window {
			w.rescale(limit)
			return w
		}
	}
	return newWindow(now, limit)
}

// extra returns the rate at which the bucket refills beyond its flow: only while all use of the
// window is known.
func (b *bucket) extra(now time.Time, limit Limit, r reach) float64 {
	if b.window == nil || !b.window.complete(now) || r.unreachable > 0 || r.unheard > 0 {
		return 0
	}
	return limit.extraRate()
}

// chargeOthers counts what instances that can't be reached are taken to use in d seconds: the
// part of the limit that this side doesn't refill.
func (b *bucket) chargeOthers(now time.Time, limit Limit, refill, d float64) {
	if b.window != nil && refill < limit.Rate {
		b.window.add(now, (limit.Rate-refill)*d)
	}
}

// room returns what may still be used within the limit's window.
func (b *bucket) room(now time.Time, limit Limit) float64 {
	if b.window == nil {
		return limit.Burst
	}
	return limit.grant() - b.window.used(now)
}

// statedUse returns Account.Used.
func (b *bucket) statedUse() float64 {
	if b.window == nil {
		return 0
	}
	return b.used
}
