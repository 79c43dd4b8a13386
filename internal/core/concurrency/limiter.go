package concurrency

import "time"

const (
	// baseSamples is the number of runs of a trial at least; a higher limit needs as many as it allows.
	baseSamples = 5
	// filled is the share of a limit that must be in use for a run to say something about it.
	filled = 0.8
	// timeWeight is the weight of a run in the mean time per size.
	timeWeight = 0.125
	// changedRatio is the change of the time per size from which the endpoint counts as changed.
	changedRatio = 1.25
)

// Limiter finds the limit of one endpoint.
type Limiter struct {
	slots, limit int
	// pinned is the limit that an operator has set, 0 for none.
	pinned int
	// stating is set if the endpoint states its slowdown.
	stating bool
	// suspect is set if the endpoint may be tried without a sign.
	suspect bool
	running int
	// integral is that of running over time, in seconds, up to integralAt.
	integral   float64
	integralAt time.Time
	byRunning  table
	// current is the throughput at the present limit, best the highest at which a limit was kept
	// since the endpoint last changed.
	current throughput
	best    float64
	// perSize is the mean time per size at the present limit, keptPerSize that when it was set.
	perSize, keptPerSize float64
	// epoch counts the changes of the limit.
	epoch uint32
	// changed is set from a change of the endpoint to the next limit that is kept.
	changed bool
	trial   *trial
	up      search
	down    search
	// descending is set while lower limits are kept one after the other.
	descending bool
}

// Run is a run in progress.
type Run struct {
	begunAt  time.Time
	integral float64
	epoch    uint32
	size     time.Duration
	// counted is set once the run has been recorded as overdue.
	counted bool
}

// IsZero reports whether the run was never begun.
func (r *Run) IsZero() bool { return r.begunAt.IsZero() }

// New returns a Limiter of an endpoint with the given number of slots.
func New(slots int) *Limiter {
	l := &Limiter{}
	l.SetSlots(slots)
	return l
}

// SetSlots sets the number of slots that the endpoint states. Another number begins anew.
func (l *Limiter) SetSlots(slots int) {
	slots = max(slots, 1)
	if slots == l.slots {
		return
	}
	running, integral, at, suspect := l.running, l.integral, l.integralAt, l.suspect
	*l = Limiter{
		slots: slots, limit: slots, pinned: l.pinned, running: running, integral: integral, integralAt: at, suspect: suspect, stating: l.stating,
		epoch: l.epoch + 1, byRunning: newTable(slots),
		up: search{pause: minPause, step: 1}, down: search{pause: minPause, step: max(1, slots/2)},
	}
}

// SetStating tells that the endpoint states its slowdown: what it explains is no part of the times, and a full
// endpoint that gives hardly more answers than a half full one has shown a sign.
func (l *Limiter) SetStating() { l.stating = true }

// SetSuspect tells whether the endpoint may be tried without a sign of its own, because it is far slower
// than others.
func (l *Limiter) SetSuspect(suspect bool) { l.suspect = suspect }

// TimePerSize returns the mean time of a run per size at the present limit, 0 if it is unknown.
func (l *Limiter) TimePerSize() float64 { return l.perSize }

// Pin sets the limit to a fixed number, bounded by the slots. With 0 it is learned.
func (l *Limiter) Pin(limit int) {
	if limit == l.pinned {
		return
	}
	l.pinned = max(0, limit)
	if l.trial != nil {
		l.limit, l.trial = l.trial.from, nil
	}
	l.epoch++
}

// Limit returns the number of requests that should run at most.
func (l *Limiter) Limit() int {
	if l.pinned > 0 {
		return min(l.pinned, l.slots)
	}
	return l.limit
}

// SetRunning records how many requests run at the endpoint.
func (l *Limiter) SetRunning(now time.Time, running int) {
	l.advance(now)
	l.running = running
}

func (l *Limiter) advance(now time.Time) {
	if !l.integralAt.IsZero() {
		l.integral += float64(l.running) * now.Sub(l.integralAt).Seconds()
	}
	l.integralAt = now
}

// Begin records the beginning of a run, after SetRunning. The size is an estimate.
func (l *Limiter) Begin(now time.Time, size time.Duration) Run {
	l.advance(now)
	return Run{begunAt: now, integral: l.integral, epoch: l.epoch, size: size}
}

// End records the end of a successful run, before SetRunning: its size, and its time without the part
// that is explained by the endpoint's slowdown.
func (l *Limiter) End(now time.Time, r Run, size, took time.Duration) {
	if size <= 0 || took <= 0 || r.IsZero() || l.pinned > 0 {
		return
	}
	if !r.counted {
		l.learn(now, r, size, took)
	}
	l.decide(now)
}

// learn records a run in the tables and in the trial.
func (l *Limiter) learn(now time.Time, r Run, size, took time.Duration) {
	l.advance(now)
	running := 1.0
	if d := now.Sub(r.begunAt).Seconds(); d > 0 {
		running = max(1, (l.integral-r.integral)/d)
	}
	l.byRunning[l.byRunning.index(running, l.slots)].add(running, size, took)
	if r.epoch != l.epoch || running < filled*float64(l.limit) {
		return
	}
	if l.trial != nil {
		l.trial.result.add(running, size, took)
		return
	}
	l.current.add(running, size, took)
	perSize := took.Seconds() / size.Seconds()
	if l.perSize == 0 {
		l.perSize = perSize
	}
	l.perSize += timeWeight * (perSize - l.perSize)
	if l.current.samples == baseSamples {
		l.keptPerSize = l.perSize
	}
}

// Overdue tells that a run takes far longer than expected already. It fails a trial that
// allows more requests, and the run is then left out of what is learned. Without such a trial it
// counts as a run that took the time until now.
func (l *Limiter) Overdue(now time.Time, r *Run) {
	if r.counted || r.IsZero() || l.pinned > 0 {
		return
	}
	r.counted = true
	if l.Probing() {
		l.endTrial(now, false)
		return
	}
	l.learn(now, *r, r.size, now.Sub(r.begunAt))
	l.decide(now)
}

// Expected returns the expected time of a run of a size at the present limit, 0 if it is unknown.
func (l *Limiter) Expected(size time.Duration) time.Duration {
	return time.Duration(l.perSize * float64(size))
}

// Probing reports whether a trial allows more requests now.
func (l *Limiter) Probing() bool { return l.trial != nil && l.trial.raises() }

// InForce reports whether the limit is below the number of slots.
func (l *Limiter) InForce() bool { return l.Limit() < l.slots }

// Kept returns the limit without a trial.
func (l *Limiter) Kept() int {
	if l.trial != nil {
		return l.trial.from
	}
	return l.Limit()
}

// Reason says why the limit is what it is.
func (l *Limiter) Reason() string {
	switch {
	case l.pinned > 0:
		return "pinned"
	case l.Probing():
		return "trying more"
	case l.trial != nil:
		return "trying fewer"
	case l.limit < l.slots:
		return "gives no more with more"
	}
	return ""
}
