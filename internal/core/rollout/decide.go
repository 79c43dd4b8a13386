package rollout

import (
	"fmt"
	"slices"
	"time"
)

const (
	// holdAt is the suspicion from which a share does not grow.
	holdAt = 0.4
	// clearAt is the evidence for the target with which it gets all requests before it has to. The
	// logarithm of a likelihood ratio of 20 is 3.
	clearAt = 3
	// unheard is the delay of a roll-back: how long requests still go to a bad target after its bad
	// answers, until these have been counted and the word has reached all instances.
	unheard = 2 * time.Second
	// settle is how long all requests must have gone to the target before the order can be done:
	// all instances must have heard of it.
	settle = 1500 * time.Millisecond
	// minEndMargin and maxEndMargin bound how long before the end of its time an order is decided,
	// endMargin is that as a part of the time.
	endMargin    = 0.08
	minEndMargin = 500 * time.Millisecond
	maxEndMargin = 1500 * time.Millisecond
	// minAnswers is the number of the target's answers without which a share that has been in force
	// is not raised. Fewer are enough if the share can't have brought that many.
	minAnswers = 20
)

// View is what the decider knows of a pool besides the word.
type View struct {
	// Known is set if the configuration has the pool.
	Known bool
	// Versions are the versions of its endpoints that are not leaving, sorted.
	Versions []string
	// TargetEndpoints is the number of those of the target.
	TargetEndpoints int
}

// Decider forms the words about one order.
type Decider struct {
	exposure Exposure
	order    Order
	evidence *evidence
	// counted holds the requests that were counted, before those that an earlier decider had.
	counted, before Summary
	longest         time.Duration
	// recent holds the requests counted lately, peak the largest number that were counted within
	// rateWindow.
	recent []arrivals
	peak   int
}

// arrivals is a number of requests that were counted at a time of the order.
type arrivals struct {
	at time.Duration
	n  int
}

// rateWindow is the time over which the rate of requests is taken.
const rateWindow = time.Second

// NewDecider returns a decider that goes on from a word and has no evidence yet.
func NewDecider(x Exposure, w Word) *Decider {
	return &Decider{
		exposure: x, order: w.Order, evidence: newEvidence(w.Duration),
		before: Summary{Requests: w.Evidence.Requests, Exposed: w.Evidence.Exposed},
	}
}

// Decides reports whether the decider is that of an order.
func (d *Decider) Decides(o Order) bool { return d.order == o }

// Count adds what instances have counted by a time of the order.
func (d *Decider) Count(elapsed time.Duration, counts []Count, traffic []Traffic) {
	var own []Count
	for _, c := range counts {
		if c.Pool == d.order.Pool {
			own = append(own, c)
		}
	}
	d.evidence.add(elapsed, own)
	for _, t := range traffic {
		if t.Pool != d.order.Pool {
			continue
		}
		d.counted.Requests += t.Requests
		d.recordRate(elapsed, t.Requests)
		d.counted.Exposed += t.Exposed
		d.counted.Running = t.Running
		d.longest = max(d.longest, t.Longest)
	}
}

// recordRate records requests that were counted now.
func (d *Decider) recordRate(elapsed time.Duration, n int) {
	d.recent = append(d.recent, arrivals{at: elapsed, n: n})
	for d.recent[0].at <= elapsed-rateWindow {
		d.recent = d.recent[1:]
	}
	sum := 0
	for _, a := range d.recent {
		sum += a.n
	}
	d.peak = max(d.peak, sum)
}

// Decide returns the next word about the order, given the one in force. It is the same, but for the
// evidence, if nothing is to change.
func (d *Decider) Decide(w Word, v View) Word {
	summary := d.evidence.judge(v.TargetEndpoints)
	summary.Requests, summary.Exposed = d.before.Requests+d.counted.Requests, d.before.Exposed+d.counted.Exposed
	summary.Running = d.counted.Running
	w.Evidence = summary
	switch w.State {
	case StateHeard:
		return d.begin(w, v)
	case StateRunning:
		return d.goOn(w, v)
	}
	return w
}

// begin starts an order that was heard.
func (d *Decider) begin(w Word, v View) Word {
	if !v.Known {
		return w // the configuration may come
	}
	w.State, w.Why = StateRunning, "ordered"
	w.Old = slices.DeleteFunc(slices.Clone(v.Versions), func(version string) bool { return version == w.Target })
	w.Generation++
	return w
}

