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

// Endpoint is one row of discovery: an endpoint's description of itself.
type Endpoint struct {
	entity.Endpoint
	// Incarnation is the endpoint's start time in milliseconds since 1970. An
	// endpoint that restarts under the same id has lost its earlier state.
	Incarnation int64
	// Seq counts the row's changes within one incarnation.
	Seq int64
	// Version is the version of the endpoint's software, empty if it can't be read.
	Version string
	// hash is the row's fingerprint, set when the row is added to a table.
	hash uint64
}

// laterThan reports whether the row is of a later incarnation or a later change.
func (e *Endpoint) laterThan(old *Endpoint) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.Seq > old.Seq
}

// mayReplace reports whether the row may replace another one of the same id: it
// is not older.
func (e *Endpoint) mayReplace(old *Endpoint) bool {
	return e.laterThan(old) || (e.Incarnation == old.Incarnation && e.Seq == old.Seq)
}

// Endpoints is an immutable table of live endpoints.
type Endpoints struct {
	byID   map[entity.EndpointID]*Endpoint
	byPool map[entity.PoolID][]*Endpoint // sorted by id
	digest uint64
}

// NewEndpoints returns a table of the given rows, which it takes over.
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

// Get returns the endpoint with the given id.
func (t *Endpoints) Get(id entity.EndpointID) (*Endpoint, bool) {
	e, ok := t.byID[id]
	return e, ok
}

// HasAddress reports whether an endpoint has an address.
func (t *Endpoints) HasAddress(address string) bool {
	for _, e := range t.byID {
		if e.Address == address {
			return true
		}
	}
	return false
}

// Pool returns the endpoints of a pool, sorted by id.
func (t *Endpoints) Pool(id entity.PoolID) []*Endpoint { return t.byPool[id] }

// Pools returns the pools that have endpoints, sorted.
func (t *Endpoints) Pools() []entity.PoolID { return slices.Sorted(maps.Keys(t.byPool)) }

// Leaving returns the number of endpoints that are leaving.
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

// Digest returns a hash of the table. Tables that differ only in sequence numbers
// have the same digest.
func (t *Endpoints) Digest() uint64 { return t.digest }

// fingerprint hashes all fields of a row except its sequence number.
func (e *Endpoint) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	var buffer [64]byte
	for _, s := range [...]string{string(e.ID), string(e.Pool), string(e.Zone), e.Address, e.Version} {
		// Writes to a Digest never fail.
		_, _ = d.WriteString(s)
		_, _ = d.Write(buffer[:1])
	}
	b := binary.AppendVarint(buffer[:0], int64(e.Slots))
	b = binary.AppendVarint(b, e.Incarnation)
	b = strconv.AppendBool(b, e.Leaving)
	_, _ = d.Write(b)
	return d.Sum64()
}

// DiffIDs returns the sorted ids whose rows are in one of the two tables only, or
// differ in more than their sequence numbers.
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
	// Row is nil if the entry was removed or does not describe a usable endpoint.
	Row *Endpoint
}

// Apply returns a new table with the changes applied in order. A row that is
// older than the current one of its id is skipped.
func (t *Endpoints) Apply(changes []Change) *Endpoints {
	n := tableBuilder{
		Endpoints: &Endpoints{byID: maps.Clone(t.byID), byPool: maps.Clone(t.byPool), digest: t.digest},
		copied:    make(map[entity.PoolID]bool),
	}
	for _, c := range changes {
		old := n.byID[c.ID]
		switch {
		case c.Row == nil && old != nil:
			n.remove(old)
		case c.Row != nil && (old == nil || c.Row.mayReplace(old)):
			n.put(old, c.Row)
		}
	}
	return n.Endpoints
}

// tableBuilder builds a table from an existing one. The lists of pools are shared
// with the old table until they are copied.
type tableBuilder struct {
	*Endpoints
	copied map[entity.PoolID]bool
}

// put inserts a row in place of old, which is nil if there is none.
func (n *tableBuilder) put(old, row *Endpoint) {
	row.hash = row.fingerprint()
	if old != nil && old.Pool != row.Pool {
		n.remove(old)
		old = nil
	}
	list := n.poolList(row.Pool)
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

func (n *tableBuilder) remove(old *Endpoint) {
	list := n.poolList(old.Pool)
	if i, found := slices.BinarySearchFunc(list, old, compareRows); found {
		n.byPool[old.Pool] = slices.Delete(list, i, i+1)
	}
	n.digest -= old.hash
	delete(n.byID, old.ID)
}

// poolList returns the list of a pool as a copy that may be modified.
func (n *tableBuilder) poolList(pool entity.PoolID) []*Endpoint {
	if !n.copied[pool] {
		n.byPool[pool] = slices.Clone(n.byPool[pool])
		n.copied[pool] = true
	}
	return n.byPool[pool]
}
