package broker

import (
	"iter"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/fairshare"
)

// Where organisations compete in a rank, and not all requests of the rank can be on time, they share
// the slots by the service that they have received, see package fairshare. This answers the load of
// one organisation that sends many times what the others do. While there is room enough, the
// order of the queue is kept.

// shortMemory is how long a rank counts as short of room after a request that could not be on time.
const shortMemory = time.Second

// grantOrder yields the waiting requests in the order in which they get slots. The queue may change
// meanwhile.
func (p *pool) grantOrder(now time.Time) iter.Seq[*job] {
	waiting := slices.Clone(p.waiting)
	return func(yield func(*job) bool) {
		for len(waiting) > 0 {
			n := equalPriority(waiting)
			if !p.yieldGroup(now, waiting[:n], yield) {
				return
			}
			waiting = waiting[n:]
		}
	}
}

// equalPriority returns the number of requests at the head of a queue that differ only in target or
// arrival.
func equalPriority(waiting []*job) int {
	first := waiting[0]
	for i, j := range waiting {
		if j.request.pinned() != first.request.pinned() || j.late != first.late || j.request.Rank != first.request.Rank ||
			j.late && j.request.IsRetry != first.request.IsRetry {
			return i
		}
	}
	return len(waiting)
}

// yieldGroup yields requests of equal priority, by shares if organisations compete. It reports
// whether the caller wants more.
func (p *pool) yieldGroup(now time.Time, group []*job, yield func(*job) bool) bool {
	if !p.sharesApply(now, group) {
		for _, j := range group {
			if !yield(j) {
				return false
			}
		}
		return true
	}
	requests := make([]fairshare.Request, len(group))
	for i, j := range group {
		requests[i] = fairshare.Request{Org: j.request.Org, Weight: j.request.Weight, Service: p.occupancy(j)}
	}
	for i := range p.rank(group[0].request.Rank).shares.Order(requests) {
		if !yield(group[i]) {
			return false
		}
	}
	return true
}

// sharesApply reports whether two organisations or more compete for too little room.
func (p *pool) sharesApply(now time.Time, group []*job) bool {
	first := group[0]
	if first.request.pinned() || !first.late && now.Sub(p.rank(first.request.Rank).shortAt) >= shortMemory {
		return false
	}
	return slices.ContainsFunc(group, func(j *job) bool { return j.request.Org != first.request.Org })
}

// charge charges a request that gets a slot to its organisation.
func (p *pool) charge(j *job, r *run) {
	r.rank, r.org, r.weight, r.charged = j.request.Rank, j.request.Org, j.request.Weight, p.occupancy(j)
	p.rank(r.rank).shares.Charge(r.org, r.weight, r.charged)
}

// settleWithdrawn corrects the charge for a run that is withdrawn by the time that it had its slot.
func (p *pool) settleWithdrawn(now time.Time, r *run) {
	if had := now.Sub(r.grantedAt); had < r.charged {
		p.rank(r.rank).shares.Correct(r.org, r.weight, had-r.charged)
	}
}

// settle corrects the charge for a run by the length of its answer, or undoes it if the run did not
// take place.
func (p *pool) settle(r *run, d Done) {
	tokens := answerLength(r, d)
	switch {
	case r.charged == 0:
	case d.NotRun:
		p.rank(r.rank).shares.Correct(r.org, r.weight, -r.charged)
	case tokens != r.answerTokens:
		actual := p.occupancyOf(r.promptTokens, tokens)
		p.rank(r.rank).shares.Correct(r.org, r.weight, actual-r.charged)
	}
}
