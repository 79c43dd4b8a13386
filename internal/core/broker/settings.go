package broker

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// TickInterval is the maximum time between two calls of Tick.
const TickInterval = 20 * time.Millisecond

// Settings configures a Broker.
type Settings struct {
	// Zone is the availability zone whose endpoints the broker grants.
	Zone entity.ZoneID
	// SlotShare, if above 0, is the fraction of each engine's slots that the broker may use: an
	// instance that can't reach the zone's broker grants itself this share. Self is that instance;
	// together with the engine's id it decides where fractions of a slot are rounded up.
	SlotShare float64
	Self      entity.InstanceID
	// LateBacklog bounds how many late requests wait: a late request is refused if all slots
	// together would take longer than this to serve it and all requests before it in the queue.
	LateBacklog time.Duration
	// LateWaitFraction is the fraction of the time between its arrival and its deadline after which
	// a waiting late request is refused.
	LateWaitFraction float64
}

// DefaultSettings returns the settings of the broker of a zone.
func DefaultSettings(zone entity.ZoneID) Settings {
	return Settings{Zone: zone, LateBacklog: 500 * time.Millisecond, LateWaitFraction: 0.25}
}

const (
	// maxStepGap is the time between two steps above which the broker discards its state about
	// requests as out of date.
	maxStepGap = 700 * time.Millisecond
	// runExpiry is how long a run whose end is never reported occupies its slot, counted from the
	// deadline for its first event. It is longer than any answer takes.
	runExpiry = 15 * time.Second
	// orphanExpiry is how long the slots of a lost entry stay occupied: its connections are reset,
	// and most engines then drop the request.
	orphanExpiry = 300 * time.Millisecond
	// dispatchOverhead is the least part of the time to the first event that does not depend on the
	// prompt: the network round trip to the engine and the engine's first step. See fixedTime.
	dispatchOverhead = 12 * time.Millisecond
	// endFactor is the safety margin on the estimated time to the end of an answer. A quarter of
	// all answers are at least 1.4 times as long as their callers expected.
	endFactor = 1.5
	// safetyFactor is the safety margin on the estimated time to the first event.
	safetyFactor = 1.25
	// An engine counts as unresponsive if a request there has not begun after overdueFactor times
	// the expected time, and not before minOverdue.
	overdueFactor = 4
	minOverdue    = 600 * time.Millisecond
	// entryActiveWithin is how long after its last message an entry counts as reachable.
	entryActiveWithin = 500 * time.Millisecond
	// refusalPause is how long an engine that refused a request is granted no further ones. It
	// doubles up to maxPauseDoublings times while no connection can be opened.
	refusalPause      = 250 * time.Millisecond
	maxPauseDoublings = 3
	// brittlePause is how long a brittle engine that declined a request is granted no further ones.
	brittlePause = time.Second
	// failurePause is how long an engine that fails too often is granted no requests.
	failurePause = 2 * time.Second
	// failureWeight is the weight of the latest outcome in an engine's failure rate, a moving
	// average. An engine whose rate reaches failureLimit is paused.
	failureWeight = 0.2
	failureLimit  = 0.3
	// loadTimeout is how long a request waits at a broker that has just started and knows no endpoint
	// yet.
	loadTimeout = 400 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay that refused callers are given.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// spillReserve is how many free slots of a remote zone are left to that zone's own requests.
	spillReserve = 2
	// minSpillGain is by how much the expected wait must be shorter in a remote zone for a request
	// to be forwarded while neither zone has a free slot. Crossing zones costs time and bytes.
	minSpillGain = 80 * time.Millisecond
	// zoneStateExpiry is how long the last reported state of a remote zone is used.
	zoneStateExpiry = 400 * time.Millisecond
)
