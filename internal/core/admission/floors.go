package admission

import "time"

// floors holds, for each tier, the time until which nothing below that tier may
// be granted a slot.
type floors []time.Time

// extend forbids the tiers below t at least until the given time.
func (f floors) extend(t int, until time.Time) {
	if until.After(f[t]) {
		f[t] = until
	}
}

// allow reports whether no guarantee forbids tier t.
func (f floors) allow(now time.Time, t int) bool {
	for _, until := range f[:t] {
		if now.Before(until) {
			return false
		}
	}
	return true
}
