package admission

import (
	"sort"

	"github.com/google/btree"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const btreeDegree = 8

// flow is one organisation's queued work within one tier.
type flow struct {
	org entity.OrgID
	// start is the virtual time at which the flow's next job is due.
	start float64
	// queued is the cost of all jobs in the flow.
	queued float64
	count  int
	// lines holds the jobs by class, sorted by class.
	lines []*line
}

// line is the queued work of one class, in the organisation's order.
type line struct {
	class class
	jobs  *btree.BTreeG[*job]
}

func (f *flow) less(g *flow) bool {
	if f.start != g.start {
		return f.start < g.start
	}
	return f.org < g.org
}

func (f *flow) find(c class) (int, bool) {
	i := sort.Search(len(f.lines), func(i int) bool { return !f.lines[i].class.less(c) })
	return i, i < len(f.lines) && f.lines[i].class == c
}

func (f *flow) add(j *job) {
	i, ok := f.find(j.class)
	if !ok {
		l := &line{class: j.class, jobs: btree.NewG(btreeDegree, (*job).before)}
		f.lines = append(f.lines, nil)
		copy(f.lines[i+1:], f.lines[i:])
		f.lines[i] = l
	}
	f.lines[i].jobs.ReplaceOrInsert(j)
	f.queued += j.cost()
	f.count++
}

func (f *flow) remove(j *job) bool {
	i, ok := f.find(j.class)
	if !ok {
		return false
	}
	if _, ok := f.lines[i].jobs.Delete(j); !ok {
		return false
	}
	if f.lines[i].jobs.Len() == 0 {
		f.lines = append(f.lines[:i], f.lines[i+1:]...)
	}
	f.queued -= j.cost()
	f.count--
	return true
}

// first returns the first job in the organisation's order that e serves and
// that ok accepts.
func (f *flow) first(e *endpoint, ok func(*job) bool) *job {
	var best *job
	for _, l := range f.lines {
		if !e.serves(l.class) {
			continue
		}
		l.jobs.Ascend(func(j *job) bool {
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

// last returns the job that the organisation loses first. A paused job, whose
// prefill would be wasted, is lost only if there is nothing else.
func (f *flow) last() *job {
	var worst, paused *job
	for _, l := range f.lines {
		j, _ := l.jobs.Max()
		if l.class.resume != "" {
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
