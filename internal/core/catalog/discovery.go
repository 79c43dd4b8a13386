package catalog

import (
	"maps"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// outageAfter is how long reads must have failed to count as an outage,
	// during which entries may have lapsed though their endpoints live.
	outageAfter = 2 * time.Second
	// returnGrace is how long after an outage a lapsed entry may take to come back.
	returnGrace = 2 * time.Second
	// tombstoneFor is how long the last row of a removed entry is remembered.
	tombstoneFor = time.Minute
)

// Discovery follows the records about endpoints. It bridges outages of the
// store: an entry that lapsed meanwhile counts as gone only if it is still
// missing a while after the store's return.
type Discovery struct {
	table    *Endpoints
	known    bool
	lastRead time.Time
	// since is when the reading began that has gone on without an outage.
	since time.Time
	// returned is when the first read after an outage succeeded.
	returned time.Time
	// missing holds the entries that lapsed in an outage, and when they count as gone.
	missing map[entity.EndpointID]time.Time
	// removed holds the last row of each entry that was removed: an older word on
	// it may still come, which must not bring it back.
	removed map[entity.EndpointID]tombstone
}

// tombstone is the last row of an entry that was removed.
type tombstone struct {
	row *Endpoint
	at  time.Time
}

// NewDiscovery returns a Discovery that knows nothing yet.
func NewDiscovery() *Discovery {
	return &Discovery{
		table: NewEndpoints(nil), missing: make(map[entity.EndpointID]time.Time), removed: make(map[entity.EndpointID]tombstone),
	}
}

// Table returns the endpoints as they stand.
func (d *Discovery) Table() *Endpoints { return d.table }

// Loaded says whether the store or a peer has told what stands at least once.
func (d *Discovery) Loaded() bool { return d.known }

// ApplyRead takes in what a read of the store returned. With whole set, entries that
// are not among the changes are gone. It returns whether the table has changed.
func (d *Discovery) ApplyRead(now time.Time, changes []Change, whole bool) bool {
	if d.known && now.Sub(d.lastRead) > outageAfter {
		d.returned = now
	}
	d.noteRead(now)
	if whole {
		changes = d.withRemovals(changes)
	}
	kept := changes[:0:0]
	rows := make(map[entity.EndpointID]*Endpoint) // of this read
	for _, c := range changes {
		if c.Row == nil && d.mayReturn(now, c.ID) || d.outdated(c.Row) {
			continue
		}
		delete(d.missing, c.ID)
		d.bury(now, c, rows[c.ID])
		rows[c.ID] = c.Row
		kept = append(kept, c)
	}
	changed := d.apply(kept)
	return d.expire(now) || changed
}

// outdated says that a row is no newer than one of an entry that was removed since.
func (d *Discovery) outdated(row *Endpoint) bool {
	if row == nil {
		return false
	}
	last, ok := d.removed[row.ID]
	return ok && !row.after(last.row)
}

// bury remembers the last row of an entry that is removed: the one that stands,
// or a newer one that was read just before.
func (d *Discovery) bury(now time.Time, c Change, justRead *Endpoint) {
	if c.Row != nil {
		return
	}
	last := justRead
	if old, ok := d.table.Get(c.ID); ok && (last == nil || old.after(last)) {
		last = old
	}
	if last != nil {
		d.removed[c.ID] = tombstone{row: last, at: now}
	}
}

// ApplyPeerTable takes over what a peer read from the store at a time. Rows that it does
// not have are gone; of the others the newer one stands, since a peer that has
// just begun may only have met an old word on an entry.
func (d *Discovery) ApplyPeerTable(readAt time.Time, rows []Endpoint) {
	changes := make([]Change, 0, len(rows))
	for i := range rows {
		if !d.outdated(&rows[i]) {
			changes = append(changes, Change{ID: rows[i].ID, Row: &rows[i]})
		}
	}
	d.ApplyPeerChanges(readAt, d.withRemovals(changes))
}

// ApplyPeerChanges takes over what has changed at a peer since it had the same
// table as stands here.
func (d *Discovery) ApplyPeerChanges(readAt time.Time, changes []Change) {
	kept := changes[:0:0]
	for _, c := range changes {
		if !d.outdated(c.Row) {
			d.bury(readAt, c, nil)
			kept = append(kept, c)
		}
	}
	d.apply(kept)
	d.noteRead(readAt)
	clear(d.missing)
}

// RecordPeerRead notes that a peer read the store at a time and found nothing new.
func (d *Discovery) RecordPeerRead(readAt time.Time) {
	if d.known {
		d.noteRead(readAt)
	}
}

// noteRead remembers that the store was read at a time, and whether that ended
// an outage.
func (d *Discovery) noteRead(at time.Time) {
	if !d.known || at.Sub(d.lastRead) > outageAfter {
		d.since = at
	}
	d.known = true
	if at.After(d.lastRead) {
		d.lastRead = at
	}
}

// ReadAge is how long ago the store was read, negative for never.
func (d *Discovery) ReadAge(now time.Time) time.Duration {
	if !d.known {
		return -1
	}
	return now.Sub(d.lastRead)
}

// StoreUptime is how long the store has been read without an outage.
func (d *Discovery) StoreUptime(now time.Time) time.Duration {
	if !d.known || now.Sub(d.lastRead) > outageAfter {
		return 0
	}
	return now.Sub(d.since)
}

// RecordPeerStoreUptime takes in that another instance has read the store for so long without
// an outage. If that was so while this one could not, the store was there:
// entries that are missing were removed and did not lapse. It returns whether
// the table has changed.
func (d *Discovery) RecordPeerStoreUptime(now time.Time, steady time.Duration) bool {
	if d.returned.IsZero() || steady < now.Sub(d.returned)+outageAfter {
		return false
	}
	d.returned = time.Time{}
	for id := range d.missing {
		d.missing[id] = now
	}
	return d.expire(now)
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
	maps.DeleteFunc(d.removed, func(_ entity.EndpointID, t tombstone) bool { return now.Sub(t.at) > tombstoneFor })
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
