package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// departureRepeat is how long a departure is included in messages to other instances:
// several messages, as some may be lost.
const departureRepeat = 3 * time.Second

// Departure says that an endpoint is going to stop. Most endpoints state it themselves, in their
// entries in the store or in responses to requests. That holds for the rest of the incarnation,
// whatever is read of the endpoint later.
type Departure struct {
	ID          entity.EndpointID `json:"i"`
	Incarnation int64             `json:"b"`
	// Removed is set if the endpoint's entry was removed from the store after its change Seq. A
	// later change restores the endpoint.
	Removed bool  `json:"r,omitempty"`
	Seq     int64 `json:"q,omitempty"`
}

// row returns the row to which the departure applies.
func (d *Departure) row() *Endpoint { return &Endpoint{Incarnation: d.Incarnation, Seq: d.Seq} }

// departures holds the endpoints that are going to stop.
type departures map[entity.EndpointID]departureRecord

// departureRecord is a departure and the time at which this instance learned of it from the store
// or a message; zero if it learned of it from a table, which needs no repetition.
type departureRecord struct {
	incarnation int64
	learnedAt   time.Time
}

// applyTo returns the change with its row marked if the endpoint has stated that it is
// going to stop. It records such a statement that the row itself makes, learned at the given time.
func (d departures) applyTo(learnedAt time.Time, c Change) Change {
	if c.Row == nil {
		return c
	}
	record, known := d[c.ID]
	switch {
	case c.Row.Leaving && (!known || record.incarnation < c.Row.Incarnation):
		d[c.ID] = departureRecord{incarnation: c.Row.Incarnation, learnedAt: learnedAt}
	case !c.Row.Leaving && known && record.incarnation == c.Row.Incarnation:
		row := *c.Row
		row.Leaving = true
		c.Row = &row
	}
	return c
}

// RecordDepartures records departures of which this instance or another one has learned. Those of
// endpoints that are not in the table, or have restarted since, are ignored. It reports whether the
// table was replaced.
func (d *Discovery) RecordDepartures(now time.Time, departed []Departure) bool {
	var changes []Change
	for _, s := range departed {
		row, ok := d.table.Get(s.ID)
		switch {
		case !ok:
		case s.Removed && !row.laterThan(s.row()):
			d.removed[s.ID] = tombstone{row: s.row(), at: now, tell: true}
			changes = append(changes, Change{ID: s.ID})
		case !s.Removed && row.Incarnation == s.Incarnation && !row.Leaving:
			d.departures[s.ID] = departureRecord{incarnation: s.Incarnation, learnedAt: now}
			changes = append(changes, Change{ID: s.ID, Row: row})
		}
	}
	return d.apply(now, changes)
}

// RecentDepartures returns the departures that other instances may not know yet, sorted by id.
func (d *Discovery) RecentDepartures(now time.Time) []Departure {
	var out []Departure
	for id, r := range d.departures {
		if now.Sub(r.learnedAt) < departureRepeat {
			out = append(out, Departure{ID: id, Incarnation: r.incarnation})
		}
	}
	for id, t := range d.removed {
		if t.tell && now.Sub(t.at) < departureRepeat {
			out = append(out, Departure{ID: id, Incarnation: t.row.Incarnation, Removed: true, Seq: t.row.Seq})
		}
	}
	slices.SortStableFunc(out, func(a, b Departure) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// expireDepartures removes the departures of endpoints whose last row is not kept any more.
func (d *Discovery) expireDepartures() {
	for id := range d.departures {
		_, present := d.table.Get(id)
		if _, kept := d.removed[id]; !present && !kept {
			delete(d.departures, id)
		}
	}
}
