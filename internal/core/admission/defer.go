package admission

import "time"

const (
	// deferFactor is how much longer than processing its prompt again a job
	// waits for an engine that holds the prompt.
	deferFactor = 8
	// deferShare bounds that wait to a share of the time to the deadline, and
	// maxDefer where there is none.
	deferShare = 5
	maxDefer   = time.Minute
)

// patience is how long j may wait for an engine here that holds part of its
// prompt.
func (o *Owner) patience(now time.Time, p *pool, j *job) time.Duration {
	var most time.Duration
	p.eligible(j, func(e *endpoint) bool {
		most = max(most, o.speeds.Rates(&e.row).PrefillTime(e.cachedTokens(j)))
		return true
	})
	bound := maxDefer
	if !j.work.Deadline.IsZero() {
		bound = min(bound, j.work.Deadline.Sub(now)/deferShare)
	}
	return min(deferFactor*most, bound)
}

// defers says that j would rather wait for another endpoint than take e now.
func (o *Owner) defers(now time.Time, p *pool, j *job, e *endpoint) bool {
	if !now.Before(j.deferUntil) {
		return false
	}
	here := loaded(e, o.runTime(e, j))
	better := false
	p.eligible(j, func(f *endpoint) bool {
		if f == e || f.open(now, o.settings.PrefillAhead) || f.cachedTokens(j) <= e.cachedTokens(j) {
			return true
		}
		better = f.firstFree(now, j.tier)+loaded(f, o.runTime(f, j)) < here
		return !better
	})
	return better
}
