package intake

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

const (
	// minMemoryBytes is the least memory that a process is given: it does not start in less.
	minMemoryBytes = 64 << 20
	// heapPercent is the part of the memory that the Go runtime may take before it collects garbage at any cost. The rest
	// is for the program itself and for what exceeds that limit for moments.
	heapPercent = 68
	// accountPercent is the part of the memory that clients may take, and reservePercent what small requests may take
	// beyond it. What they leave of the heap is for the process itself and for garbage.
	accountPercent = 30
	reservePercent = 7
	// fileDescriptors is the number of descriptors that are not for sockets, if there are twice as many or more.
	fileDescriptors = 200
	// Parts of the sockets in percent: for callers, for each other listener, for connections of other instances that have
	// not proved their key, and for tunnels, which take two each. The rest is for connections that the process opens
	// itself, and for other instances.
	callersPercent   = 55
	othersPercent    = 3
	handshakePercent = 8
	tunnelsPercent   = 8
	// minConns is the least of these.
	minConns = 8
)

// Budget is what a process may use for its clients.
type Budget struct {
	// HeapBytes is the limit for the Go runtime, AccountBytes what clients may make the process hold, and ReserveBytes
	// what small requests may take beyond that.
	HeapBytes, AccountBytes, ReserveBytes int64
	// Callers is the number of callers' connections, Others that of each other listener for HTTP, Handshakes that of
	// connections of other instances that have not proved their key, and Tunnels that of connections to endpoints for
	// other instances.
	Callers, Others, Handshakes, Tunnels int
}

// NewBudget returns the budget of a process with a memory in bytes and a number of descriptors. Zeros stand for what
// the machine and the process's limits allow.
func NewBudget(memoryBytes int64, descriptors int) Budget {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes()
	}
	memoryBytes = max(memoryBytes, minMemoryBytes)
	part := func(percent int) int { return max(sockets(descriptors)*percent/100, minConns) }
	return Budget{
		HeapBytes: memoryBytes * heapPercent / 100, AccountBytes: memoryBytes * accountPercent / 100, ReserveBytes: memoryBytes * reservePercent / 100,
		Callers: part(callersPercent), Others: part(othersPercent), Handshakes: part(handshakePercent), Tunnels: part(tunnelsPercent),
	}
}

// LimitHeap makes the runtime collect garbage before the heap exceeds its part of the budget.
func (b Budget) LimitHeap() { debug.SetMemoryLimit(b.HeapBytes) }

// sockets returns how many sockets a process with a number of descriptors may have, 0 for what its limit allows.
func sockets(descriptors int) int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil && limit.Cur < math.MaxInt32 {
		if allowed := int(limit.Cur); descriptors <= 0 || allowed < descriptors {
			descriptors = allowed
		}
	}
	if descriptors <= 0 {
		descriptors = math.MaxInt32
	}
	return descriptors - min(fileDescriptors, descriptors/2)
}

// defaultMemoryBytes returns the limit that the environment sets for the Go runtime, or half of the machine's memory.
func defaultMemoryBytes() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	info, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(info)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		if kilobytes, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
			return kilobytes << 10 / 2
		}
	}
	return 0
}
