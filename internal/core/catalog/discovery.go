package catalog

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// outageAfter is how long reads must have failed to count as an outage,
	// during which entries may have lapsed though their endpoints live.
	outageAfter = 1500 * time.Millisecond
	// returnGrace is how long after an outage a lapsed entry may take to come back.
	returnGrace = 2 * time.Second
)

// Discovery follows the records about endpoints. It bridges outages of the
// store: an entry that lapsed meanwhile counts as gone only if it is still
// missing a while after the store's return.
type Discovery struct {
	table    *Endpoints
	known    bool
	lastRead time.Time
	// returned is when the first read after an outage succeeded.
	returned time.Time
	// missing holds the entries that lapsed in an outage, and when they count as gone.
	missing map[entity.EndpointID]time.Time
}

// NewDiscovery returns a Discovery that knows nothing yet.
func NewDiscovery() *Discovery {
	return &Discovery{table: NewEndpoints(nil), missing: make(map[entity.EndpointID]time.Time)}
}

// Table returns the endpoints as they stand.
func (d *Discovery) Table() *Endpoints { return d.table }

// Known says whether the store or a peer has told what stands at least once.
func (d *Discovery) Known() bool { return d.known }

// Read takes in what a read of the store returned. With whole set, entries that
// are not among the changes are gone. It returns whether the table has changed.
func (d *Discovery) Read(now time.Time, changes []Change, whole bool) bool {
	if d.known && now.Sub(d.lastRead) > outageAfter {
		d.returned = now
	}
	d.lastRead = now
	d.known = true
	if whole {
		changes = d.withRemovals(changes)
	}
	kept := changes[:0:0]
	for _, c := range changes {
		if c.Row == nil && d.mayReturn(now, c.ID) {
			continue
		}
		delete(d.missing, c.ID)
		kept = append(kept, c)
	}
	return d.apply(kept) || d.expire(now)
}

// Adopt replaces the table by what a peer read from the store at a time.
func (d *Discovery) Adopt(readAt time.Time, rows []Endpoint) {
	d.table = NewEndpoints(rows)
	d.known = true
	d.lastRead = readAt
	clear(d.missing)
}

// Heard notes that a peer read the store at a time and found nothing new.
func (d *Discovery) Heard(readAt time.Time) {
	if d.known && readAt.After(d.lastRead) {
		d.lastRead = readAt
	}
}

// ReadAge is how long ago the store was read, negative for never.
func (d *Discovery) ReadAge(now time.Time) time.Duration {
	if !d.known {
		return -1
	}
	return now.Sub(d.lastRead)
}

// Tick drops the entries that did not come back in time.
func (d *Discovery) Tick(now time.Time) bool { return d.expire(now) }

// withRemovals adds the removal of each entry that is not among the rows.
func (d *Discovery) withRemovals(changes []Change) []Change {
	there := make(map[entity.EndpointID]bool, len(changes))
	for _, c := range changes {
		there[c.ID] = true
	}
	for id := range d.table.byID {
		if !there[id] {
			changes = append(changes, Change{ID: id})
		}
	}
	return changes
}

// mayReturn says that a removal is to be put off.
func (d *Discovery) mayReturn(now time.Time, id entity.EndpointID) bool {
	if d.returned.IsZero() || now.Sub(d.returned) > returnGrace {
		return false
	}
	if _, ok := d.table.Get(id); !ok {
		return false
	}
	d.missing[id] = d.returned.Add(returnGrace)
	return true
}

func (d *Discovery) expire(now time.Time) bool {
	var gone []Change
	for id, until := range d.missing {
		if !now.Before(until) {
			gone = append(gone, Change{ID: id})
			delete(d.missing, id)
		}
	}
	return d.apply(gone)
}

func (d *Discovery) apply(changes []Change) bool {
	if len(changes) == 0 {
		return false
	}
	d.table = d.table.Apply(changes)
	return true
}
