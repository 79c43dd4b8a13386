package measure

import (
	"container/heap"
	"time"
)

// clock is a virtual clock. It runs events in order of their time, and events of the same
// time in order of scheduling.
type clock struct {
	now    time.Time
	seq    int
	events eventHeap
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newClock() *clock {
	return &clock{now: time.Unix(1_700_000_000, 0)}
}

// after runs fn once d has passed.
func (c *clock) after(d time.Duration, fn func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(0, d)), seq: c.seq, run: fn})
}

// every runs fn every d, for the first time once d has passed.
func (c *clock) every(d time.Duration, fn func()) {
	c.after(d, func() {
		fn()
		c.every(d, fn)
	})
}

// runUntil runs all events up to end and sets the clock to end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
