package endpointlimit

import "time"

const (
	// MaxInterval is the longest time between two requests to an endpoint. One with a limit
	// of 0 gets a request that often: only a response says that the limit has ended.
	MaxInterval = 5 * time.Second
	// minInterval is the shortest time between two requests, whatever the limit.
	minInterval = time.Microsecond
	// maxCredit is how much of an unused interval is kept. It covers the time between two
	// steps of a broker.
	maxCredit = 20 * time.Millisecond
	// slotWidth is how long a staggered request stays allowed after it was due.
	slotWidth = 2 * maxCredit
)

// Pacer allows requests at even intervals.
type Pacer struct {
	interval time.Duration
	// last is when the latest request was due.
	last time.Time
	// staggered is set if a request that isn't sent when it is due is forfeited.
	staggered bool
}

// NewPacer returns a Pacer that has just allowed a request.
func NewPacer(now time.Time, perSecond, share float64) Pacer {
	return Pacer{interval: intervalOf(perSecond, share), last: now}
}

// NewStaggeredPacer returns a Pacer that is one of many for the same endpoint. Their requests
// are due at different times, given by phase in [0, 1), and are forfeited if they are not sent
// then: pacers that were all unused for a while would otherwise all allow one at the same time.
func NewStaggeredPacer(now time.Time, perSecond, share, phase float64) Pacer {
	p := NewPacer(now, perSecond, share)
	p.last = now.Add(-time.Duration(phase * float64(p.interval)))
	p.staggered = true
	return p
}

// Interval returns the time between two requests to an endpoint with a limit in requests per
// second.
func Interval(perSecond float64) time.Duration { return intervalOf(perSecond, 1) }

// intervalOf returns the time between two requests at a share of a limit.
func intervalOf(perSecond, share float64) time.Duration {
	interval := MaxInterval
	if perSecond*MaxInterval.Seconds() > 1 {
		interval = max(minInterval, time.Duration(float64(time.Second)/perSecond))
	}
	return time.Duration(float64(interval) / share)
}

// SetLimit changes the limit, in requests per second, and the share of it that may be used,
// which is above 0. The part of the interval that has passed remains the same: otherwise the
// pacers of many instances would all be due when their intervals become shorter.
func (p *Pacer) SetLimit(now time.Time, perSecond, share float64) {
	interval := intervalOf(perSecond, share)
	if interval == p.interval {
		return
	}
	p.forfeit(now)
	passed := min(1, float64(now.Sub(p.last))/float64(p.interval))
	p.interval = interval
	p.last = now.Add(-time.Duration(passed * float64(interval)))
}

// Wait returns the time until a request is allowed, 0 if one is now.
func (p *Pacer) Wait(now time.Time) time.Duration {
	p.forfeit(now)
	return max(0, p.last.Add(p.interval).Sub(now))
}

// forfeit skips the requests of a staggered Pacer that were due and not sent.
func (p *Pacer) forfeit(now time.Time) {
	missed := now.Sub(p.last.Add(p.interval))
	if !p.staggered || missed <= slotWidth {
		return
	}
	p.last = p.last.Add((missed/p.interval + 1) * p.interval)
}

// Take records that a request is sent.
func (p *Pacer) Take(now time.Time) {
	p.last = p.last.Add(p.interval)
	if earliest := now.Add(-maxCredit); p.last.Before(earliest) {
		p.last = earliest
	}
}

// Interval returns the time between two requests.
func (p *Pacer) Interval() time.Duration { return p.interval }
