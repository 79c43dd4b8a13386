package gateway

import "time"

// An instance that gets too little processor time still answers, but late: as a
// broker or coordinator it would slow down its whole zone. It detects this by the
// rate at which its control goroutine processes ticks.

const (
	// stallWindow is the time over which ticks are counted.
	stallWindow = 400 * time.Millisecond
	// maxSlowTicks is the highest number of ticks in a window with which the instance
	// counts as slow: half of those that are due.
	maxSlowTicks = 10
	// slowPeriod is how long an instance is ineligible for roles after it was found
	// slow. Each relapse doubles the time, up to maxSlowPeriod.
	slowPeriod    = 3 * time.Second
	maxSlowPeriod = 30 * time.Second
	// relapseWindow is how long after the end of a slow period another one counts as
	// a relapse.
	relapseWindow = 20 * time.Second
)

// stallDetector detects that the instance is too slow for roles.
type stallDetector struct {
	windowStart time.Time
	ticks       int // ticks since windowStart
	// slowUntil is when the instance may hold roles again; slowFor is the length
	// of the last slow period.
	slowUntil time.Time
	slowFor   time.Duration
}

// tick counts a tick and reports whether the instance is slow.
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

// extend starts a slow period, or restarts the present one with the same length.
func (d *stallDetector) extend(now time.Time) {
	switch {
	case now.Before(d.slowUntil): // still slow, not a relapse
	case now.Sub(d.slowUntil) < relapseWindow:
		d.slowFor = min(2*d.slowFor, maxSlowPeriod)
	default:
		d.slowFor = slowPeriod
	}
	d.slowUntil = now.Add(d.slowFor)
}
