package catalog

import (
	"maps"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// outageAfter is the time without a successful read that counts as an outage
	// of the store. During an outage, entries may expire although their endpoints
	// are alive.
	outageAfter = 2 * time.Second
	// returnGrace is the time after an outage within which expired entries may
	// reappear before they are removed.
	returnGrace = 2 * time.Second
	// tombstoneRetention is how long the last row of a removed entry is kept.
	tombstoneRetention = time.Minute
)

// Discovery maintains the table of endpoints from the records read from the
// store, directly or through peers. It bridges outages of the store: an entry
// that expired during an outage is removed only if it is still missing
// returnGrace after the store's return.
type Discovery struct {
	table    *Endpoints
	loaded   bool
	lastRead time.Time
	// readingSince is the start of the current period of reads without an outage.
	readingSince time.Time
	// storeReturnedAt is the time of the first successful read after an outage.
	storeReturnedAt time.Time
	// storeReplacedAt is when the store was found to be replaced by an older copy,
	// zero if it never was.
	storeReplacedAt time.Time
	// missing holds the entries that expired in an outage, with the time at which
	// they are removed.
	missing map[entity.EndpointID]time.Time
	// removed holds the last row of each removed entry. An outdated row of the
	// entry may still arrive and must not restore it.
	removed map[entity.EndpointID]tombstone
	// departures holds the endpoints that have said that they are going to stop.
	departures departures
}

// tombstone is the last row of a removed entry.
type tombstone struct {
	row *Endpoint
	at  time.Time
	// tell is set if other instances may not know of the removal: it was read from the store or
	// told by another instance, and not found in a peer's table.
	tell bool
}

// NewDiscovery returns a Discovery with an empty table.
func NewDiscovery() *Discovery {
	return &Discovery{
		table: NewEndpoints(nil), missing: make(map[entity.EndpointID]time.Time), removed: make(map[entity.EndpointID]tombstone),
		departures: make(departures),
	}
}

// Table returns the current table of endpoints.
func (d *Discovery) Table() *Endpoints { return d.table }

// Loaded reports whether the endpoints have been read at least once, from the
// store or from a peer.
func (d *Discovery) Loaded() bool { return d.loaded }

// ApplyRead applies the result of a read of the store and reports whether the
// table was replaced. If complete is set, entries that are not among the changes
// are removed.
func (d *Discovery) ApplyRead(now time.Time, changes []Change, complete bool) bool {
	if d.loaded && now.Sub(d.lastRead) > outageAfter {
		d.storeReturnedAt = now
	}
	d.recordRead(now)
	if complete {
		changes = d.withRemovals(changes)
	}
	kept := changes[:0:0]
	rows := make(map[entity.EndpointID]*Endpoint) // the latest of this read
	for _, c := range changes {
		if c.Row == nil && d.deferRemoval(now, c.ID) || d.outdated(c.Row) {
			continue
		}
		delete(d.missing, c.ID)
		d.addTombstone(now, c, rows[c.ID], true)
		rows[c.ID] = c.Row
		kept = append(kept, c)
	}
	changed := d.apply(now, kept)
	return d.expire(now) || changed
}

// outdated reports whether a row is no newer than the tombstone of its entry.
func (d *Discovery) outdated(row *Endpoint) bool {
	if row == nil {
		return false
	}
	last, ok := d.removed[row.ID]
	return ok && !row.laterThan(last.row)
}

// addTombstone keeps the last row of an entry that is removed: the row in the
// table, or a newer one from the same read.
func (d *Discovery) addTombstone(now time.Time, c Change, justRead *Endpoint, tell bool) {
	if c.Row != nil {
		return
	}
	last := justRead
	if old, ok := d.table.Get(c.ID); ok && (last == nil || old.laterThan(last)) {
		last = old
	}
	if last != nil {
		d.removed[c.ID] = tombstone{row: last, at: now, tell: tell}
	}
}

// ApplyPeerTable replaces the table by the rows that a peer had read from the
// store at readAt. Entries that the peer does not have are removed. Of the others
// the newer row is kept, since a peer that has just started may only have seen an
// outdated row of an entry.
func (d *Discovery) ApplyPeerTable(readAt time.Time, rows []Endpoint) {
	changes := make([]Change, 0, len(rows))
	for i := range rows {
		if !d.outdated(&rows[i]) {
			changes = append(changes, Change{ID: rows[i].ID, Row: &rows[i]})
		}
	}
	d.ApplyPeerChanges(readAt, d.withRemovals(changes))
}

