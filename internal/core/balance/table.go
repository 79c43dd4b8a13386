package balance

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// remoteZonePenalty is the fraction of its slots by which an endpoint of a remote zone must be
	// less loaded than a local one to be chosen. Crossing zones costs time and bytes.
	remoteZonePenalty = 0.35
	// reportHalfLife is the half-life of the weight of a load that an endpoint reported.
	reportHalfLife = 300 * time.Millisecond
	// failuresToSuspend is the number of failures in a row from which an endpoint is suspended.
	failuresToSuspend = 2
	// minSuspension and maxSuspension bound the time of a suspension, which doubles with each
	// failure.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 4 * time.Second
	// defaultSlots is assumed for endpoints that state no number of slots.
	defaultSlots = 4
)

// Table holds what one instance knows about the load of endpoints.
type Table struct {
	rows map[entity.EndpointID]*row
}

// row is the load of one endpoint.
type row struct {
	inFlight int
	// otherLoad is the load caused by other instances, as of reportedAt.
	otherLoad      float64
	reportedAt     time.Time
	failuresInARow int
	// suspendedUntil is the time until which the endpoint is suspended after failures.
	suspendedUntil time.Time
	usedAt         time.Time
	// answers is what is known of the endpoint's times, nil before its first call.
	answers *answers
}

// Result is the outcome of a call.
type Result struct {
	Failed bool
	// Running and Waiting are the load that the endpoint reported, if HasLoad is set.
	HasLoad          bool
	Running, Waiting int
	// Slowdown is what the endpoint stated about how long work takes there, 0 for nothing.
	Slowdown float64
	// Took is the time from the dispatch to the response, 0 if it says nothing.
	Took time.Duration
}

// New returns an empty Table.
func New() *Table { return &Table{rows: make(map[entity.EndpointID]*row)} }

// Pick chooses the least loaded of the candidates, with a preference for those of the given zone,
// and counts a call in flight there. Endpoints that are suspended or in avoid are chosen only if
// there is no other. The request id breaks ties. Pick returns false if all candidates are leaving.
func (t *Table) Pick(now time.Time, candidates []*catalog.Endpoint, zone entity.ZoneID, avoid []entity.EndpointID, id entity.RequestID) (*catalog.Endpoint, bool) {
	var best *catalog.Endpoint
	bestScore := math.Inf(1)
	times := t.timesLonger(now, candidates)
	for i, e := range candidates {
		if e.Leaving {
			continue
		}
		s := t.score(now, e, zone, avoid) + tieBreak(id, e.ID)
		if times != nil {
			s += t.loadShare(now, e, 1)*times[i] - t.loadShare(now, e, 0)
		}
		if s < bestScore {
			best, bestScore = e, s
		}
	}
	if best == nil {
		return nil, false
	}
	r := t.row(best.ID)
	r.observe(best)
	r.inFlight++
	r.usedAt = now
	return best, true
}

// Penalties that rank an endpoint behind all others. The unit is that of scores: the load divided by
// the number of slots.
const (
	suspendedPenalty = 1000
	avoidedPenalty   = 10000
)

func (t *Table) score(now time.Time, e *catalog.Endpoint, zone entity.ZoneID, avoid []entity.EndpointID) float64 {
	r := t.row(e.ID)
	score := t.loadShare(now, e, 0)
	if e.Zone != zone {
		score += remoteZonePenalty
	}
	if now.Before(r.suspendedUntil) {
		score += suspendedPenalty
	}
	if slices.Contains(avoid, e.ID) {
		score += avoidedPenalty
	}
	return score
}

// loadShare returns the load of an endpoint with some calls more, divided by its slots.
func (t *Table) loadShare(now time.Time, e *catalog.Endpoint, more float64) float64 {
	return (t.row(e.ID).load(now) + more) / float64(slotsOf(e))
}

// load estimates the number of calls at the endpoint.
func (r *row) load(now time.Time) float64 {
	age := now.Sub(r.reportedAt)
	return float64(r.inFlight) + r.otherLoad*math.Exp2(-float64(age)/float64(reportHalfLife))
}

func slotsOf(e *catalog.Endpoint) int {
	if e.Slots <= 0 {
		return defaultSlots
	}
	return e.Slots
}

// tieBreak returns a small offset that spreads calls over endpoints with the same load.
func tieBreak(id entity.RequestID, e entity.EndpointID) float64 {
	const spread = 1e-3
	return spread * float64(xxhash.Sum64String(string(id)+string(e))>>11) / (1 << 53)
}

// Done records the result of a call and that it is no longer in flight.
func (t *Table) Done(now time.Time, id entity.EndpointID, res Result) {
	r := t.row(id)
	r.learn(now, res)
	r.inFlight = max(0, r.inFlight-1)
	if res.HasLoad {
		r.otherLoad = max(0, float64(res.Running+res.Waiting-r.inFlight-1))
		r.reportedAt = now
	}
	if !res.Failed {
		r.failuresInARow = 0
		r.suspendedUntil = time.Time{}
		return
	}
	r.failuresInARow++
	if r.failuresInARow >= failuresToSuspend {
		d := minSuspension << min(r.failuresInARow-failuresToSuspend, 8)
		r.suspendedUntil = now.Add(min(d, maxSuspension))
	}
}

// RemoveIdle removes the endpoints without calls in flight that were last used before the given
// time.
func (t *Table) RemoveIdle(before time.Time) {
	for id, r := range t.rows {
		if r.inFlight == 0 && r.usedAt.Before(before) {
			delete(t.rows, id)
		}
	}
}

func (t *Table) row(id entity.EndpointID) *row {
	r := t.rows[id]
	if r == nil {
		r = &row{}
		t.rows[id] = r
	}
	return r
}
