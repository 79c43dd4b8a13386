package broker

import (
	"math"
	"time"
)

// Demand comes in waves: what it will be in a few seconds is nearer to its mean than to what it is
// now. Appointments count on this, but not on demand falling below what it has been on average.

const (
	// demandWindow is the time over which the present demand is averaged, meanDemandWindow that
	// for its mean.
	demandWindow     = time.Second
	meanDemandWindow = 30 * time.Second
	// demandReturn is the time within which demand comes nearer to its mean by a factor of e.
	demandReturn = 2 * time.Second
)

// demand is the slot time that requests ask for, in slots.
type demand struct {
	present, mean movingRate
}

// add records a request that was sent for the first time.
func (d *demand) add(now time.Time, occupancy time.Duration) {
	d.present.add(now, demandWindow, occupancy.Seconds())
	d.mean.add(now, meanDemandWindow, occupancy.Seconds())
}

// at returns the present demand.
func (d *demand) at(now time.Time) float64 { return d.present.at(now, demandWindow) }

// in returns the demand that is expected after the given time.
func (d *demand) in(now time.Time, after time.Duration) float64 {
	present, mean := d.at(now), d.mean.at(now, meanDemandWindow)
	return mean + (present-mean)*math.Exp(-after.Seconds()/demandReturn.Seconds())
}

// movingRate is an amount per second, averaged with exponentially falling weights over a window.
type movingRate struct {
	sum              float64
	since, updatedAt time.Time
}

func (r *movingRate) add(now time.Time, window time.Duration, amount float64) {
	if r.since.IsZero() {
		r.since, r.updatedAt = now, now
	}
	r.sum = r.decayed(now, window) + amount
	r.updatedAt = now
}

// at returns the rate. The time before the first amount doesn't count.
func (r *movingRate) at(now time.Time, window time.Duration) float64 {
	if r.since.IsZero() {
		return 0
	}
	age := max(now.Sub(r.since).Seconds(), TickInterval.Seconds())
	return r.decayed(now, window) / (window.Seconds() * (1 - math.Exp(-age/window.Seconds())))
}

func (r *movingRate) decayed(now time.Time, window time.Duration) float64 {
	return r.sum * math.Exp(-now.Sub(r.updatedAt).Seconds()/window.Seconds())
}
