package broker

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// job is a waiting request.
type job struct {
	request          SlotRequest
	arrived          time.Time
	target, deadline time.Time
	// end is when the complete answer must have arrived, zero if unknown.
	end time.Time
	// entryEnd is when the instance that asked for the slot ends, zero if it does not stop.
	entryEnd time.Time
	// arrival numbers the requests in their order of arrival.
	arrival uint64
	// late is set once no engine could begin the answer before the target.
	late bool
	// appointed is set if the caller was told to come back now, see appoint.go.
	appointed bool
}

// newJob returns the job of a slot request that has just arrived.
func (b *Broker) newJob(now time.Time, req SlotRequest) *job {
	b.lastArrival++
	j := &job{request: req, arrived: now, target: now.Add(req.TargetIn), deadline: now.Add(req.DeadlineIn), arrival: b.lastArrival}
	if req.EndIn > 0 {
		j.end = now.Add(req.EndIn)
	}
	if req.EntryEndsIn > 0 {
		j.entryEnd = now.Add(req.EntryEndsIn)
	}
	if req.pinned() {
		j.target = j.deadline // the caller has events already
	}
	return j
}

// keepPlace gives a job the place in the queue of an earlier one of the same request, which it replaces.
func (j *job) keepPlace(earlier *job) {
	j.arrived, j.arrival, j.appointed = earlier.arrived, earlier.arrival, earlier.appointed
	if earlier.appointed {
		j.target = earlier.target
	}
}

// onTime reports whether an answer that is estimated to begin after d begins before the target,
// with a safety margin.
func (j *job) onTime(now time.Time, d time.Duration) bool {
	return !now.Add(time.Duration(safetyFactor * float64(d))).After(j.target)
}

// endsOnTime reports whether an answer that is estimated to end after d ends before j.end, with a
// safety margin.
func (j *job) endsOnTime(now time.Time, d time.Duration) bool {
	return j.end.IsZero() || !now.Add(time.Duration(endFactor*float64(d))).After(j.end)
}

// compare orders waiting requests: those that go on with a stream first, then on-time before late
// ones, then by rank, then on-time ones by target and late ones by IsRetry, then by arrival.
func (j *job) compare(k *job) int {
	switch {
	case j.request.pinned() != k.request.pinned():
		return trueFirst(j.request.pinned(), k.request.pinned())
	case j.late != k.late:
		return trueFirst(k.late, j.late)
	case j.request.Rank != k.request.Rank:
		return j.request.Rank - k.request.Rank
	case j.late && j.request.IsRetry != k.request.IsRetry:
		return trueFirst(j.request.IsRetry, k.request.IsRetry)
	case !j.late && !j.target.Equal(k.target):
		return j.target.Compare(k.target)
	}
	return compareArrival(j.arrival, k.arrival)
}

// trueFirst compares two booleans; true sorts before false.
func trueFirst(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return -1
	}
	return 1
}

func compareArrival(a, b uint64) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

func compareIDs(a, b entity.RequestID) int { return strings.Compare(string(a), string(b)) }

// enqueue inserts a job in the order of the queue.
func (p *pool) enqueue(j *job) {
	i, _ := slices.BinarySearchFunc(p.waiting, j, (*job).compare)
	p.waiting = slices.Insert(p.waiting, i, j)
}

// dequeue removes a job from the queue.
func (p *pool) dequeue(j *job) {
	if i := slices.Index(p.waiting, j); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}

// markLate marks the jobs that can no longer be on time, and moves them behind the others.
func (p *pool) markLate(now time.Time) {
	var late []*job
	for _, j := range p.waiting {
		if j.late {
			break // late requests are last
		}
		if j.request.pinned() {
			continue
		}
		if d, ok := p.fastestFirstEvent(j.request.PromptTokens); ok && now.Add(d).After(j.target) {
			late = append(late, j)
		}
	}
	for _, j := range late {
		p.dequeue(j)
		j.late = true
		p.enqueue(j)
	}
}
