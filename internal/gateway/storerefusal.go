package gateway

import "time"

// minRefusalTime is the minimum time for which an instance is ineligible for roles
// after the store has refused it but answered others. After that the instance tries
// to read again, and is eligible as soon as the store answers it. The minimum bounds
// how often roles move, as each move disturbs the zone.
const minRefusalTime = 6 * time.Second

// storeRefusal tracks whether the store refuses this instance while it answers
// others.
type storeRefusal struct {
	since time.Time // start of the refusal, zero if there is none
}

// update records whether the store is refusing this instance while answering
// others, and how long ago it last answered this instance, negative for never. It
// reports whether the instance is ineligible for roles.
func (r *storeRefusal) update(now time.Time, refused bool, answerAge time.Duration) bool {
	answered := answerAge >= 0 && answerAge < now.Sub(r.since)
	switch {
	case r.since.IsZero() && refused:
		r.since = now
	case r.retryDue(now) && answered:
		r.since = time.Time{}
	}
	return !r.since.IsZero()
}

// retryDue reports whether the instance is to read from the store, to find out
// whether it answers again.
func (r *storeRefusal) retryDue(now time.Time) bool {
	return !r.since.IsZero() && now.Sub(r.since) >= minRefusalTime
}
