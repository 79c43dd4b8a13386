package appointment

import "time"

const (
	// early and late bound when a caller counts as coming back at its appointment, before and after
	// the moment. Callers measure the time by clocks of their own, and connect anew.
	early = 150 * time.Millisecond
	late  = time.Second
	// maxAppointments bounds the appointments in a Book.
	maxAppointments = 4096
)

// Book holds the appointments of one pool.
type Book struct {
	byKey map[uint64]time.Time
	// next is the earliest moment for the next appointment of each rank.
	next map[int]time.Time
	// fresh holds what Fresh has not returned yet.
	fresh []Appointment
	stats Stats
}

// Appointment is a moment at which the request with a key is expected back.
type Appointment struct {
	Key uint64
	At  time.Time
}

// Stats counts appointments since the start.
type Stats struct {
	// Made were told to callers by this book. Kept and Missed count how appointments ended, also those
	// that were learned from others.
	Made   int64 `json:"made"`
	Kept   int64 `json:"kept"`
	Missed int64 `json:"missed"`
	// None counts refused requests that got no appointment: no room in time, no key, or too many of them.
	None int64 `json:"none"`
}

// Need describes the appointment that a refused request needs.
type Need struct {
	Key  uint64
	Rank int
	// Earliest is when there may first be room, Latest when the caller comes back at the latest.
	Earliest, Latest time.Time
	// Pace is how long it takes until there is room for such a request, 0 if there will be none.
	Pace time.Duration
}

// New returns an empty Book.
func New() *Book {
	return &Book{byKey: make(map[uint64]time.Time), next: make(map[int]time.Time)}
}

// Make makes an appointment, or returns the one that the key has already. It returns false if there
// is no room in time.
func (b *Book) Make(n Need) (time.Time, bool) {
	if at, ok := b.byKey[n.Key]; ok && !at.Before(n.Earliest) && !at.After(n.Latest) {
		return at, true
	}
	at := n.Earliest
	if next := b.next[n.Rank]; next.After(at) {
		at = next
	}
	if n.Key == 0 || n.Pace <= 0 || at.After(n.Latest) || len(b.byKey) >= maxAppointments {
		b.stats.None++
		return time.Time{}, false
	}
	b.next[n.Rank] = at.Add(n.Pace)
	b.byKey[n.Key] = at
	if len(b.fresh) < maxAppointments {
		b.fresh = append(b.fresh, Appointment{Key: n.Key, At: at})
	}
	b.stats.Made++
	return at, true
}

// Learn adds an appointment that another instance has made.
func (b *Book) Learn(a Appointment) {
	if _, ok := b.byKey[a.Key]; ok || a.Key == 0 || len(b.byKey) >= maxAppointments {
		return
	}
	b.byKey[a.Key] = a.At
}

// Keep reports whether the caller of a request has come back at its appointment, which then ends. One
// who is early keeps it.
func (b *Book) Keep(now time.Time, key uint64) bool {
	at, ok := b.byKey[key]
	if !ok || now.Before(at.Add(-early)) {
		return false
	}
	delete(b.byKey, key)
	if now.After(at.Add(late)) {
		b.stats.Missed++
		return false
	}
	b.stats.Kept++
	return true
}

// Expire ends the appointments that were not kept.
func (b *Book) Expire(now time.Time) {
	for key, at := range b.byKey {
		if now.After(at.Add(late)) {
			delete(b.byKey, key)
			b.stats.Missed++
		}
	}
}

// Fresh returns the next appointments, up to n, that it has not returned yet, in the order in which
// they were made.
func (b *Book) Fresh(n int) []Appointment {
	n = min(n, len(b.fresh))
	f := b.fresh[:n:n]
	b.fresh = b.fresh[n:]
	return f
}

// Stats returns the numbers of appointments since the start. Those that were learned count as kept or
// missed as well.
func (b *Book) Stats() Stats { return b.stats }

// Len returns the number of appointments.
func (b *Book) Len() int { return len(b.byKey) }
