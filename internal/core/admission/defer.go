package admission

import "time"

const (
	// deferFactor is how long a job waits for an engine that has its prompt in
	// cache, as a multiple of the time to process the cached part again.
	deferFactor = 8
	// deferShare bounds that wait to 1/deferShare of the time to the deadline.
	// maxDefer bounds it in any case.
	deferShare = 5
	maxDefer   = time.Minute
)

// setCacheWait sets how long j waits for an engine of this owner that has part
// of its prompt in cache.
func (o *Owner) setCacheWait(now time.Time, p *pool, j *job) {
	var maxSaved time.Duration
	p.eachEligible(j, func(e *endpoint) bool {
		maxSaved = max(maxSaved, o.speeds.Rates(&e.row).PrefillTime(e.cachedTokens(j)))
		return true
	})
	bound := maxDefer
	if !j.work.Deadline.IsZero() {
		bound = min(bound, j.work.Deadline.Sub(now)/deferShare)
	}
	j.cacheWaitUntil = now.Add(min(deferFactor*maxSaved, bound))
	j.deferUntil = now.Add(bound)
}

// defers reports whether j should wait for another endpoint, which has more of its
// prompt in cache, instead of being granted e now.
func (o *Owner) defers(now time.Time, p *pool, j *job, e *endpoint) bool {
	if !now.Before(j.deferUntil) {
		return false
	}
	here := loadAdjusted(e, o.runTime(e, j))
	better := false
	p.eachEligible(j, func(f *endpoint) bool {
		if f == e || f.available(now, o.settings.MaxPrefillBacklog) || f.cachedTokens(j) <= e.cachedTokens(j) {
			return true
		}
		saved := o.speeds.Rates(&e.row).PrefillTime(f.cachedTokens(j) - e.cachedTokens(j))
		better = f.firstFree(now, j.tier)+loadAdjusted(f, o.runTime(f, j)) < here+(deferFactor-1)*saved
		return !better
	})
	return better
}
