package admission

import (
	"time"

	"github.com/google/btree"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// pruneAt is how many flows, in addition to twice the active ones, a tier holds before
// it removes the idle flows whose start tag has passed.
const pruneAt = 1024

// queue holds a pool's queued jobs. Tiers have strict priority. Within a tier the
// organisations share by start-time fair queueing on estimated tokens; within
// an organisation the order is job.before.
type queue struct {
	tiers []tierQueue
	count int
}

// tierQueue is the queue of one tier.
type tierQueue struct {
	flows map[entity.OrgID]*flow
	order *btree.BTreeG[*flow]
	// now is the virtual time: the start tag of the job served last.
	now   float64
	count int
	// work is the estimated running time of all jobs in the tier, prefill the part
	// of it for their prompts.
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

// dequeue removes j, which has been granted a slot, and charges its organisation
// for it.
func (q *queue) dequeue(j *job) {
	q.tiers[j.tier].charge(j)
	q.remove(j)
}

// next returns the first job in order that e serves and that ok accepts, or nil.
func (q *queue) next(e *endpoint, ok func(*job) bool) *job {
	for t := range q.tiers {
		if j := q.tiers[t].next(e, ok); j != nil {
			return j
		}
	}
	return nil
}

// each calls fn for the jobs of tier t until fn returns false.
func (q *queue) each(t int, fn func(*job) bool) {
	more := true
	q.tiers[t].order.Ascend(func(f *flow) bool {
		for _, c := range f.queues {
			c.jobs.Ascend(func(j *job) bool {
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

// shedCandidate returns the job to shed first when the queue is full, or nil: a
// job of the lowest tier and of the organisation whose queue ends latest in
// virtual time.
func (q *queue) shedCandidate() *job {
	for t := len(q.tiers) - 1; t >= 0; t-- {
		if f := q.tiers[t].longest(); f != nil {
			return f.shedCandidate()
		}
	}
	return nil
}

// workUpTo returns the estimated running time of all jobs of tier t and above, and
// the part of it for their prompts.
func (q *queue) workUpTo(t int) (work, prefill time.Duration) {
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

// longest returns the flow whose queued jobs end latest in virtual time, or nil.
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

// prune removes idle flows whose start tag has passed. If they become active
// again they start at the current virtual time, as they would have without
// removal.
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