// ApplyPeerChanges applies the changes that a peer has made since its table was
// the same as the local one; readAt is when the peer read the store.
func (d *Discovery) ApplyPeerChanges(readAt time.Time, changes []Change) {
	kept := changes[:0:0]
	for _, c := range changes {
		if !d.outdated(c.Row) {
			d.addTombstone(readAt, c, nil, false)
			kept = append(kept, c)
		}
	}
	d.apply(time.Time{}, kept)
	d.recordRead(readAt)
	clear(d.missing)
}

// RecordPeerRead records that a peer read the store at readAt and found no
// changes.
func (d *Discovery) RecordPeerRead(readAt time.Time) {
	if d.loaded {
		d.recordRead(readAt)
	}
}

// recordRead records a successful read of the store. A read after an outage
// starts a new period of uptime.
func (d *Discovery) recordRead(at time.Time) {
	if !d.loaded || at.Sub(d.lastRead) > outageAfter {
		d.readingSince = at
	}
	d.loaded = true
	if at.After(d.lastRead) {
		d.lastRead = at
	}
}

// ReadAge returns the time since the last read of the store, negative if there
// was none.
func (d *Discovery) ReadAge(now time.Time) time.Duration {
	if !d.loaded {
		return -1
	}
	return now.Sub(d.lastRead)
}

// StoreUptime returns how long the store has been read without an outage.
func (d *Discovery) StoreUptime(now time.Time) time.Duration {
	if !d.loaded || now.Sub(d.lastRead) > outageAfter {
		return 0
	}
	return now.Sub(d.readingSince)
}

// RecordPeerStoreUptime processes a peer's store uptime and reports whether the
// table was replaced. If the peer has read the store throughout the time in which
// this instance could not, the store had no outage: the missing entries were
// removed rather than expired, and further removals are not deferred.
func (d *Discovery) RecordPeerStoreUptime(now time.Time, uptime time.Duration) bool {
	if !d.storeReplacedAt.IsZero() && now.Sub(d.storeReplacedAt) <= returnGrace {
		return false // the peer may not have noticed the replacement yet
	}
	if d.storeReturnedAt.IsZero() || uptime < now.Sub(d.storeReturnedAt)+outageAfter {
		return false
	}
	d.storeReturnedAt = time.Time{}
	for id := range d.missing {
		d.missing[id] = now
	}
	return d.expire(now)
}

// StoreReplaced records that the store was replaced by an older copy. Entries that are
// missing there may reappear, as after an outage, however short it was.
func (d *Discovery) StoreReplaced(now time.Time) {
	d.storeReturnedAt, d.storeReplacedAt, d.readingSince = now, now, now
}

// Tick removes the entries that did not reappear in time, and reports whether the
// table was replaced.
func (d *Discovery) Tick(now time.Time) bool { return d.expire(now) }

// withRemovals appends the removal of each table entry that is not among the
// changes.
func (d *Discovery) withRemovals(changes []Change) []Change {
	present := make(map[entity.EndpointID]bool, len(changes))
	for _, c := range changes {
		present[c.ID] = true
	}
	for id := range d.table.byID {
		if !present[id] {
			changes = append(changes, Change{ID: id})
		}
	}
	return changes
}

// deferRemoval reports whether a removal is deferred because the entry may have
// expired during an outage; if so, it records the entry as missing.
func (d *Discovery) deferRemoval(now time.Time, id entity.EndpointID) bool {
	if d.storeReturnedAt.IsZero() || now.Sub(d.storeReturnedAt) > returnGrace {
		return false
	}
	if _, ok := d.table.Get(id); !ok {
		return false
	}
	d.missing[id] = d.storeReturnedAt.Add(returnGrace)
	return true
}

func (d *Discovery) expire(now time.Time) bool {
	maps.DeleteFunc(d.removed, func(_ entity.EndpointID, t tombstone) bool { return now.Sub(t.at) > tombstoneRetention })
	d.expireDepartures()
	var overdue []Change
	for id, until := range d.missing {
		if !now.Before(until) {
			overdue = append(overdue, Change{ID: id})
			delete(d.missing, id)
		}
	}
	return d.apply(now, overdue)
}

// apply applies changes to the table and reports whether there were any. Departures that they state
// are learned at the given time, zero if from a peer's table.
func (d *Discovery) apply(learnedAt time.Time, changes []Change) bool {
	if len(changes) == 0 {
		return false
	}
	marked := make([]Change, len(changes))
	for i, c := range changes {
		marked[i] = d.departures.applyTo(learnedAt, c)
	}
	d.table = d.table.Apply(marked)
	return true
}
