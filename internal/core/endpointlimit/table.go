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
	// brittleInterval is the time between two requests to a brittle endpoint without a limit while
	// others of its pool are not brittle.
	brittleInterval = 20 * time.Millisecond
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
	// Brittle is set if the endpoint falls over once it has to turn away more than a number of
	// requests in a second for want of room.
	Brittle bool
}

// Interval returns the time between two requests to an endpoint at its limit, no longer than longest.
// One that is only brittle is granted a request as soon as it has room.
func (l Limit) Interval(longest time.Duration) time.Duration {
	if !l.Limited {
		return brittleInterval
	}
	return min(Interval(l.PerSecond), longest)
}

// Statement is what an endpoint last said about its limit, as instances send it to each other.
type Statement struct {
	Endpoint    entity.EndpointID `json:"e"`
	Incarnation int64             `json:"b"`
	Limited     bool              `json:"l,omitempty"`
	// PerSecond is the limit in requests per second, valid if Limited is set.
	PerSecond float64 `json:"r,omitempty"`
	// Brittle is set if the endpoint must not have to turn requests away.
	Brittle bool `json:"f,omitempty"`
	// Age is the time since the endpoint said so.
	Age time.Duration `json:"a"`
}

// Limit is what one incarnation of an endpoint asks for.
type Limit struct {
	Incarnation int64
	// Limited is set if the endpoint takes no more than PerSecond requests a second.
	Limited   bool
	PerSecond float64
	// Brittle is set if the endpoint must not have to turn requests away.
	Brittle bool
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
	brittle     bool
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
	t.apply(now, Statement{Endpoint: id, Incarnation: incarnation, Limited: r.Limited, PerSecond: r.PerSecond, Brittle: r.Brittle})
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
		if old != nil || s.asks() {
			t.replace(now, stated, s)
		}
	case s.Incarnation < old.incarnation:
	case old.equal(s):
		old.statedAt = max(old.statedAt, stated)
		if old.asks() && old.statedAt-old.sentAt >= repeatInterval {
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
	return r.limited == s.Limited && (!r.limited || r.perSecond == s.PerSecond) && r.brittle == s.Brittle
}

// asks reports whether the endpoint asks for anything.
func (s *Statement) asks() bool { return s.Limited || s.Brittle }

func (r *row) asks() bool { return r.limited || r.brittle }

// stricter reports whether a statement asks for more than the row.
func (r *row) stricter(s Statement) bool {
	if r.limited != s.Limited {
		return s.Limited
	}
	if r.limited && r.perSecond != s.PerSecond {
		return s.PerSecond < r.perSecond
	}
	return s.Brittle && !r.brittle
}

// supersededBy reports whether a statement with another limit, made at a time, takes the
// place of the row.
func (r *row) supersededBy(stated time.Duration, s Statement) bool {
	if d := stated - r.statedAt; d > OrderTolerance || d < -OrderTolerance {
		return d > 0
	}
	return r.stricter(s)
}

func (t *Table) replace(now, stated time.Duration, s Statement) {
	r := &row{incarnation: s.Incarnation, limited: s.Limited, perSecond: s.PerSecond, brittle: s.Brittle, statedAt: stated}
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
			out = append(out, Statement{Endpoint: id, Incarnation: r.incarnation, Limited: r.limited, PerSecond: r.perSecond, Brittle: r.brittle, Age: max(1, now-r.statedAt)})
		}
	}
	slices.SortFunc(out, func(a, b Statement) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Asks returns what an incarnation of an endpoint asks for, false if it asks for nothing.
func (t *Table) Asks(id entity.EndpointID, incarnation int64) (Limit, bool) {
	r := t.rows[id]
	if r == nil || !r.asks() || r.incarnation != incarnation {
		return Limit{}, false
	}
	return r.limit(), true
}

func (r *row) limit() Limit {
	return Limit{Incarnation: r.incarnation, Limited: r.limited, PerSecond: r.perSecond, Brittle: r.brittle}
}

// Limits returns what all endpoints ask for that ask for anything.
func (t *Table) Limits() map[entity.EndpointID]Limit {
	out := make(map[entity.EndpointID]Limit)
	for id, r := range t.rows {
		if r.asks() {
			out[id] = r.limit()
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
		if !r.asks() {
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
