package zone

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Some endpoint comes, goes or restarts every second where there are thousands,
// and each member must hear of it. So members that have a table of a while ago
// are sent what has changed since. The whole table goes to those only that have
// none, or one that is not remembered; it travels compressed, by columns, and is
// encoded once for all.

const (
	// keptSteps and keptChanges bound what is remembered of earlier tables: the
	// steps of a minute at one a second, and the changes that are still fewer
	// than a table is worth sending whole.
	keptSteps   = 64
	keptChanges = 2048
	// smallChange is how many changed rows are always sent as such. Above it, so
	// is a part of the table, as its inverse: compressed by columns, a row takes a
	// twelfth of its bytes.
	smallChange = 64
	wholeAbove  = 12
	// largeTable is how many rows make a table that is not sent whole again,
	// whatever has changed since, while it is on its way.
	largeTable = 1000
	// maxTableBytes bounds a table that is unpacked.
	maxTableBytes = 64 << 20
	// wholeTable names a large table among offers, whatever its digest: a
	// receiver that has it is told what has changed.
	wholeTable = 1
)

// TableChange is what has changed since a table.
type TableChange struct {
	// BaseDigest is the digest of the table to which the change applies.
	BaseDigest uint64              `json:"f"`
	Rows       []TableRow          `json:"r,omitempty"`
	Removed    []entity.EndpointID `json:"x,omitempty"`
}

// TableRow is an endpoint as it travels: what discovery tells of it.
type TableRow struct {
	ID          entity.EndpointID `json:"i"`
	Pool        entity.PoolID     `json:"p"`
	Zone        entity.ZoneID     `json:"z"`
	Address     string            `json:"a"`
	Slots       int               `json:"s"`
	Leaving     bool              `json:"l,omitempty"`
	Incarnation int64             `json:"b"`
	Seq         int64             `json:"q"`
}

func rowOf(e *catalog.Endpoint) TableRow {
	return TableRow{ID: e.ID, Pool: e.Pool, Zone: e.Zone, Address: e.Address, Slots: e.Slots, Leaving: e.Leaving, Incarnation: e.Incarnation, Seq: e.Seq}
}

func (r *TableRow) endpoint() catalog.Endpoint {
	return catalog.Endpoint{
		Endpoint:    entity.Endpoint{ID: r.ID, Pool: r.Pool, Zone: r.Zone, Address: r.Address, Slots: r.Slots, Leaving: r.Leaving},
		Incarnation: r.Incarnation, Seq: r.Seq,
	}
}

// changes returns a change as discovery takes it in.
func (c *TableChange) changes() []catalog.Change {
	out := make([]catalog.Change, 0, len(c.Rows)+len(c.Removed))
	for i := range c.Rows {
		e := c.Rows[i].endpoint()
		out = append(out, catalog.Change{ID: e.ID, Row: &e})
	}
	for _, id := range c.Removed {
		out = append(out, catalog.Change{ID: id})
	}
	return out
}

// tableHistory remembers what has changed from one table to the next.
type tableHistory struct {
	table *catalog.Endpoints
	steps []tableStep
	// packed is the table as it travels, nil until it is asked for.
	packed []byte
}

// tableStep is what has changed after the table of a digest.
type tableStep struct {
	from    uint64
	changed []entity.EndpointID
}

// follow takes in the table that stands.
func (h *tableHistory) follow(t *catalog.Endpoints) {
	if h.table != nil && h.table.Digest() != t.Digest() {
		h.steps = append(h.steps, tableStep{from: h.table.Digest(), changed: t.DiffIDs(h.table)})
		h.packed = nil
		h.trim()
	}
	h.table = t
}

// trim drops the oldest steps beyond the bounds.
func (h *tableHistory) trim() {
	changes, kept := 0, 0
	for i := len(h.steps) - 1; i >= 0 && kept < keptSteps; i-- {
		if changes += len(h.steps[i].changed); changes > keptChanges {
			break
		}
		kept++
	}
	h.steps = slices.Delete(h.steps, 0, len(h.steps)-kept)
}

