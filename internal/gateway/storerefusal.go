package gateway

import "time"

// minRefusalTime is how long an instance goes without roles at least that the
// store refuses while it answers others. Then it tries to read, and has roles
// again once the store has answered it: each move of a role costs its zone
// something.
const minRefusalTime = 6 * time.Second

// storeRefusal keeps that the store refuses this instance alone.
type storeRefusal struct {
	since time.Time // zero while it does not
}

// update takes in whether the store was found to refuse this instance alone, and
// how long ago it has answered it, negative for never. It says whether the
// instance is to go without roles.
func (r *storeRefusal) update(now time.Time, found bool, answeredAgo time.Duration) bool {
	answered := answeredAgo >= 0 && answeredAgo < now.Sub(r.since)
	switch {
	case r.since.IsZero() && found:
		r.since = now
	case r.retryDue(now) && answered:
		r.since = time.Time{}
	}
	return !r.since.IsZero()
}

// retryDue says that the instance is to find out whether the store answers it.
func (r *storeRefusal) retryDue(now time.Time) bool {
	return !r.since.IsZero() && now.Sub(r.since) >= minRefusalTime
}
