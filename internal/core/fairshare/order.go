package fairshare

import (
	"container/heap"
	"iter"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Request is a request that waits.
type Request struct {
	Org entity.OrgID
	// Weight is the organisation's weight, 0 if it is not known.
	Weight float64
	// Service is the estimated time for which the request will occupy a slot.
	Service time.Duration
}

// Order yields the indexes of requests in the order in which they get slots, if each gets the
// service that is estimated. Requests of one organisation keep their order.
func (s *Shares) Order(requests []Request) iter.Seq[int] {
	q := s.newQueue(requests)
	return func(yield func(int) bool) {
		for len(q.orgs) > 0 {
			o := &q.orgs[0]
			i := o.first
			if !yield(i) {
				return
			}
			o.level += s.scaled(o.weight, requests[i].Service)
			if o.first = q.next[i]; o.first == none {
				heap.Pop(&q)
			} else {
				heap.Fix(&q, 0)
			}
		}
	}
}

// none marks the end of a list of requests.
const none = -1

// newQueue groups requests by organisation, and updates the mean weight.
func (s *Shares) newQueue(requests []Request) queue {
	q := queue{orgs: make([]organisation, 0, len(requests)), next: make([]int, len(requests))}
	clear(s.positions)
	total, count := 0.0, 0
	for i := range requests {
		r := &requests[i]
		q.next[i] = none
		if at, ok := s.positions[r.Org]; ok {
			o := &q.orgs[at]
			q.next[o.last], o.last = i, i
			continue
		}
		s.positions[r.Org] = len(q.orgs)
		q.orgs = append(q.orgs, organisation{level: s.level(r.Org), weight: r.Weight, first: i, last: i})
		if known(r.Weight) {
			total += r.Weight
			count++
		}
	}
	if count > 0 {
		s.meanWeight = total / float64(count)
	}
	heap.Init(&q)
	return q
}

// organisation is one that has requests waiting.
type organisation struct {
	level  time.Duration
	weight float64
	// first and last are the indexes of the first and the last of its requests.
	first, last int
}

// queue is a heap of organisations; the one that is next is first.
type queue struct {
	orgs []organisation
	// next holds, for each request, the index of the organisation's next one.
	next []int
}

// Len implements sort.Interface.
func (q *queue) Len() int { return len(q.orgs) }

// Less implements sort.Interface.
func (q *queue) Less(i, j int) bool {
	if q.orgs[i].level != q.orgs[j].level {
		return q.orgs[i].level < q.orgs[j].level
	}
	return q.orgs[i].first < q.orgs[j].first
}

// Swap implements sort.Interface.
func (q *queue) Swap(i, j int) { q.orgs[i], q.orgs[j] = q.orgs[j], q.orgs[i] }

// Push implements heap.Interface. It is not used: all organisations are known from the beginning.
func (q *queue) Push(x any) { q.orgs = append(q.orgs, x.(organisation)) }

// Pop implements heap.Interface. The result is not used.
func (q *queue) Pop() any {
	q.orgs = q.orgs[:len(q.orgs)-1]
	return nil
}
