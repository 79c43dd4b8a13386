package gateway

import "time"

// An instance whose processor time has been cut still answers, but late: as a
// broker or coordinator it would slow its whole zone down. It notices by the
// ticks of its control goroutine that come too seldom.

const (
	// stallWindow is the time over which ticks are counted.
	stallWindow = 400 * time.Millisecond
	// maxSlowTicks is the number of ticks in a window from which down the instance
	// is slow: half of those that are due.
	maxSlowTicks = 10
	// slowPeriod is how long an instance goes without roles at first, and
	// maxSlowFor at most, as each relapse doubles the time.
	slowPeriod    = 3 * time.Second
	maxSlowPeriod = 30 * time.Second
	// relapseWindow is the time after which slowness counts as new.
	relapseWindow = 20 * time.Second
)

// stallDetector tells whether the instance is too slow for roles.
type stallDetector struct {
	windowStart time.Time // start of the window
	ticks       int
	// slowUntil is when the instance may have roles again, lasted for how long it
	// was to go without them.
	slowUntil  time.Time
	suspension time.Duration
}

// tick counts a tick and says whether the instance is slow.
func (d *stallDetector) tick(now time.Time) bool {
	if d.windowStart.IsZero() {
		d.windowStart = now
	}
	d.ticks++
	if now.Sub(d.windowStart) >= stallWindow {
		if d.ticks <= maxSlowTicks {
			d.extend(now)
		}
		d.windowStart, d.ticks = now, 0
	}
	return now.Before(d.slowUntil)
}

// extend begins or goes on with a time without roles.
func (d *stallDetector) extend(now time.Time) {
	switch {
	case now.Before(d.slowUntil): // slow still
	case now.Sub(d.slowUntil) < relapseWindow:
		d.suspension = min(2*d.suspension, maxSlowPeriod)
	default:
		d.suspension = slowPeriod
	}
	d.slowUntil = now.Add(d.suspension)
}
