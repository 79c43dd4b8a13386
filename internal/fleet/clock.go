package fleet

import (
	"container/heap"
	"math/rand"
	"time"
)

// epoch is the time at which every simulation begins.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a virtual clock with a queue of scheduled events and the random numbers of
// the simulation.
type clock struct {
	now   time.Time
	queue eventQueue
	seq   uint64
	rng   *rand.Rand
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

// eventQueue is a heap of events, ordered by time and then by order of scheduling.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

func newClock(seed int64) *clock {
	return &clock{now: epoch, rng: rand.New(rand.NewSource(seed))}
}

// after schedules run to be called after d.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

func (c *clock) at(t time.Time, run func()) {
	c.seq++
	heap.Push(&c.queue, event{at: t, seq: c.seq, run: run})
}

// runUntil runs all events up to t and advances the clock to t.
func (c *clock) runUntil(t time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(t) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = t
}

// between returns a random duration between lo and hi, both included.
func (c *clock) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(c.rng.Int63n(int64(hi-lo)+1))
}

// chance returns true with probability p.
func (c *clock) chance(p float64) bool { return c.rng.Float64() < p }

// pick returns a random element, or the zero value if the list is empty.
func pick[T any](c *clock, list []T) T {
	var none T
	if len(list) == 0 {
		return none
	}
	return list[c.rng.Intn(len(list))]
}
