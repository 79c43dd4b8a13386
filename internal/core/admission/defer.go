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

// setPatience decides how long j waits for an engine here that holds part of
// its prompt, be it now or later.
func (o *Owner) setPatience(now time.Time, p *pool, j *job) {
	var most time.Duration
	p.eligible(j, func(e *endpoint) bool {
		most = max(most, o.speeds.Rates(&e.row).PrefillTime(e.cachedTokens(j)))
		return true
	})
	bound := maxDefer
	if !j.work.Deadline.IsZero() {
		bound = min(bound, j.work.Deadline.Sub(now)/deferShare)
	}
	j.stayUntil = now.Add(min(deferFactor*most, bound))
	j.deferUntil = now.Add(bound)
}

// defers says that j would rather wait for another endpoint than take e now.
func (o *Owner) defers(now time.Time, p *pool, j *job, e *endpoint) bool {
	if !now.Before(j.deferUntil) {
		return false
	}
	here := loaded(e, o.runTime(e, j))
	better := false
	p.eligible(j, func(f *endpoint) bool {
		if f == e || f.open(now, o.settings.MaxPrefillBacklog) || f.cachedTokens(j) <= e.cachedTokens(j) {
			return true
		}
		saved := o.speeds.Rates(&e.row).PrefillTime(f.cachedTokens(j) - e.cachedTokens(j))
		better = f.firstFree(now, j.tier)+loaded(f, o.runTime(f, j)) < here+(deferFactor-1)*saved
		return !better
	})
	return better
}
