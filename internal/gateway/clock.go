package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine was started. Unlike the monotonic clock
// of time.Time, this clock advances while the machine is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The system has no such clock: fall back to the monotonic clock.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
