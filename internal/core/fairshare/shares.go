package fairshare

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// catchUp is how far the level of an idle organisation may lag behind the floor: enough for
	// the next few requests of somebody who sends one at a time.
	catchUp = time.Second
	// maxWeight is the highest relative weight, and its inverse the lowest. An organisation with a
	// much larger contract must not starve the others.
	maxWeight = 16
	// maxAccounts bounds the organisations whose levels are kept.
	maxAccounts = 20_000
)

// Shares holds the service that organisations have received.
type Shares struct {
	// levels holds the levels above the floor less catchUp; all others have that one.
	levels map[entity.OrgID]time.Duration
	floor  time.Duration
	// meanWeight is the mean weight of the organisations in the last Order, 0 if none is known.
	meanWeight float64
	// positions is used while requests are grouped.
	positions map[entity.OrgID]int
	// sweepAt is the number of levels at which outdated ones are dropped, sweptFloor the floor when that
	// was last done.
	sweepAt    int
	sweptFloor time.Duration
}

// minSweep is the number of levels that are kept without a look for outdated ones.
const minSweep = 64

// New returns Shares of organisations that have received nothing.
func New() *Shares {
	return &Shares{levels: make(map[entity.OrgID]time.Duration), positions: make(map[entity.OrgID]int), sweepAt: minSweep}
}

// Charge records that a request of an organisation got a slot, for the given estimated time.
func (s *Shares) Charge(org entity.OrgID, weight float64, service time.Duration) {
	level := s.level(org)
	s.floor = max(s.floor, level)
	s.set(org, level+s.scaled(weight, service))
}

// Correct adds the difference between the service that a request received and the one charged for
// it.
func (s *Shares) Correct(org entity.OrgID, weight float64, difference time.Duration) {
	s.set(org, s.level(org)+s.scaled(weight, difference))
}

// HasShare reports whether an organisation has lately received about as much as those that receive
// most.
func (s *Shares) HasShare(org entity.OrgID) bool { return s.level(org) >= s.floor-catchUp/2 }

// Len returns the number of organisations whose levels are kept.
func (s *Shares) Len() int { return len(s.levels) }

func (s *Shares) lowest() time.Duration { return s.floor - catchUp }

func (s *Shares) level(org entity.OrgID) time.Duration {
	if level, ok := s.levels[org]; ok {
		return max(level, s.lowest())
	}
	return s.lowest()
}

// set changes a level. Levels beyond maxAccounts are not kept: these organisations count as idle.
func (s *Shares) set(org entity.OrgID, level time.Duration) {
	if level <= s.lowest() {
		delete(s.levels, org)
		return
	}
	if len(s.levels) >= s.sweepAt && s.floor >= s.sweptFloor+catchUp/4 {
		s.sweep()
	}
	if _, ok := s.levels[org]; ok || len(s.levels) < maxAccounts {
		s.levels[org] = level
	}
}

// sweep drops the levels that the floor has overtaken.
func (s *Shares) sweep() {
	for org, level := range s.levels {
		if level <= s.lowest() {
			delete(s.levels, org)
		}
	}
	s.sweptFloor = s.floor
	s.sweepAt = min(max(minSweep, 2*len(s.levels)), maxAccounts)
}

// scaled returns service divided by the relative weight.
func (s *Shares) scaled(weight float64, service time.Duration) time.Duration {
	return time.Duration(float64(service) / relative(weight, s.meanWeight))
}

// relative returns a weight relative to the mean. A weight that is not known counts as the mean.
func relative(weight, mean float64) float64 {
	if !known(weight) || !known(mean) {
		return 1
	}
	return min(max(weight/mean, 1.0/maxWeight), maxWeight)
}

// known reports whether a weight is known: it is positive and neither infinite nor NaN.
func known(weight float64) bool { return weight > 0 && weight <= maxKnownWeight }

// maxKnownWeight is the highest weight that is taken for one.
const maxKnownWeight = 1e15
