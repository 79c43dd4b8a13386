package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime is the time since the machine's start on the clock that goes on
// while the machine is suspended, which the clock behind time.Time does not.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// No such clock: the monotonic one is all there is.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
