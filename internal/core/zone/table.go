package zone

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// With thousands of endpoints, some endpoint starts, stops or restarts every
// second, and each member must learn of it. Members that have a recent table are
// therefore sent the changes since then. Only members without a table, or with
// one that is not in the history, are sent the complete table. It is compressed
// by columns, and encoded once for all receivers.

const (
	// maxHistorySteps and maxHistoryChanges limit the history of earlier tables:
	// one minute of steps at one per second, and a number of changes beyond which
	// a complete table is no larger.
	maxHistorySteps   = 64
	maxHistoryChanges = 2048
	// smallChange is the number of changed rows up to which changes are sent
	// whatever the size of the table. Larger changes are sent up to the number of
	// rows divided by maxChangeDivisor: in a table compressed by columns, a row
	// takes a twelfth of the bytes that it takes in a change.
	smallChange      = 64
	maxChangeDivisor = 12
	// largeTableRows is the number of rows above which a complete table is not
	// sent again during its transfer, even if it has changed since.
	largeTableRows = 1000
	// maxTableBytes limits the size of a decompressed table.
	maxTableBytes = 64 << 20
	// anyFullTable is the sentItem id of a large complete table, whatever its
	// digest: a receiver that has such a table can be sent the changes since.
	anyFullTable = 1
)

// TableChange is the difference between two tables.
type TableChange struct {
	// BaseDigest is the digest of the table to which the change applies.
	BaseDigest uint64              `json:"f"`
	Rows       []TableRow          `json:"r,omitempty"`
	Removed    []entity.EndpointID `json:"x,omitempty"`
}

// TableRow is the encoded form of an endpoint, with the fields from discovery.
type TableRow struct {
	ID          entity.EndpointID `json:"i"`
	Pool        entity.PoolID     `json:"p"`
	Zone        entity.ZoneID     `json:"z"`
	Address     string            `json:"a"`
	Slots       int               `json:"s"`
	Leaving     bool              `json:"l,omitempty"`
	Incarnation int64             `json:"b"`
	Seq         int64             `json:"q"`
	Version     string            `json:"v,omitempty"`
}

func rowOf(e *catalog.Endpoint) TableRow {
	return TableRow{ID: e.ID, Pool: e.Pool, Zone: e.Zone, Address: e.Address, Slots: e.Slots, Leaving: e.Leaving, Incarnation: e.Incarnation, Seq: e.Seq, Version: e.Version}
}

func (r *TableRow) endpoint() catalog.Endpoint {
	return catalog.Endpoint{
		Endpoint:    entity.Endpoint{ID: r.ID, Pool: r.Pool, Zone: r.Zone, Address: r.Address, Slots: r.Slots, Leaving: r.Leaving},
		Incarnation: r.Incarnation, Seq: r.Seq, Version: r.Version,
	}
}

// changes converts the change to the type that discovery applies.
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

// tableHistory holds the latest table and the differences between earlier ones.
type tableHistory struct {
	table *catalog.Endpoints
	steps []tableStep
	// packed caches the encoded table, nil until it is needed.
	packed []byte
}

// tableStep holds the ids that changed after the table whose digest is from.
type tableStep struct {
	from    uint64
	changed []entity.EndpointID
}

// advance records the current table.
func (h *tableHistory) advance(t *catalog.Endpoints) {
	if h.table != nil && h.table.Digest() != t.Digest() {
		h.steps = append(h.steps, tableStep{from: h.table.Digest(), changed: t.DiffIDs(h.table)})
		h.packed = nil
		h.trim()
	}
	h.table = t
}

// trim removes the oldest steps beyond the limits.
func (h *tableHistory) trim() {
	changes, kept := 0, 0
	for i := len(h.steps) - 1; i >= 0 && kept < maxHistorySteps; i-- {
		if changes += len(h.steps[i].changed); changes > maxHistoryChanges {
			break
		}
		kept++
	}
	h.steps = slices.Delete(h.steps, 0, len(h.steps)-kept)
}

