package broker

import "time"

// Besides the time for the prompt, an engine takes a fixed time to its first event: the network's
// round trip, the admission, the first steps. On some engines it is many times the time of a short
// prompt. If it were not known, requests would wait until just too late for it and be granted all
// the same. This answers the load of a pool that is asked for more than it can serve in time.

const (
	// fixedTimeWindow is how long a sample counts at least, and twice as long at most while answers
	// keep coming.
	fixedTimeWindow = 5 * time.Second
	// fixedTimeSamples is the number of samples of a window that is needed to use it.
	fixedTimeSamples = 16
)

// fixedTime estimates the time to a first event that does not depend on the prompt. No answer
// begins sooner than that, so it is the shortest time seen. Its zero value has seen none.
type fixedTime struct {
	current, previous fixedTimeSample
	// shortest is that of both windows, 0 while there are too few samples.
	shortest time.Duration
}

// fixedTimeSample is what was seen within one window.
type fixedTimeSample struct {
	since    time.Time
	shortest time.Duration
	count    int
}

// learn adds the time that an engine took to the first event of an answer.
func (f *fixedTime) learn(now time.Time, after time.Duration) {
	if after <= 0 {
		return
	}
	if now.Sub(f.current.since) >= fixedTimeWindow {
		f.previous, f.current = f.current, fixedTimeSample{since: now, shortest: after}
	}
	f.current.shortest = min(f.current.shortest, after)
	f.current.count++
	f.shortest = 0
	for _, s := range []fixedTimeSample{f.previous, f.current} {
		if s.count >= fixedTimeSamples && (f.shortest == 0 || s.shortest < f.shortest) {
			f.shortest = s.shortest
		}
	}
}

// estimate returns the fixed time, dispatchOverhead at least.
func (f *fixedTime) estimate() time.Duration { return max(dispatchOverhead, f.shortest) }

// beyondOverhead returns the part of the fixed time that exceeds dispatchOverhead.
func (f *fixedTime) beyondOverhead() time.Duration { return f.estimate() - dispatchOverhead }
