package broker

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// TickInterval is the longest time between two calls of Tick.
const TickInterval = 20 * time.Millisecond

// Settings of a Broker.
type Settings struct {
	// Zone is the availability zone whose endpoints are granted.
	Zone entity.ZoneID
	// SlotShare, if above 0, is the part of the slots that may be used: an instance
	// that can't reach its broker grants itself so much. Self is that instance,
	// which decides where parts of a slot are rounded up.
	SlotShare float64
	Self      entity.InstanceID
	// LateBacklog bounds the late requests that wait, by the time that all
	// slots together would take to serve them.
	LateBacklog time.Duration
	// LateWaitFraction is the share of the time in which its answer must begin that a
	// request may wait here while late.
	LateWaitFraction float64
}

// DefaultSettings returns the settings of a zone's broker.
func DefaultSettings(zone entity.ZoneID) Settings {
	return Settings{Zone: zone, LateBacklog: 500 * time.Millisecond, LateWaitFraction: 0.25}
}

const (
	// awayAfter is the time without a step after which the broker was away.
	awayAfter = 700 * time.Millisecond
	// runsFor is how long past the time for its first event a run counts whose
	// end was not told: longer than any answer takes.
	runsFor = 15 * time.Second
	// orphanFor is how long the slots of an entry that is gone stay taken: its
	// connections are reset, and most engines then drop the request.
	orphanFor = 300 * time.Millisecond
	// dispatchOverhead is what a first event takes beside the prompt: the way
	// to the engine and back, and the engine's own first step.
	dispatchOverhead = 12 * time.Millisecond
	// endFactor is kept between the estimate of a whole answer and the time in
	// which it must have come: a quarter of the answers are 1.4 times as long as
	// their callers expected, or more.
	endFactor = 1.5
	// safetyFactor is kept between an estimate and the target.
	safetyFactor = 1.25
	// overdueFactor and minOverdue say when an engine that has not begun a
	// request is taken for silent.
	overdueFactor = 4
	minOverdue    = 600 * time.Millisecond
	// heardLately is how long after its last message an entry counts as there.
	heardLately = 500 * time.Millisecond
	// shedPause is how long an engine gets nothing that refused a request.
	shedPause = 250 * time.Millisecond
	// failurePause is how long an engine gets nothing that fails too often.
	failurePause = 2 * time.Second
	// failureWeight is the weight of the latest outcome in an engine's failure
	// rate, failureLimit the rate that has it passed over.
	failureWeight = 0.2
	failureLimit  = 0.3
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// spillReserve is how many free slots are left to the other zone's own requests.
	spillReserve = 2
	// spillGain is by how much a request must wait less in another zone to be
	// passed on while neither has a free slot: the way there costs time and bytes.
	spillGain = 80 * time.Millisecond
	// stateFresh is how long another zone's word on its free slots counts.
	stateFresh = 400 * time.Millisecond
)
