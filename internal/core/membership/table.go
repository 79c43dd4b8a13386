package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// row is one instance in the table.
type row struct {
	Update
	// since is when the row took its state.
	since time.Time
	// ring is the position on the ring of the zone.
	ring uint64
	// revision is the newest configuration revision heard of from the instance itself.
	revision int64
	// said is the digest that the instance has announced of late.
	said digestAge
}

func (r *row) live() bool { return r.State != Dead }

// digest covers what a View shows of the row.
func (r *row) digest() uint64 {
	if !r.live() {
		return 0
	}
	v := r.ring ^ (r.Incarnation+1)*0x9e3779b97f4a7c15
	v ^= v >> 29
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 32
	if r.Leaving {
		return ^v
	}
	return v
}

// zoneTable holds the rows of one zone in ring order.
type zoneTable struct {
	zone   entity.ZoneID
	rows   []*row
	digest uint64
	live   int
}

// table holds all rows by zone; zones are sorted by name.
type table struct {
	byID   map[entity.InstanceID]*row
	zones  []*zoneTable
	digest uint64
}

func newTable() *table { return &table{byID: make(map[entity.InstanceID]*row)} }

func (t *table) zone(id entity.ZoneID) *zoneTable {
	i, ok := slices.BinarySearchFunc(t.zones, id, func(z *zoneTable, id entity.ZoneID) int { return cmp.Compare(z.zone, id) })
	if !ok {
		t.zones = slices.Insert(t.zones, i, &zoneTable{zone: id})
	}
	return t.zones[i]
}

// zoneRows returns the rows of a zone, live and dead, that changed at or after
// a time, as they travel.
func (t *table) zoneRows(id entity.ZoneID, since time.Time) []Update {
	var out []Update
	for _, z := range t.zones {
		if z.zone != id {
			continue
		}
		for _, r := range z.rows {
			if !r.since.Before(since) {
				out = append(out, r.Update)
			}
		}
	}
	return out
}

// zoneDigest returns the digest of a zone, zero if nothing is known of it.
func (t *table) zoneDigest(id entity.ZoneID) uint64 {
	for _, z := range t.zones {
		if z.zone == id {
			return z.digest
		}
	}
	return 0
}

func compareRing(a, b *row) int {
	return cmp.Or(cmp.Compare(a.ring, b.ring), cmp.Compare(a.ID, b.ID))
}

// insert adds a row that is not in the table.
func (t *table) insert(u Update, now time.Time) {
	r := &row{Update: u, since: now, ring: xxhash.Sum64String(string(u.ID))}
	z := t.zone(u.Zone)
	i, _ := slices.BinarySearchFunc(z.rows, r, compareRing)
	z.rows = slices.Insert(z.rows, i, r)
	t.byID[u.ID] = r
	t.account(z, r, +1)
}

// set replaces what is known of a row; its zone stays.
func (t *table) set(r *row, u Update, now time.Time) {
	z := t.zone(r.Zone)
	t.account(z, r, -1)
	u.Zone = r.Zone
	if u.PeerAddress == "" {
		u.PeerAddress = r.PeerAddress
	}
	r.Update, r.since = u, now
	t.account(z, r, +1)
}

// account adds a row to the digests and counts of its zone, or takes it off.
func (t *table) account(z *zoneTable, r *row, sign int) {
	d := r.digest()
	z.digest ^= d
	t.digest ^= d
	if r.live() {
		z.live += sign
	}
}

// dropZone forgets all rows of a zone.
func (t *table) dropZone(id entity.ZoneID) {
	t.zones = slices.DeleteFunc(t.zones, func(z *zoneTable) bool {
		if z.zone != id {
			return false
		}
		for _, r := range z.rows {
			delete(t.byID, r.ID)
		}
		t.digest ^= z.digest
		return true
	})
}

// prune forgets rows that died before the given time, and empty zones.
func (t *table) prune(before time.Time) {
	for _, z := range t.zones {
		z.rows = slices.DeleteFunc(z.rows, func(r *row) bool {
			old := !r.live() && r.since.Before(before)
			if old {
				delete(t.byID, r.ID)
			}
			return old
		})
	}
	t.zones = slices.DeleteFunc(t.zones, func(z *zoneTable) bool { return len(z.rows) == 0 })
}
