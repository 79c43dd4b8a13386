package admission

import (
	"sort"

	"github.com/google/btree"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const btreeDegree = 8

// flow holds the queued jobs of one organisation within one tier.
type flow struct {
	org entity.OrgID
	// start is the start tag of the flow's next job, in virtual time.
	start float64
	// queued is the total cost of the jobs in the flow.
	queued float64
	count  int
	// queues holds one queue for each class, sorted by class.
	queues []*classQueue
}

// classQueue holds the queued jobs of one class, in the organisation's order.
type classQueue struct {
	class workClass
	jobs  *btree.BTreeG[*job]
}

func (f *flow) less(g *flow) bool {
	if f.start != g.start {
		return f.start < g.start
	}
	return f.org < g.org
}

func (f *flow) find(c workClass) (int, bool) {
	i := sort.Search(len(f.queues), func(i int) bool { return !f.queues[i].class.less(c) })
	return i, i < len(f.queues) && f.queues[i].class == c
}

func (f *flow) add(j *job) {
	i, ok := f.find(j.class)
	if !ok {
		q := &classQueue{class: j.class, jobs: btree.NewG(btreeDegree, (*job).before)}
		f.queues = append(f.queues, nil)
		copy(f.queues[i+1:], f.queues[i:])
		f.queues[i] = q
	}
	f.queues[i].jobs.ReplaceOrInsert(j)
	f.queued += j.cost()
	f.count++
}

func (f *flow) remove(j *job) bool {
	i, ok := f.find(j.class)
	if !ok {
		return false
	}
	if _, ok := f.queues[i].jobs.Delete(j); !ok {
		return false
	}
	if f.queues[i].jobs.Len() == 0 {
		f.queues = append(f.queues[:i], f.queues[i+1:]...)
	}
	f.queued -= j.cost()
	f.count--
	return true
}

// first returns the first job in the organisation's order that e serves and
// that ok accepts, or nil.
func (f *flow) first(e *endpoint, ok func(*job) bool) *job {
	var best *job
	for _, q := range f.queues {
		if !e.serves(q.class) {
			continue
		}
		q.jobs.Ascend(func(j *job) bool {
			if best != nil && best.before(j) {
				return false
			}
			if !ok(j) {
				return true
			}
			best = j
			return false
		})
	}
	return best
}

// shedCandidate returns the job of the organisation that is shed first. A paused
// job, whose prefill would be wasted, is returned only if there is no other.
func (f *flow) shedCandidate() *job {
	var worst, paused *job
	for _, q := range f.queues {
		j, _ := q.jobs.Max()
		if q.class.resume != "" {
			if paused == nil || paused.before(j) {
				paused = j
			}
			continue
		}
		if worst == nil || worst.before(j) {
			worst = j
		}
	}
	if worst == nil {
		return paused
	}
	return worst
}
