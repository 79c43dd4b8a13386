package quota

import (
	"math"
	"time"
)

// meterAccount is the state of one organisation at one instance.
type meterAccount struct {
	limit Limit
	total float64 // admitted since the start
	// level is the local copy of the bucket's level as of at.
	level    float64
	at       time.Time
	received Account
	rate     rate
	// counted is the total that the coordinator has counted.
	counted float64
	// answered is set once the present ledger has sent an account.
	answered bool
	// rateAtUpdate is the rate of this instance at the coordinator's last update.
	// An isolated instance is limited by it, so that its allowance does not grow
	// with its use in the meantime.
	rateAtUpdate float64
	// reported is the total that was last reported.
	reported float64
	// spent is what was admitted and not counted in the coordinator's last
	// update.
	spent float64
	// window is the use by all instances as the coordinator's accounts state it, nil if
	// unknown or the limit has no window. lastUsed is the last Account.Used, as of the present
	// ledger if usedKnown.
	window    *UseWindow
	lastUsed  float64
	usedKnown bool
}

// apply processes the coordinator's account of one organisation.
func (a *meterAccount) apply(now time.Time, account Account) {
	a.applyUsed(now, account)
	a.received, a.at, a.answered = account, now, true
	if account.Counted != notReported {
		a.counted = account.Counted
	}
	a.updateRate(now)
	a.spent = a.total - a.counted
	a.level = account.Level - a.spent
}

// applyUsed records the use that the coordinator's account states. Between the last account of
// one ledger and the first of the next, use is taken to go on as before.
func (a *meterAccount) applyUsed(now time.Time, account Account) {
	if a.limit.Window <= 0 || account.Used <= 0 {
		return
	}
	if a.window == nil || a.window.length != a.limit.Window {
		a.window, a.usedKnown = newWindow(now, a.limit), false
	}
	a.window.rescale(a.limit)
	used := account.Used - a.lastUsed
	if !a.usedKnown || used < 0 {
		used = a.received.GroupUseRate * min(now.Sub(a.at), a.limit.Window).Seconds()
	}
	a.window.add(now, used)
	a.lastUsed, a.usedKnown = account.Used, true
}

// applyOmitted processes accounts that omit the organisation: its bucket is not low.
func (a *meterAccount) applyOmitted(now time.Time) {
	a.updateRate(now)
	if a.answered && a.total == a.counted {
		a.level = max(a.level, lowLevelFraction*a.limit.Burst)
	}
}

// updateRate records the rate at an update of the coordinator.
func (a *meterAccount) updateRate(now time.Time) {
	a.rate.decay(now)
	a.rateAtUpdate = a.rate.value
}

// maxRequiredFraction is the fraction of the burst that must suffice for any request: the
// bucket of a zone that is cut off is smaller than the burst, and must be able to hold it.
const maxRequiredFraction = 0.125

// maxRequired returns the level that suffices for a request of any cost.
func (a *meterAccount) maxRequired(isolated bool, instances int) float64 {
	required := maxRequiredFraction * a.limit.Burst
	if isolated {
		required = min(required, a.limit.Burst*a.isolatedShare(instances))
	}
	return required
}

// refill adds what has accrued since the last call. An isolated instance adds no
// more than its previous rate and its headroom, and accumulates no more than its
// share of the burst.
func (a *meterAccount) refill(now time.Time, isolated bool, instances int) {
	d := now.Sub(a.at).Seconds()
	if d <= 0 {
		return
	}
	a.at = now
	inflow, maxLevel := min(a.received.RefillRate, a.limit.Rate+a.limit.extraRate()), a.limit.Burst
	if isolated {
		inflow = min(inflow, a.limit.Rate, a.rateAtUpdate+headroomFraction*a.limit.Rate/float64(instances))
		maxLevel *= a.isolatedShare(instances)
	}
	a.level = min(a.level+inflow*d, maxLevel)
}

// isolatedShare returns the fraction of the burst that an isolated instance may
// accumulate: its fraction of the total use before, but at least an equal share.
// Without this bound the whole burst could be used by each isolated instance, and
// once more by the others.
func (a *meterAccount) isolatedShare(instances int) float64 {
	equal := 1 / float64(instances)
	if a.received.GroupUseRate <= 0 {
		return equal
	}
	return min(1, max(equal, a.rateAtUpdate/a.received.GroupUseRate))
}

// share returns this instance's fraction of the total use.
func (a *meterAccount) share() float64 {
	if a.received.GroupUseRate <= 0 {
		return 1
	}
	return min(1, a.rate.value/a.received.GroupUseRate)
}

// spendable returns what this instance may admit now; one more request is
// admitted while it is positive. With stale accounts it leaves the other
// instances their share.
func (a *meterAccount) spendable(age time.Duration, isolated bool) float64 {
	if isolated || age < staleAfter || a.level <= 0 {
		return a.level
	}
	return (a.level+a.spent)*a.share() - a.spent
}

func (a *meterAccount) spend(now time.Time, cost float64) {
	a.total += cost
	a.level -= cost
	a.spent += cost
	a.rate.add(now, cost)
}

// retryAfter returns the time until the bucket holds what a request requires, within
// minRetryAfter and maxRetryAfter.
func (a *meterAccount) retryAfter(required float64) time.Duration {
	if a.limit.Rate <= 0 {
		return maxRetryAfter
	}
	d := time.Duration((required - a.level) / a.limit.Rate * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// rate estimates use per second as an exponentially weighted average.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.decay(now)
	r.value = max(0, r.value+amount/rateWindow.Seconds())
}

func (r *rate) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		r.value *= math.Exp(-d.Seconds() / rateWindow.Seconds())
		r.at = now
	}
}
