package storeera

import "time"

// SettleTime is how long after a replacement of the store the operator may take to publish
// again what was lost, to an instance that had a recent proof before. It must leave time before that proof is
// too old for keys. LongSettleTime is the time for an instance that had none: it may lack versions that are
// older than the replacement.
const (
	SettleTime     = time.Second
	LongSettleTime = 2750 * time.Millisecond
)

// NoEra is an era that no store has.
const NoEra int64 = -1

// FromStart is the offset that requests the complete present state.
const FromStart int64 = -1

// Position is a position in a topic of the store.
type Position struct {
	// Era is the store's era in which Offset is valid.
	Era int64
	// Offset is that of the next record to read, or FromStart.
	Offset int64
}

// Start returns the position that requests the complete present state of an era.
func Start(era int64) Position { return Position{Era: era, Offset: FromStart} }

// Result is what a read of the store is worth.
type Result int

// The results.
const (
	// Use: the records follow those that were read before.
	Use Result = iota
	// Restart: the store was replaced since the position was valid. The complete state
	// must be read.
	Restart
	// Discard: the response comes from an earlier era than the newest one known.
	Discard
)

// Judge returns what a read from position asked is worth whose response has era got, if the
// newest era known is newest.
func Judge(newest int64, asked Position, got int64) Result {
	switch {
	case got < newest:
		return Discard
	case asked.Offset != FromStart && asked.Era != got:
		return Restart
	}
	return Use
}

// Tracker tracks the store's era.
type Tracker struct {
	// firstStart is set until the first era is seen if the deployment has just been started for the first time.
	firstStart bool
	known      bool
	era        int64
	// replacedAt is when the present era was found to follow another one, or may have followed one. It is zero if
	// there was none, or if the operator has had settle to publish again what was lost.
	replacedAt time.Time
	settle     time.Duration
	// confirmed is the newest era that others have found to be settled, NoEra for none.
	confirmed int64
	// shown is the newest version that the store has shown in the present era.
	shown int64
	// published is set once a configuration was published in the present era.
	published bool
}

// NewTracker returns a Tracker that knows no era. firstStart is set if the deployment has just been started for
// the first time, so that the store can't have lost anything.
func NewTracker(firstStart bool) Tracker { return Tracker{firstStart: firstStart, confirmed: NoEra} }

// Era returns the newest era known, 0 for none.
func (t *Tracker) Era() int64 { return t.era }

// ObserveEra processes the era of a response, and reports whether the store was replaced
// since the last one. proved is set if this instance had a recent proof before.
func (t *Tracker) ObserveEra(now time.Time, era int64, proved bool) bool {
	switch {
	case !t.known:
		t.known, t.era = true, era
		if !t.firstStart {
			// The store may have been replaced just before this process was started.
			t.replacedAt, t.settle = now, LongSettleTime
		}
		return false
	case era <= t.era:
		return false
	}
	*t = Tracker{known: true, era: era, replacedAt: now, settle: LongSettleTime, confirmed: t.confirmed}
	if proved {
		t.settle = SettleTime
	}
	return true
}

// Confirm processes an era that another instance has found to be settled.
func (t *Tracker) Confirm(era int64) { t.confirmed = max(t.confirmed, era) }

// RecordRead records that a read in the present era has returned a configuration of the
// given version, 0 for none. complete is set if the read returned the present state, and
// not what was published since another read.
func (t *Tracker) RecordRead(version int64, complete bool) {
	if version == 0 {
		return
	}
	t.shown = max(t.shown, version)
	t.published = t.published || !complete
}

// Settled reports whether reads are not in doubt.
func (t *Tracker) Settled() bool {
	return t.known && (t.replacedAt.IsZero() || t.confirmed == t.era)
}

// Proves reports whether a read that began at the given time and has just succeeded proves that the version in
// force is the newest. known is the newest version that another instance is known to have.
func (t *Tracker) Proves(began time.Time, inForce, known int64) bool {
	switch {
	case known > inForce:
		return false // it was read in an earlier era, or published since this read began
	case t.replacedAt.IsZero():
		return true
	case t.shown < inForce:
		return false
	case !t.Settled() && !t.published && began.Sub(t.replacedAt) < t.settle:
		return false
	}
	t.replacedAt = time.Time{}
	return true
}