// goOn decides about a running order.
func (d *Decider) goOn(w Word, v View) Word {
	s := &w.Evidence
	late := w.Elapsed >= w.Duration-d.margin()
	switch {
	case s.Suspicion >= 1:
		return end(w, StateRolledBack, fmt.Sprintf("it %s on route %s", s.Kind, s.Route))
	case v.TargetEndpoints == 0 && late:
		return end(w, StateRolledBack, "no endpoint of the target serves")
	case v.TargetEndpoints == 0:
		return w
	case w.Share >= 1:
		return d.finish(w, late)
	case late && (s.Suspicion >= holdAt || s.Clear < 0):
		return end(w, StateRolledBack, fmt.Sprintf("undecided at the end of its time: it may be that it %s on route %s", s.Kind, s.Route))
	case late && d.unanswered(w):
		return end(w, StateRolledBack, "no answers of the target by the end of its time")
	}
	return d.grow(w)
}

// margin returns how long before the end of its time the order is decided.
func (d *Decider) margin() time.Duration {
	return min(max(time.Duration(endMargin*float64(d.order.Duration)), minEndMargin), maxEndMargin)
}

// finish declares the order done once nothing runs at the old version, or its time is over.
func (d *Decider) finish(w Word, late bool) Word {
	all := w.Elapsed - w.AllAt
	if all < settle || w.Evidence.Running > 0 && !late {
		return w
	}
	why := "nothing runs at the old version"
	if w.Evidence.Running > 0 {
		why = fmt.Sprintf("its time is over, %d requests run at the old version", w.Evidence.Running)
	}
	return end(w, StateDone, why)
}

// grow raises the share as far as the plan and the evidence allow. It takes it back to the least one if
// the bound would be reached before a roll-back could take effect.
func (d *Decider) grow(w Word) Word {
	p := plan{duration: w.Duration, exposure: d.exposure, rate: d.rate(), longest: d.longest}
	planned := p.share(w.Elapsed)
	if w.Share > p.least() && !d.affords(w, w.Share) && !d.mustTakeAll(w) {
		return step(w, p.least(), "the bound of requests is near")
	}
	switch {
	case planned <= w.Share, planned < 1 && planned < growStep*w.Share:
		return w
	case w.Share > 0 && (w.Evidence.Suspicion >= holdAt || d.unanswered(w)):
		return w
	case planned < 1 && planned > p.least() && !d.affords(w, planned):
		return w
	case planned >= 1 && w.Evidence.Clear < clearAt && !d.affords(w, 1) && !d.mustTakeAll(w):
		return w
	}
	return step(w, planned, fmt.Sprintf("%d of %d answers failed, suspicion %.2f", w.Evidence.Failed, w.Evidence.Answers, w.Evidence.Suspicion))
}

// step returns the word with another share.
func step(w Word, share float64, why string) Word {
	w.Share, w.Why = share, why
	if share >= 1 {
		w.AllAt = w.Elapsed
	}
	w.Generation++
	return w
}

// affords reports whether the bound is kept if the target gets a share until a roll-back takes effect.
func (d *Decider) affords(w Word, share float64) bool {
	allowed := d.exposure.Share*float64(w.Evidence.Requests) + d.exposure.Slack
	return float64(w.Evidence.Exposed)+share*d.rate()*unheard.Seconds() <= allowed
}

// mustTakeAll reports whether the target has to get all requests now for the order to be done in time. It
// doesn't if the last answers speak against it.
func (d *Decider) mustTakeAll(w Word) bool {
	return w.Evidence.Clear >= 0 && w.Elapsed >= w.Duration-d.margin()-settle
}

// growStep is the factor by which a share grows at least: each step is written to the store.
const growStep = 1.2

// rate returns the highest rate of requests per second that was seen, 0 if too few were counted to tell.
func (d *Decider) rate() float64 {
	if d.counted.Requests < minAnswers {
		return 0
	}
	return float64(d.peak) / rateWindow.Seconds()
}

// unanswered reports whether the target has answered fewer requests than it needs to for a larger share,
// though it was sent enough.
func (d *Decider) unanswered(w Word) bool {
	expected := w.Share * float64(d.counted.Requests) / 2
	return float64(w.Evidence.Answers) < min(minAnswers, expected)
}

// end returns the word that ends the order.
func end(w Word, s State, why string) Word {
	w.State, w.Why = s, why
	w.Generation++
	if s == StateRolledBack {
		w.Share = 0
	}
	return w
}

// Withdraw returns the word that ends an order which the operator has taken back.
func Withdraw(w Word, o Word) Word {
	w.Era, w.Offset = o.Era, o.Offset
	return end(w, StateRolledBack, "the order was withdrawn")
}
