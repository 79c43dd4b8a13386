package limit

import (
	"math"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// account is what a borrower keeps of an organisation in use.
type account struct {
	org   entity.OrgID
	home  entity.InstanceID
	limit Limit
	bucket

	// rate and concurrent are the share, in force until the lease ends.
	rate       float64
	concurrent int
	lease      time.Time
	// seen is the number of the newest share taken in.
	seen uint64

	inFlight int
	// peak is the most in flight of late, see measure.
	peak int
	// arrived and waiting count since the last report.
	arrived int
	waiting int
	// demand is the smoothed rate of arrivals.
	demand   float64
	measured time.Time

	used     time.Time // last Take
	reported time.Time
	renewed  time.Time // when the demand was sent that the lease counts from
	// asked is when an unanswered ask was sent.
	asked time.Time
	// short says that the last answer gave less than was wanted.
	short bool
	// told is what the last report said.
	told OrgDemand
	// queued marks the account as waiting to be sent in the next Ready.
	queued bool
}

// leased reports whether the share is in force.
func (a *account) leased(now time.Time) bool { return now.Before(a.lease) }

// holds reports whether a share is in force that is worth giving back.
func (a *account) holds(now time.Time) bool {
	return a.leased(now) && (a.rate > 0 || a.concurrent > 0)
}

// allowedConcurrent is the bound on requests in flight: the share while the
// lease lasts, else what each instance may run unasked.
func (a *account) allowedConcurrent(now time.Time, first int) int {
	if a.leased(now) {
		return a.concurrent
	}
	return min(first, a.limit.Concurrent)
}

// spare is how much of the share has been of no use of late.
func (a *account) spare() int { return a.concurrent - a.peak - 2*spareFor(a.peak) }

// allowedRate is the rate in force, the base included.
func (a *account) allowedRate(now time.Time, base float64) float64 {
	if a.leased(now) {
		return base + a.rate
	}
	return base
}

// size is the size of the bucket at a rate, at least first.
func (a *account) size(rate float64, first int) float64 {
	if a.limit.Rate <= 0 {
		return 0
	}
	return max(float64(first), float64(a.limit.Burst)*rate/a.limit.Rate)
}

// demandWindow is the time over which arrivals are averaged.
const demandWindow = 2 * time.Second

// measure moves the arrivals since the last call into the smoothed demand.
func (a *account) measure(now time.Time) {
	d := now.Sub(a.measured)
	if d <= 0 {
		return
	}
	keep := math.Exp(-d.Seconds() / demandWindow.Seconds())
	a.demand = a.demand*keep + float64(a.arrived)/d.Seconds()*(1-keep)
	a.arrived = 0
	a.measured = now
	// Half of the fall each time, so that a lull is not taken for the end.
	a.peak = a.inFlight + max(a.peak-a.inFlight, 0)/2
}
