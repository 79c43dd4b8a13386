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
	// foreignZoneLoad is the share of an endpoint's slots by which one of another
	// zone must be less loaded to be chosen: crossing zones costs time and bytes.
	foreignZoneLoad = 0.35
	// reportHalfLife is how fast what an endpoint said of its load loses weight.
	reportHalfLife = 300 * time.Millisecond
	// failuresToSuspend in a row have an endpoint passed over.
	failuresToSuspend = 2
	// minSuspension and maxSuspension bound for how long; it doubles with each failure.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 4 * time.Second
	// defaultSlots is assumed of endpoints that state none.
	defaultSlots = 4
)

// Table is what one instance knows of endpoints' load.
type Table struct {
	rows map[entity.EndpointID]*row
}

// row is one endpoint.
type row struct {
	inFlight int
	// others is the load that other instances caused, as of reportedAt.
	others     float64
	reportedAt time.Time
	failures   int // in a row
	// suspendedUntil is when it is chosen again after failures.
	suspendedUntil time.Time
	usedAt         time.Time
}

// Result is how a call went.
type Result struct {
	Failed bool
	// Running and Waiting are the endpoint's own word, where HasLoad is set.
	HasLoad          bool
	Running, Waiting int
}

// New returns an empty table.
func New() *Table { return &Table{rows: make(map[entity.EndpointID]*row)} }

// Pick chooses the least loaded of the candidates, the own zone preferred. Those
// to avoid are taken only where there is no other. The id breaks ties.
func (t *Table) Pick(now time.Time, candidates []*catalog.Endpoint, zone entity.ZoneID, avoid []entity.EndpointID, id entity.RequestID) (*catalog.Endpoint, bool) {
	var best *catalog.Endpoint
	bestScore := math.Inf(1)
	for _, e := range candidates {
		if e.Leaving {
			continue
		}
		if s := t.score(now, e, zone, avoid) + tieBreak(id, e.ID); s < bestScore {
			best, bestScore = e, s
		}
	}
	if best == nil {
		return nil, false
	}
	r := t.row(best.ID)
	r.inFlight++
	r.usedAt = now
	return best, true
}

// Penalties that put an endpoint behind all others, in slots' shares.
const (
	suspendedPenalty = 1000
	avoidedPenalty   = 10000
)

func (t *Table) score(now time.Time, e *catalog.Endpoint, zone entity.ZoneID, avoid []entity.EndpointID) float64 {
	r := t.row(e.ID)
	age := now.Sub(r.reportedAt)
	load := float64(r.inFlight) + r.others*math.Exp2(-float64(age)/float64(reportHalfLife))
	slots := e.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	score := load / float64(slots)
	if e.Zone != zone {
		score += foreignZoneLoad
	}
	if now.Before(r.suspendedUntil) {
		score += suspendedPenalty
	}
	if slices.Contains(avoid, e.ID) {
		score += avoidedPenalty
	}
	return score
}

// tieBreak spreads calls over endpoints that are loaded alike.
func tieBreak(id entity.RequestID, e entity.EndpointID) float64 {
	const spread = 1e-3
	return spread * float64(xxhash.Sum64String(string(id)+string(e))>>11) / (1 << 53)
}

// Done gives an endpoint back.
func (t *Table) Done(now time.Time, id entity.EndpointID, res Result) {
	r := t.row(id)
	r.inFlight = max(0, r.inFlight-1)
	if res.HasLoad {
		r.others = max(0, float64(res.Running+res.Waiting-r.inFlight-1))
		r.reportedAt = now
	}
	if !res.Failed {
		r.failures = 0
		r.suspendedUntil = time.Time{}
		return
	}
	r.failures++
	if r.failures >= failuresToSuspend {
		d := minSuspension << min(r.failures-failuresToSuspend, 8)
		r.suspendedUntil = now.Add(min(d, maxSuspension))
	}
}

// RemoveIdle drops endpoints that were not used for a while and carry nothing.
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
