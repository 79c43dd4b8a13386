package limit

import (
	"math"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// account is a borrower's state of an organisation in use.
type account struct {
	org   entity.OrgID
	home  entity.InstanceID
	limit Limit
	bucket

	// rate and concurrent are the share, in force until leaseEnd.
	rate       float64
	concurrent int
	leaseEnd   time.Time
	// shareSeq is the sequence number of the newest share that was applied.
	shareSeq uint64

	inFlight int
	// peak is the recent maximum of inFlight; measure lets it decay.
	peak int
	// arrived counts the requests admitted or refused since measure was last called.
	arrived int
	// waiting counts the calls of Admit that wait for the answer to a demand.
	waiting int
	// demand is the smoothed rate of arrivals.
	demand     float64
	measuredAt time.Time

	usedAt     time.Time // last Admit
	reportedAt time.Time
	renewedAt  time.Time // when the demand that last began or renewed the lease was sent
	// demandQueuedAt is when the demand was queued whose answer requests wait for,
	// zero if they wait for none.
	demandQueuedAt time.Time
	// insufficient is set when the last answer granted less than was demanded.
	insufficient bool
	// lastReport is the last demand that was sent.
	lastReport OrgDemand
	// queued is set while the account is to be reported with the next Ready.
	queued bool
}

// leased reports whether the share is in force.
func (a *account) leased(now time.Time) bool { return now.Before(a.leaseEnd) }

// holdsShare reports whether a share is in force that is not empty.
func (a *account) holdsShare(now time.Time) bool {
	return a.leased(now) && (a.rate > 0 || a.concurrent > 0)
}

// allowedConcurrent returns the maximum of requests in flight: the share during
// the lease, otherwise unleased, the number that each instance may run without one.
func (a *account) allowedConcurrent(now time.Time, unleased int) int {
	if a.leased(now) {
		return a.concurrent
	}
	return min(unleased, a.limit.Concurrent)
}

// unusedConcurrent returns how much of the concurrency share the recent peak
// and twice its margin leave unused.
func (a *account) unusedConcurrent() int { return a.concurrent - a.peak - 2*concurrencyMargin(a.peak) }

// allowedRate returns the rate in force, including the base.
func (a *account) allowedRate(now time.Time, base float64) float64 {
	if a.leased(now) {
		return base + a.rate
	}
	return base
}

// bucketSize returns the size of the bucket at a rate, at least minSize.
func (a *account) bucketSize(rate float64, minSize int) float64 {
	if a.limit.Rate <= 0 {
		return 0
	}
	return max(float64(minSize), float64(a.limit.Burst)*rate/a.limit.Rate)
}

// demandWindow is the time constant over which arrivals are averaged.
const demandWindow = 2 * time.Second

// measure updates the smoothed demand with the arrivals since the last call.
func (a *account) measure(now time.Time) {
	d := now.Sub(a.measuredAt)
	if d <= 0 {
		return
	}
	keep := math.Exp(-d.Seconds() / demandWindow.Seconds())
	a.demand = a.demand*keep + float64(a.arrived)/d.Seconds()*(1-keep)
	a.arrived = 0
	a.measuredAt = now
	// Each call halves the excess of the peak over inFlight, so that a short pause in
	// the traffic does not count as its end.
	a.peak = a.inFlight + max(a.peak-a.inFlight, 0)/2
}