// changesSince returns the changes since the table of the given digest, or nil if
// sending the complete table is as cheap. known reports whether that table is in
// the history.
func (h *tableHistory) changesSince(digest uint64) (change *TableChange, known bool) {
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
	if len(ids) > max(smallChange, h.table.Len()/maxChangeDivisor) {
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

// packedTable returns the encoded table.
func (h *tableHistory) packedTable() []byte {
	if h.packed == nil {
		h.packed = packTable(h.table)
	}
	return h.packed
}

// tableUpdateFor returns what the member that has sent a report needs: the complete
// table, the changes, or nothing. A table without endpoints is sent like any other,
// unless it is empty because this instance has not learned of any table yet. A
// member that has not either is told, although its table is empty too.
func (c *Core) tableUpdateFor(now time.Time, member entity.InstanceID, r *Report) ([]byte, *TableChange) {
	t := c.state.Endpoints()
	c.tableHistory.advance(t)
	told := r.TableKnown || r.TableDigest != 0
	if c.state.ReadAge(now) < 0 || told && t.Digest() == r.TableDigest {
		return nil, nil
	}
	known := false
	if told {
		var change *TableChange
		if change, known = c.tableHistory.changesSince(r.TableDigest); change != nil {
			return nil, change
		}
	}
	id := t.Digest()
	if !known && t.Len() > largeTableRows {
		id = anyFullTable
	}
	if c.sentTables.shouldSend(now, member, id) {
		return c.tableHistory.packedTable(), nil
	}
	return nil, nil
}

// decodeTable sets the endpoints or changes of an update from a bulletin.
func (c *Core) decodeTable(u *Update, b Bulletin) {
	rows, err := unpackTable(b.Endpoints)
	if err != nil {
		u.DecodeErr = err
	}
	u.Endpoints, u.HasTable = rows, err == nil && len(b.Endpoints) > 0
	if b.Changes != nil {
		u.Changes, u.BaseDigest = b.Changes.changes(), b.Changes.BaseDigest
	}
}

// columns is the encoded form of a table.
type columns struct {
	IDs       []entity.EndpointID `json:"i"`
	Addresses []string            `json:"a"`
	// Pools and Zones list the distinct names; PoolOf and ZoneOf are each row's
	// index in them.
	Pools        []entity.PoolID `json:"p"`
	PoolOf       []int           `json:"o"`
	Zones        []entity.ZoneID `json:"z"`
	ZoneOf       []int           `json:"y"`
	Slots        []int           `json:"s"`
	Incarnations []int64         `json:"b"`
	Seqs         []int64         `json:"q"`
	// Versions lists the distinct software versions, VersionOf each row's index in them.
	Versions  []string `json:"v"`
	VersionOf []int    `json:"w"`
	// Leaving lists the indexes of the rows with that mark.
	Leaving []int `json:"l,omitempty"`
}

// packTable returns the encoded form of a table.
func packTable(t *catalog.Endpoints) []byte {
	var c columns
	for i, e := range t.All() {
		c.IDs, c.Addresses = append(c.IDs, e.ID), append(c.Addresses, e.Address)
		c.PoolOf = append(c.PoolOf, indexOrAppend(&c.Pools, e.Pool))
		c.ZoneOf = append(c.ZoneOf, indexOrAppend(&c.Zones, e.Zone))
		c.VersionOf = append(c.VersionOf, indexOrAppend(&c.Versions, e.Version))
		c.Slots = append(c.Slots, e.Slots)
		c.Incarnations, c.Seqs = append(c.Incarnations, e.Incarnation), append(c.Seqs, e.Seq)
		if e.Leaving {
			c.Leaving = append(c.Leaving, i)
		}
	}
	return pack(c)
}

// indexOrAppend returns the index of a name in a short list, appending the name
// if it is new.
func indexOrAppend[T comparable](names *[]T, name T) int {
	if i := slices.Index(*names, name); i >= 0 {
		return i
	}
	*names = append(*names, name)
	return len(*names) - 1
}

// unpackTable decodes a table from another instance. It returns nil for empty
// data.
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
	for _, length := range []int{len(c.Addresses), len(c.PoolOf), len(c.ZoneOf), len(c.Slots), len(c.Incarnations), len(c.Seqs), len(c.VersionOf)} {
		if length != n {
			return nil, trace.BadParameter("a peer's table of endpoints has columns of %d and %d rows", n, length)
		}
	}
	rows := make([]catalog.Endpoint, n)
	for i := range rows {
		if !inRange(c.PoolOf[i], len(c.Pools)) || !inRange(c.ZoneOf[i], len(c.Zones)) || !inRange(c.VersionOf[i], len(c.Versions)) {
			return nil, trace.BadParameter("row %d of a peer's table of endpoints names no pool, zone or version", i)
		}
		rows[i] = catalog.Endpoint{
			Endpoint: entity.Endpoint{
				ID: c.IDs[i], Pool: c.Pools[c.PoolOf[i]], Zone: c.Zones[c.ZoneOf[i]], Address: c.Addresses[i], Slots: c.Slots[i],
			},
			Incarnation: c.Incarnations[i], Seq: c.Seqs[i], Version: c.Versions[c.VersionOf[i]],
		}
	}
	for _, i := range c.Leaving {
		if !inRange(i, n) {
			return nil, trace.BadParameter("a peer's table of endpoints has %d rows but marks row %d", n, i)
		}
		rows[i].Leaving = true
	}
	return rows, nil
}

func inRange(i, n int) bool { return i >= 0 && i < n }