// since returns what has changed since the table of a digest, nil where the
// whole table is as good; known says whether that table is remembered.
func (h *tableHistory) since(digest uint64) (change *TableChange, known bool) {
	first := slices.IndexFunc(h.steps, func(s tableStep) bool { return s.from == digest })
	if first < 0 {
		return nil, false
	}
	var ids []entity.EndpointID
	for _, s := range h.steps[first:] {
		ids = append(ids, s.changed...)
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	if len(ids) > max(smallChange, h.table.Len()/wholeAbove) {
		return nil, true
	}
	c := &TableChange{BaseDigest: digest}
	for _, id := range ids {
		if e, ok := h.table.Get(id); ok {
			c.Rows = append(c.Rows, rowOf(e))
		} else {
			c.Removed = append(c.Removed, id)
		}
	}
	return c, true
}

// whole returns the table in its travelling form.
func (h *tableHistory) whole() []byte {
	if h.packed == nil {
		h.packed = packTable(h.table)
	}
	return h.packed
}

// tableFor returns what a member needs that has the table of a digest: all, what
// has changed, or nothing.
func (c *Core) tableFor(now time.Time, member entity.InstanceID, has uint64) ([]byte, *TableChange) {
	t := c.knows.Endpoints()
	c.history.follow(t)
	if t.Len() == 0 || t.Digest() == has {
		return nil, nil
	}
	change, known := c.history.since(has)
	if change != nil {
		return nil, change
	}
	what := t.Digest()
	if !known && t.Len() > largeTable {
		what = wholeTable
	}
	if c.tables.due(now, member, what) {
		return c.history.whole(), nil
	}
	return nil, nil
}

// readTable takes the endpoints out of a bulletin.
func (c *Core) readTable(n *Update, b Bulletin) {
	rows, err := unpackTable(b.Endpoints)
	if err != nil {
		n.DecodeErr = err
	}
	n.Endpoints = rows
	if b.Changes != nil {
		n.Changes, n.BaseDigest = b.Changes.changes(), b.Changes.BaseDigest
	}
}

// columns is a table as it travels.
type columns struct {
	IDs       []entity.EndpointID `json:"i"`
	Addresses []string            `json:"a"`
	// Pools and Zones are the names, PoolOf and ZoneOf their places.
	Pools        []entity.PoolID `json:"p"`
	PoolOf       []int           `json:"o"`
	Zones        []entity.ZoneID `json:"z"`
	ZoneOf       []int           `json:"y"`
	Slots        []int           `json:"s"`
	Incarnations []int64         `json:"b"`
	Seqs         []int64         `json:"q"`
	// Leaving are the places of the rows that are leaving.
	Leaving []int `json:"l,omitempty"`
}

// packTable encodes a table.
func packTable(t *catalog.Endpoints) []byte {
	var c columns
	for i, e := range t.All() {
		c.IDs, c.Addresses = append(c.IDs, e.ID), append(c.Addresses, e.Address)
		c.PoolOf = append(c.PoolOf, place(&c.Pools, e.Pool))
		c.ZoneOf = append(c.ZoneOf, place(&c.Zones, e.Zone))
		c.Slots = append(c.Slots, e.Slots)
		c.Incarnations, c.Seqs = append(c.Incarnations, e.Incarnation), append(c.Seqs, e.Seq)
		if e.Leaving {
			c.Leaving = append(c.Leaving, i)
		}
	}
	return pack(c)
}

// place returns where a name stands among the names, of which there are few.
func place[T comparable](names *[]T, name T) int {
	if i := slices.Index(*names, name); i >= 0 {
		return i
	}
	*names = append(*names, name)
	return len(*names) - 1
}

// unpackTable decodes a table that came from another instance, nil for none.
func unpackTable(data []byte) ([]catalog.Endpoint, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var c columns
	if err := unpackInto(data, maxTableBytes, &c); err != nil {
		return nil, trace.BadParameter("a peer's table of endpoints can't be read: %v", err)
	}
	return c.rows()
}

func (c *columns) rows() ([]catalog.Endpoint, error) {
	n := len(c.IDs)
	for _, length := range []int{len(c.Addresses), len(c.PoolOf), len(c.ZoneOf), len(c.Slots), len(c.Incarnations), len(c.Seqs)} {
		if length != n {
			return nil, trace.BadParameter("a peer's table of endpoints has columns of %d and %d rows", n, length)
		}
	}
	rows := make([]catalog.Endpoint, n)
	for i := range rows {
		if !within(c.PoolOf[i], len(c.Pools)) || !within(c.ZoneOf[i], len(c.Zones)) {
			return nil, trace.BadParameter("row %d of a peer's table of endpoints names no pool or zone", i)
		}
		rows[i] = catalog.Endpoint{
			Endpoint: entity.Endpoint{
				ID: c.IDs[i], Pool: c.Pools[c.PoolOf[i]], Zone: c.Zones[c.ZoneOf[i]], Address: c.Addresses[i], Slots: c.Slots[i],
			},
			Incarnation: c.Incarnations[i], Seq: c.Seqs[i],
		}
	}
	for _, i := range c.Leaving {
		if !within(i, n) {
			return nil, trace.BadParameter("a peer's table of endpoints has %d rows, and row %d is leaving", n, i)
		}
		rows[i].Leaving = true
	}
	return rows, nil
}

func within(i, n int) bool { return i >= 0 && i < n }
