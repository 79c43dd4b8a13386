package endpointlimit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// OrderTolerance is the difference of ages below which the order of two statements of
	// different instances is unknown: it is longer than messages take.
	OrderTolerance = 500 * time.Millisecond
	// repeatInterval is the time after which a statement that is still made is sent to
	// other instances again.
	repeatInterval = time.Minute
	// retention is how long a limit holds that is never stated again.
	retention = 10 * time.Minute
	// unlimitedRetention is how long it is remembered that an endpoint has taken its limit
	// back. Older statements have reached all instances by then.
	unlimitedRetention = 30 * time.Second
)

// Reading is what one response of an endpoint says about its limit.
type Reading struct {
	// Limited is set if the response states a limit, PerSecond is the limit in requests
	// per second.
	Limited   bool
	PerSecond float64
	// Unreadable is set if the response states a limit that is not a number of 0 or more.
	Unreadable bool
}

// Statement is what an endpoint last said about its limit, as instances send it to each other.
type Statement struct {
	Endpoint    entity.EndpointID `json:"e"`
	Incarnation int64             `json:"b"`
	Limited     bool              `json:"l,omitempty"`
	// PerSecond is the limit in requests per second, valid if Limited is set.
	PerSecond float64 `json:"r,omitempty"`
	// Age is the time since the endpoint said so.
	Age time.Duration `json:"a"`
}

// Limit is the limit of one incarnation of an endpoint, in requests per second.
type Limit struct {
	Incarnation int64
	PerSecond   float64
}

// Table holds the newest statement of each endpoint. All times are durations on a clock that
// includes time in suspension.
type Table struct {
	rows    map[entity.EndpointID]*row
	version uint64
	changes []Statement
}

type row struct {
	incarnation int64
	limited     bool
	perSecond   float64
	statedAt    time.Duration
	// version is that of the table when the row was last to be sent, at sentAt.
	version uint64
	sentAt  time.Duration
}

// New returns an empty Table.
func New() *Table { return &Table{rows: make(map[entity.EndpointID]*row)} }

// Version grows with each change that other instances are to learn of.
func (t *Table) Version() uint64 { return t.version }

// Len returns the number of endpoints that have stated a limit, or taken one back not long ago.
func (t *Table) Len() int { return len(t.rows) }

// Record processes a response that this instance has received from an endpoint.
func (t *Table) Record(now time.Duration, id entity.EndpointID, incarnation int64, r Reading) {
	if r.Unreadable {
		return
	}
	t.apply(now, Statement{Endpoint: id, Incarnation: incarnation, Limited: r.Limited, PerSecond: r.PerSecond})
}

// Merge processes the statements that another instance knows of.
func (t *Table) Merge(now time.Duration, statements []Statement) {
	for _, s := range statements {
		t.apply(now, s)
	}
}

// apply processes one statement.
func (t *Table) apply(now time.Duration, s Statement) {
	stated := now - max(0, s.Age)
	old := t.rows[s.Endpoint]
	switch {
	case old == nil || s.Incarnation > old.incarnation:
		if old != nil || s.Limited {
			t.replace(now, stated, s)
		}
	case s.Incarnation < old.incarnation:
	case old.equal(s):
		old.statedAt = max(old.statedAt, stated)
		if old.limited && old.statedAt-old.sentAt >= repeatInterval {
			t.send(now, old)
		}
	case old.supersededBy(stated, s):
		t.replace(now, stated, s)
	case s.Age > 0:
		t.send(now, old) // the sender must learn that there is a newer or lower one
	}
}

// equal reports whether the row holds the limit of a statement.
func (r *row) equal(s Statement) bool {
	return r.limited == s.Limited && (!r.limited || r.perSecond == s.PerSecond)
}

// supersededBy reports whether a statement with another limit, made at a time, takes the
// place of the row.
func (r *row) supersededBy(stated time.Duration, s Statement) bool {
	if d := stated - r.statedAt; d > OrderTolerance || d < -OrderTolerance {
		return d > 0
	}
	return s.Limited && (!r.limited || s.PerSecond < r.perSecond)
}

func (t *Table) replace(now, stated time.Duration, s Statement) {
	r := &row{incarnation: s.Incarnation, limited: s.Limited, perSecond: s.PerSecond, statedAt: stated}
	t.rows[s.Endpoint] = r
	t.changes = append(t.changes, s)
	t.send(now, r)
}

// send marks a row to be sent to the other instances.
func (t *Table) send(now time.Duration, r *row) {
	t.version++
	r.version, r.sentAt = t.version, now
}

// Since returns the statements that have changed since a version of this table.
func (t *Table) Since(now time.Duration, version uint64) []Statement {
	var out []Statement
	for id, r := range t.rows {
		if r.version > version {
			out = append(out, Statement{Endpoint: id, Incarnation: r.incarnation, Limited: r.limited, PerSecond: r.perSecond, Age: max(1, now-r.statedAt)})
		}
	}
	slices.SortFunc(out, func(a, b Statement) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Limit returns the limit of an incarnation of an endpoint, false if it has stated none.
func (t *Table) Limit(id entity.EndpointID, incarnation int64) (perSecond float64, ok bool) {
	r := t.rows[id]
	if r == nil || !r.limited || r.incarnation != incarnation {
		return 0, false
	}
	return r.perSecond, true
}

// Limits returns the limits of all endpoints that have one.
func (t *Table) Limits() map[entity.EndpointID]Limit {
	out := make(map[entity.EndpointID]Limit)
	for id, r := range t.rows {
		if r.limited {
			out[id] = Limit{Incarnation: r.incarnation, PerSecond: r.perSecond}
		}
	}
	return out
}

// Changes returns the statements that have changed a limit since the last call.
func (t *Table) Changes() []Statement {
	c := t.changes
	t.changes = nil
	return c
}

// Expire removes the statements that are not made any more.
func (t *Table) Expire(now time.Duration) {
	maps.DeleteFunc(t.rows, func(id entity.EndpointID, r *row) bool {
		if !r.limited {
			return now-r.statedAt > unlimitedRetention
		}
		if now-r.statedAt <= retention {
			return false
		}
		t.version++
		t.changes = append(t.changes, Statement{Endpoint: id, Incarnation: r.incarnation})
		return true
	})
}
