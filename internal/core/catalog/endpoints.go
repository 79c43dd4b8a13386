package catalog

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Endpoint is one row of discovery: an endpoint as it describes itself.
type Endpoint struct {
	entity.Endpoint
	// Incarnation is the time of its start in milliseconds since 1970. An
	// endpoint that starts again under its id knows nothing of before.
	Incarnation int64
	// Seq counts its changes within one incarnation.
	Seq int64
	// hash is the row's fingerprint, once it is in a table.
	hash uint64
}

// after says that the row is of a later incarnation or a later change.
func (e *Endpoint) after(old *Endpoint) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.Seq > old.Seq
}

// newerThan says that the row may replace another one of the same id.
func (e *Endpoint) newerThan(old *Endpoint) bool {
	return e.after(old) || (e.Incarnation == old.Incarnation && e.Seq == old.Seq)
}

// Endpoints is the table of live endpoints. It never changes.
type Endpoints struct {
	byID   map[entity.EndpointID]*Endpoint
	byPool map[entity.PoolID][]*Endpoint // sorted by id
	digest uint64
}

// NewEndpoints returns the table of the given rows.
func NewEndpoints(rows []Endpoint) *Endpoints {
	t := &Endpoints{
		byID: make(map[entity.EndpointID]*Endpoint, len(rows)), byPool: make(map[entity.PoolID][]*Endpoint),
	}
	for i := range rows {
		t.byID[rows[i].ID] = &rows[i]
	}
	for _, e := range t.byID {
		e.hash = e.fingerprint()
		t.digest += e.hash
		t.byPool[e.Pool] = append(t.byPool[e.Pool], e)
	}
	for _, list := range t.byPool {
		slices.SortFunc(list, compareRows)
	}
	return t
}

func compareRows(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) }

// Get returns one endpoint.
func (t *Endpoints) Get(id entity.EndpointID) (*Endpoint, bool) {
	e, ok := t.byID[id]
	return e, ok
}

// Pool returns the endpoints of a pool, sorted by id.
func (t *Endpoints) Pool(id entity.PoolID) []*Endpoint { return t.byPool[id] }

// Leaving returns how many endpoints are leaving.
func (t *Endpoints) Leaving() int {
	n := 0
	for _, e := range t.byID {
		if e.Leaving {
			n++
		}
	}
	return n
}

// Len returns the number of endpoints.
func (t *Endpoints) Len() int { return len(t.byID) }

// All returns all rows, sorted by id.
func (t *Endpoints) All() []Endpoint {
	rows := make([]Endpoint, 0, len(t.byID))
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		rows = append(rows, *t.byID[id])
	}
	return rows
}

// Digest tells tables apart that differ in more than sequence numbers.
func (t *Endpoints) Digest() uint64 { return t.digest }

// fingerprint hashes all of a row but its sequence number.
func (e *Endpoint) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	var buffer [64]byte
	for _, s := range [...]string{string(e.ID), string(e.Pool), string(e.Zone), e.Address} {
		// A Digest never fails.
		_, _ = d.WriteString(s)
		_, _ = d.Write(buffer[:1])
	}
	b := binary.AppendVarint(buffer[:0], int64(e.Slots))
	b = binary.AppendVarint(b, e.Incarnation)
	b = strconv.AppendBool(b, e.Leaving)
	_, _ = d.Write(b)
	return d.Sum64()
}

// DiffIDs returns the ids whose rows differ from those of another table in
// more than sequence numbers, or are in one table only. They are sorted.
func (t *Endpoints) DiffIDs(old *Endpoints) []entity.EndpointID {
	var ids []entity.EndpointID
	for id, e := range t.byID {
		if before := old.byID[id]; before == nil || before.hash != e.hash {
			ids = append(ids, id)
		}
	}
	for id := range old.byID {
		if t.byID[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Change is one record of discovery: a new row, or the removal of an id.
type Change struct {
	ID entity.EndpointID
	// Row is nil when the entry was removed or names no endpoint to use.
	Row *Endpoint
}

// Apply returns the table after some changes, in order. A row that is older
// than the one that stands is passed over.
func (t *Endpoints) Apply(changes []Change) *Endpoints {
	n := edited{
		Endpoints: &Endpoints{byID: maps.Clone(t.byID), byPool: maps.Clone(t.byPool), digest: t.digest},
		copied:    make(map[entity.PoolID]bool),
	}
	for _, c := range changes {
		old := n.byID[c.ID]
		switch {
		case c.Row == nil && old != nil:
			n.remove(old)
		case c.Row != nil && (old == nil || c.Row.newerThan(old)):
			n.put(old, c.Row)
		}
	}
	return n.Endpoints
}

// edited is a table that is being made from another one, with which it shares
// the lists of the pools that were not copied yet.
type edited struct {
	*Endpoints
	copied map[entity.PoolID]bool
}

// put replaces old, nil for none, by a row.
func (n *edited) put(old, row *Endpoint) {
	row.hash = row.fingerprint()
	if old != nil && old.Pool != row.Pool {
		n.remove(old)
		old = nil
	}
	list := n.list(row.Pool)
	i, found := slices.BinarySearchFunc(list, row, compareRows)
	if found {
		list[i] = row
		n.digest -= old.hash
	} else {
		n.byPool[row.Pool] = slices.Insert(list, i, row)
	}
	n.digest += row.hash
	n.byID[row.ID] = row
}

func (n *edited) remove(old *Endpoint) {
	list := n.list(old.Pool)
	if i, found := slices.BinarySearchFunc(list, old, compareRows); found {
		n.byPool[old.Pool] = slices.Delete(list, i, i+1)
	}
	n.digest -= old.hash
	delete(n.byID, old.ID)
}

// list returns the list of a pool, which may be changed.
func (n *edited) list(pool entity.PoolID) []*Endpoint {
	if !n.copied[pool] {
		n.byPool[pool] = slices.Clone(n.byPool[pool])
		n.copied[pool] = true
	}
	return n.byPool[pool]
}
