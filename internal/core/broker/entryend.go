package broker

import (
	"slices"
	"time"
)

// An instance that stops ends at a time that is known, and cuts what it still runs then. A request that
// waits for it is refused as soon as the estimates say that its answer would not end before: its caller
// goes to another instance while there is time. This answers requests that take long compared with a
// planned stop, and pools whose slots are all in use.

// outlastsEntry reports whether an answer that is expected to end after d outlasts the instance that
// asked for the slot.
func (j *job) outlastsEntry(now time.Time, d time.Duration) bool {
	return !j.entryEnd.IsZero() && now.Add(d).After(j.entryEnd)
}

// refuseForEntryEnd refuses the requests that could not be answered before their instances end, given
// the requests before them in the queue.
func (b *Broker) refuseForEntryEnd(now time.Time, p *pool) {
	if !slices.ContainsFunc(p.waiting, func(j *job) bool { return !j.entryEnd.IsZero() }) {
		return
	}
	c := p.capacity(now, b.settings.SlotShare)
	if c.size() == 0 {
		return // no wait can be estimated
	}
	age := p.meanRunAge(now)
	var wait time.Duration
	var ending []*job
	for j := range p.grantOrder(now) {
		run := max(p.occupancy(j), age)
		wait += c.serveTime(run)
		if j.outlastsEntry(now, wait+run) {
			ending = append(ending, j)
		}
	}
	for _, j := range ending {
		b.deny(now, p, j, DenyEntryEnds)
	}
}

// meanRunAge returns the mean time for which the running requests have occupied their slots, 0 if none
// runs. The usual run takes at least that long, whatever the tokens that it was estimated from.
// Unresponsive engines say nothing about the others.
func (p *pool) meanRunAge(now time.Time) time.Duration {
	var sum time.Duration
	n := 0
	for _, e := range p.engines {
		if e.unresponsive {
			continue
		}
		for _, r := range e.runs {
			sum += now.Sub(r.grantedAt)
			n++
		}
	}
	return sum / time.Duration(max(1, n))
}
