package holdoff

import (
	"maps"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Max is the longest time for which an endpoint is avoided, whatever it asks for.
const Max = 10 * time.Minute

// Table holds the endpoints that are to be avoided.
type Table struct {
	rows map[entity.EndpointID]row
}

// row is what one incarnation of an endpoint has asked for.
type row struct {
	incarnation int64
	at, until   time.Time
}

// New returns an empty Table.
func New() *Table { return &Table{rows: make(map[entity.EndpointID]row)} }

// Add records that an endpoint wants no requests for d. An earlier request for a longer
// time remains in force.
func (t *Table) Add(now time.Time, e *catalog.Endpoint, d time.Duration) {
	if d <= 0 {
		return
	}
	until := now.Add(min(d, Max))
	if old, ok := t.rows[e.ID]; ok && old.incarnation == e.Incarnation && old.until.After(until) {
		return
	}
	t.rows[e.ID] = row{incarnation: e.Incarnation, at: now, until: until}
}

// noticeTime is within what time a restart of an endpoint is known.
const noticeTime = 2 * time.Second

// Restarted records that an endpoint is known now to have restarted as e. What it asked for shortly
// before may have come from e already, so it holds for e as well.
func (t *Table) Restarted(now time.Time, e *catalog.Endpoint) {
	r, ok := t.rows[e.ID]
	if ok && e.Incarnation > r.incarnation && now.Sub(r.at) <= noticeTime {
		r.incarnation = e.Incarnation
		t.rows[e.ID] = r
	}
}

// Len returns the number of endpoints in the table, including some whose time is over.
func (t *Table) Len() int { return len(t.rows) }

// Remaining returns for how long an endpoint is still to be avoided, 0 if it isn't.
func (t *Table) Remaining(now time.Time, e *catalog.Endpoint) time.Duration {
	r, ok := t.rows[e.ID]
	if !ok || r.incarnation != e.Incarnation {
		return 0
	}
	return max(0, r.until.Sub(now))
}

// Avoided returns the ids of the candidates that are to be avoided.
func (t *Table) Avoided(now time.Time, candidates []*catalog.Endpoint) []entity.EndpointID {
	if len(t.rows) == 0 {
		return nil
	}
	var out []entity.EndpointID
	for _, e := range candidates {
		if t.Remaining(now, e) > 0 {
			out = append(out, e.ID)
		}
	}
	return out
}

// Usable returns the candidates that need not be avoided.
func (t *Table) Usable(now time.Time, candidates []*catalog.Endpoint) []*catalog.Endpoint {
	if len(t.rows) == 0 {
		return candidates
	}
	out := make([]*catalog.Endpoint, 0, len(candidates))
	for _, e := range candidates {
		if t.Remaining(now, e) == 0 {
			out = append(out, e)
		}
	}
	return out
}

// FirstIn returns the time until the first of the candidates is usable: 0 if one is, or if
// there are none.
func (t *Table) FirstIn(now time.Time, candidates []*catalog.Endpoint) time.Duration {
	first := time.Duration(-1)
	for _, e := range candidates {
		if d := t.Remaining(now, e); first < 0 || d < first {
			first = d
		}
	}
	return max(0, first)
}

// Expire removes the rows whose time is over.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.rows, func(_ entity.EndpointID, r row) bool { return !now.Before(r.until) })
}
