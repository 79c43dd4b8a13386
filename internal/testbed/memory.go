package testbed

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// PeakBytes returns the most memory that a process has had, as the kernel has it.
func PeakBytes(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10, trace.Wrap(err)
		}
	}
	return 0, trace.NotFound("no VmHWM")
}
