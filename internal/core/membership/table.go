package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// row is the table entry of one instance.
type row struct {
	Update
	// since is when the row last changed; for a suspect, when its time to refute started.
	since time.Time
	// ring is the position on the zone's ring: the hash of the ID.
	ring uint64
	// revision is the newest configuration revision that the instance itself has announced.
	revision int64
	// announcedDigest is the digest last announced by the instance.
	announcedDigest digestAge
}

func (r *row) live() bool { return r.State != Dead }

// digest returns a hash of the row's ID, incarnation and Leaving, zero for a
// dead instance.
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
// the given time.
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

// zoneDigest returns the digest of a zone, zero if the zone is unknown.
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
	t.updateTotals(z, r, +1)
}

// set replaces the contents of a row. The zone is not changed, and an empty
// peer address does not replace a known one.
func (t *table) set(r *row, u Update, now time.Time) {
	z := t.zone(r.Zone)
	t.updateTotals(z, r, -1)
	u.Zone = r.Zone
	if u.PeerAddress == "" {
		u.PeerAddress = r.PeerAddress
	}
	r.Update, r.since = u, now
	t.updateTotals(z, r, +1)
}

// updateTotals adds a row to the digests and the live count, or removes it from
// them if sign is -1.
func (t *table) updateTotals(z *zoneTable, r *row, sign int) {
	d := r.digest()
	z.digest ^= d
	t.digest ^= d
	if r.live() {
		z.live += sign
	}
}

// removeZone removes a zone with all its rows.
func (t *table) removeZone(id entity.ZoneID) {
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

// prune removes the rows of instances that died before the given time, and
// empty zones.
func (t *table) prune(before time.Time) {
	for _, z := range t.zones {
		z.rows = slices.DeleteFunc(z.rows, func(r *row) bool {
			expired := !r.live() && r.since.Before(before)
			if expired {
				delete(t.byID, r.ID)
			}
			return expired
		})
	}
	t.zones = slices.DeleteFunc(t.zones, func(z *zoneTable) bool { return len(z.rows) == 0 })
}
