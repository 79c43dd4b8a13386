package admission

import "time"

// maxDefer bounds how long a job waits for an engine that holds its prompt.
const maxDefer = time.Second

// patience is how long j may wait for an engine here that holds part of its
// prompt: as long as it would take to process that part again.
func (o *Owner) patience(p *pool, j *job) time.Duration {
	var most time.Duration
	p.eligible(j, func(e *endpoint) bool {
		most = max(most, o.speeds.Rates(&e.row).PrefillTime(e.cachedTokens(j)))
		return true
	})
	return min(most, maxDefer)
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
