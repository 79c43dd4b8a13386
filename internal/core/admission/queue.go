package admission

import (
	"time"

	"github.com/google/btree"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// pruneAt is how many idle flows a tier keeps before it forgets those whose
// tag has passed.
const pruneAt = 1024

// queue holds a pool's queued jobs: strictly by tier, fair between the
// organisations of a tier by start-time fair queueing on estimated tokens, and
// in the organisation's own order within it.
type queue struct {
	tiers []tierQueue
	count int
}

// tierQueue is the queue of one tier.
type tierQueue struct {
	flows map[entity.OrgID]*flow
	order *btree.BTreeG[*flow]
	// now is the virtual time: the start tag of the last job served.
	now   float64
	count int
	// work is the estimated running time of all jobs here, prefill the part of it
	// that processes prompts.
	work, prefill time.Duration
}

func newQueue(tiers int) *queue {
	q := &queue{tiers: make([]tierQueue, tiers)}
	for i := range q.tiers {
		q.tiers[i].flows = make(map[entity.OrgID]*flow)
		q.tiers[i].order = btree.NewG(btreeDegree, (*flow).less)
	}
	return q
}

func (q *queue) add(j *job) {
	q.count++
	j.queued = true
	q.tiers[j.tier].add(j)
}

func (q *queue) remove(j *job) {
	if q.tiers[j.tier].remove(j) {
		q.count--
		j.queued = false
	}
}

// served removes j and charges its organisation for it.
func (q *queue) served(j *job) {
	q.tiers[j.tier].charge(j)
	q.remove(j)
}

// next returns the first job in order that e serves and that ok accepts.
func (q *queue) next(e *endpoint, ok func(*job) bool) *job {
	for t := range q.tiers {
		if j := q.tiers[t].next(e, ok); j != nil {
			return j
		}
	}
	return nil
}

// each calls fn for the jobs of tier t until it returns false.
func (q *queue) each(t int, fn func(*job) bool) {
	more := true
	q.tiers[t].order.Ascend(func(f *flow) bool {
		for _, l := range f.lines {
			l.jobs.Ascend(func(j *job) bool {
				more = fn(j)
				return more
			})
			if !more {
				break
			}
		}
		return more
	})
}

// lose returns the job to give up first when the queue is full: of the lowest
// tier, of the organisation with the most virtual time queued.
func (q *queue) lose() *job {
	for t := len(q.tiers) - 1; t >= 0; t-- {
		if f := q.tiers[t].longest(); f != nil {
			return f.last()
		}
	}
	return nil
}

// upTo is the estimated running time, and the part of it that processes
// prompts, of all jobs of tier t and above.
func (q *queue) upTo(t int) (work, prefill time.Duration) {
	for i := 0; i <= t; i++ {
		work += q.tiers[i].work
		prefill += q.tiers[i].prefill
	}
	return work, prefill
}

func (q *tierQueue) add(j *job) {
	f := q.flows[j.work.Org]
	if f == nil {
		q.prune()
		f = &flow{org: j.work.Org}
		q.flows[j.work.Org] = f
	}
	if f.count == 0 {
		f.start = max(f.start, q.now)
		q.order.ReplaceOrInsert(f)
	}
	f.add(j)
	q.count++
	q.work += j.run
	q.prefill += j.runPrefill
}

func (q *tierQueue) remove(j *job) bool {
	f := q.flows[j.work.Org]
	if f == nil || !f.remove(j) {
		return false
	}
	if f.count == 0 {
		q.order.Delete(f)
	}
	q.count--
	q.work -= j.run
	q.prefill -= j.runPrefill
	return true
}

func (q *tierQueue) charge(j *job) {
	f := q.flows[j.work.Org]
	q.order.Delete(f)
	q.now = max(q.now, f.start)
	f.start += j.cost()
	q.order.ReplaceOrInsert(f)
}

func (q *tierQueue) next(e *endpoint, ok func(*job) bool) *job {
	var found *job
	q.order.Ascend(func(f *flow) bool {
		found = f.first(e, ok)
		return found == nil
	})
	return found
}

func (q *tierQueue) longest() *flow {
	var longest *flow
	q.order.Ascend(func(f *flow) bool {
		if longest == nil || f.start+f.queued > longest.start+longest.queued {
			longest = f
		}
		return true
	})
	return longest
}

// prune forgets idle flows whose tag has passed: coming back, they would start
// at the present virtual time all the same.
func (q *tierQueue) prune() {
	if len(q.flows) < pruneAt+2*q.order.Len() {
		return
	}
	for org, f := range q.flows {
		if f.count == 0 && f.start <= q.now {
			delete(q.flows, org)
		}
	}
}
