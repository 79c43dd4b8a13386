package admission

import "time"

// floors holds, per tier, until when nothing below that tier may be granted.
type floors []time.Time

func (f floors) promise(t int, until time.Time) {
	if until.After(f[t]) {
		f[t] = until
	}
}

// allow says that no promise keeps tier t out.
func (f floors) allow(now time.Time, t int) bool {
	for _, until := range f[:t] {
		if now.Before(until) {
			return false
		}
	}
	return true
}
