package reach

import (
	"maps"
	"time"
)

const (
	// firstPause is the time from a bypass to the next attempt to connect directly. It doubles with
	// each failure up to maxPause.
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
	// cutOffAfter is the number of bypassed endpoints from which the instance counts as cut off.
	cutOffAfter = 3
	// retention is how long a bypassed endpoint is remembered that is not used.
	retention = 30 * time.Second
)

// Way is how to connect to an endpoint.
type Way int

// The ways.
const (
	// Direct: the instance connects itself, and through another one only if that takes long or fails.
	Direct Way = iota
	// Both: the instance tries both at once and prefers its own connection.
	Both
	// Bypass: the instance connects through another one, and itself only if that fails.
	Bypass
)

// Table holds the endpoints that are bypassed, by address.
type Table struct {
	rows map[string]*row
	// reachedAt is when a connection was last opened directly.
	reachedAt time.Time
}

type row struct {
	// since is when the bypass began, last when it was last used, until when a direct connection is
	// tried again.
	since, last, until time.Time
	pause              time.Duration
}

// New returns an empty Table.
func New() *Table { return &Table{rows: make(map[string]*row)} }

// Next returns how to connect to an endpoint now.
func (t *Table) Next(now time.Time, address string) Way {
	r := t.rows[address]
	switch {
	case r == nil && t.CutOff():
		return Both
	case r == nil:
		return Direct
	case now.Before(r.until):
		return Bypass
	}
	r.until = now.Add(r.pause) // one connection at a time tries
	return Both
}

// Bypassed records that a connection through another instance was opened while a direct one could
// not be. It reports whether the endpoint was not bypassed before.
func (t *Table) Bypassed(now time.Time, address string) bool {
	r := t.rows[address]
	if r == nil {
		t.rows[address] = &row{since: now, last: now, until: now.Add(firstPause), pause: firstPause}
		return true
	}
	r.last = now
	if now.Before(r.until.Add(-r.pause)) {
		return false
	}
	r.pause = min(2*r.pause, maxPause)
	r.until = now.Add(r.pause)
	return false
}

// Reached records that a direct connection was opened. It reports whether the endpoint was bypassed.
func (t *Table) Reached(now time.Time, address string) bool {
	t.reachedAt = now
	_, ok := t.rows[address]
	delete(t.rows, address)
	return ok
}

// IsBypassed reports whether an endpoint is bypassed.
func (t *Table) IsBypassed(address string) bool { return t.rows[address] != nil }

// CutOff reports whether the instance is cut off.
func (t *Table) CutOff() bool {
	n := 0
	for _, r := range t.rows {
		if r.since.After(t.reachedAt) {
			n++
		}
	}
	return n >= cutOffAfter
}

// Len returns the number of bypassed endpoints.
func (t *Table) Len() int { return len(t.rows) }

// Expire forgets the bypassed endpoints that have not been used for a while.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.rows, func(_ string, r *row) bool { return now.Sub(r.last) > retention })
}
