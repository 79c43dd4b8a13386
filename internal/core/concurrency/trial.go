package concurrency

import (
	"math"
	"time"
)

const (
	// minPause and maxPause bound the time between two trials in one direction. It doubles after each
	// one that didn't pay. At an endpoint without a limit in force, and after a trial that did harm, it
	// may grow to maxLongPause.
	minPause     = 500 * time.Millisecond
	maxPause     = 8 * time.Second
	maxLongPause = 16 * time.Second
	// payingGain is the share of the additional requests by which the throughput must grow for a
	// higher limit to be kept.
	payingGain = 0.4
	// keptThroughput is the share of the throughput that a lower limit must keep, keptBest that of the best
	// throughput: many small losses must not add up.
	keptThroughput, keptBest = 0.95, 0.92
	// maxMargin bounds the margin for the scatter of the runs.
	maxMargin = 0.15
	// A trial ends early if clearSamples runs show a throughput that differs by clearRatio.
	clearSamples = 2
	clearRatio   = 1.6
	// changeSamples is the number of runs that show the throughput after a change of the endpoint.
	changeSamples = 3
	// minTrialTime is how long a trial may take at least.
	minTrialTime = 2 * time.Second
	// trialRuns is how many times the time of a run a trial may take.
	trialRuns = 8
)

// trial is a limit that is tried.
type trial struct {
	from, to int
	endsBy   time.Time
	result   throughput
}

// raises reports whether more requests are tried.
func (t *trial) raises() bool { return t.to > t.from }

// search is the schedule of the trials in one direction.
type search struct {
	next  time.Time
	pause time.Duration
	step  int
}

// paid records that a trial was kept: the next one follows at once with a larger step.
func (s *search) paid(now time.Time) { s.next, s.pause, s.step = now, minPause, 2*s.step }

// failed records that a trial wasn't kept.
func (s *search) failed(now time.Time, maxPause time.Duration) {
	s.next, s.step = now.Add(s.pause), 1
	s.pause = min(2*s.pause, maxPause)
}

// reset forgets earlier failures.
func (s *search) reset(now time.Time, step int) {
	s.next, s.pause, s.step = now, minPause, max(1, step)
}

// decide ends a trial that has its result, or begins one.
func (l *Limiter) decide(now time.Time) {
	if l.trial != nil {
		l.judge(now)
		return
	}
	if l.current.samples < l.neededNow() || float64(l.running) < filled*float64(l.limit) {
		return
	}
	if l.noticeChange(now) {
		return
	}
	if l.best == 0 {
		l.best = l.current.value()
	}
	switch to := l.lower(); {
	case l.limit < l.slots && !now.Before(l.up.next) && !l.descending:
		l.begin(now, min(l.slots, l.limit+max(l.up.step, l.limit/4)))
	case to < l.limit && !now.Before(l.down.next):
		l.begin(now, to)
	}
}

// needed returns the number of runs that show the throughput at a limit.
func (l *Limiter) needed(limit int) int { return max(baseSamples, min(limit, maxRows)) }

// neededNow returns the number of runs that show the throughput at the present limit. After a change of the
// endpoint they are few: the search is to follow soon.
func (l *Limiter) neededNow() int {
	if l.changed {
		return changeSamples
	}
	return l.needed(l.limit)
}

// noticeChange begins anew if the endpoint has become faster or slower: what is known of its throughput
// is that of before.
func (l *Limiter) noticeChange(now time.Time) bool {
	if l.keptPerSize == 0 {
		return false
	}
	ratio := l.perSize / l.keptPerSize
	if ratio < changedRatio && ratio > 1/changedRatio {
		return false
	}
	l.keptPerSize, l.best = 0, 0
	l.current, l.perSize = throughput{}, 0
	l.epoch++
	l.changed = true
	if ratio < 1 {
		l.up.reset(now, 1)
		l.descending = false
	} else {
		l.down.reset(now, l.limit/2)
		l.descending = l.limit > 1
	}
	return true
}

// signShare returns the share of the throughput at few runs below which that of the full endpoint is a sign.
func (l *Limiter) signShare() float64 {
	if l.stating {
		return noGain
	}
	return collapse
}

// lower returns the lower limit to try next, the present one if there is no reason to try any.
func (l *Limiter) lower() int {
	if !l.InForce() {
		if at := l.byRunning.sign(l.slots, l.signShare()); at > 0 {
			return min(at, l.limit)
		}
		if !l.suspect || l.byRunning.scales(l.slots) {
			return l.limit
		}
	}
	return max(1, l.limit-max(l.down.step, l.limit/4))
}

// longestPause returns the longest time after a trial that wasn't kept.
func (l *Limiter) longestPause(t *trial) time.Duration {
	harmful := t.result.samples < clearSamples || t.result.value()*clearRatio < l.current.value()
	if l.limit == l.slots || (t.raises() && harmful) {
		return maxLongPause
	}
	return maxPause
}

func (l *Limiter) begin(now time.Time, to int) {
	allowed := max(minTrialTime, trialRuns*l.Expected(l.meanSize()))
	l.trial = &trial{from: l.limit, to: to, endsBy: now.Add(allowed)}
	l.setLimit(to)
}

// meanSize returns the mean size of recent runs.
func (l *Limiter) meanSize() time.Duration {
	if l.perSize == 0 || l.current.samples == 0 {
		return 0
	}
	weight := 0.0 // of the runs in current
	for range min(l.current.samples, maxRows) {
		weight = throughputMemory*weight + 1
	}
	return time.Duration(l.current.took / l.perSize / weight * float64(time.Second))
}

func (l *Limiter) setLimit(limit int) {
	l.limit = limit
	l.epoch++
}

// judge ends the trial if it has enough runs, or took too long.
func (l *Limiter) judge(now time.Time) {
	t := l.trial
	before, after := l.current.value(), t.result.value()
	clear := t.result.samples >= clearSamples && (after > clearRatio*before || after < before/clearRatio)
	if t.result.samples < l.needed(t.to) && !clear {
		if now.After(t.endsBy) {
			l.endTrial(now, false)
		}
		return
	}
	if t.raises() {
		more := float64(t.to-t.from) / float64(t.from)
		l.endTrial(now, after >= before*(1+payingGain*more))
		return
	}
	// What is uncertain counts for the higher limit.
	margin := min(maxMargin, math.Hypot(l.current.relativeError(), t.result.relativeError()))
	kept := after >= (keptThroughput+margin)*before
	if kept && after < keptBest*l.best {
		kept, l.best = false, (l.best+before)/2 // the best may be that of another time
	}
	l.endTrial(now, kept)
}

// endTrial keeps or undoes the limit of the trial.
func (l *Limiter) endTrial(now time.Time, keep bool) {
	t := l.trial
	l.trial = nil
	s, other := &l.down, &l.up
	if t.raises() {
		s, other = &l.up, &l.down
	}
	l.descending = keep && t.to < t.from && t.to > 1
	if !keep {
		l.setLimit(t.from)
		s.failed(now, l.longestPause(t))
		return
	}
	s.paid(now)
	other.reset(now.Add(minPause), 1)
	l.current, l.changed = t.result, false
	l.best = max(l.best, l.current.value())
	l.perSize = float64(l.limit) / l.current.value()
	l.keptPerSize = l.perSize
}
