package broker

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// job is a request that waits.
type job struct {
	ask              SlotRequest
	arrived          time.Time
	target, deadline time.Time
	// end is when the whole answer must have come, zero if that isn't known.
	end time.Time
	seq uint64
	// late is set once no engine could begin the answer before the target.
	late bool
}

// inTime says that an answer which begins after d is in time, with a margin
// for the estimate.
func (j *job) inTime(now time.Time, d time.Duration) bool {
	return !now.Add(time.Duration(safetyFactor * float64(d))).After(j.target)
}

// endsInTime says that an answer which takes d in all is whole before it is of
// no use, with a margin for the estimate.
func (j *job) endsInTime(now time.Time, d time.Duration) bool {
	return j.end.IsZero() || !now.Add(time.Duration(endFactor*float64(d))).After(j.end)
}

// before is the order of waiting requests.
func (j *job) before(k *job) int {
	switch {
	case j.late != k.late:
		return boolOrder(k.late, j.late)
	case j.ask.Rank != k.ask.Rank:
		return j.ask.Rank - k.ask.Rank
	case j.late && j.ask.IsRetry != k.ask.IsRetry:
		return boolOrder(j.ask.IsRetry, k.ask.IsRetry)
	case !j.late && !j.target.Equal(k.target):
		return j.target.Compare(k.target)
	}
	return compareSeq(j.seq, k.seq)
}

// boolOrder puts the true one first.
func boolOrder(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return -1
	}
	return 1
}

func compareSeq(a, b uint64) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

func compareIDs(a, b entity.RequestID) int { return strings.Compare(string(a), string(b)) }

// enqueue puts a job in its place.
func (p *pool) enqueue(j *job) {
	i, _ := slices.BinarySearchFunc(p.waiting, j, (*job).before)
	p.waiting = slices.Insert(p.waiting, i, j)
}

// dequeue takes a job out.
func (p *pool) dequeue(j *job) {
	if i := slices.Index(p.waiting, j); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}

// makeLate moves jobs that can't be in time any more to the late ones.
func (p *pool) makeLate(now time.Time) {
	var late []*job
	for _, j := range p.waiting {
		if j.late {
			break // the late ones stand last
		}
		if d, ok := p.fastest(j.ask.PromptTokens); ok && now.Add(d).After(j.target) {
			late = append(late, j)
		}
	}
	for _, j := range late {
		p.dequeue(j)
		j.late = true
		p.enqueue(j)
	}
}
