package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

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
	t.digest = digestOf(t.byID)
	for _, e := range t.byID {
		t.byPool[e.Pool] = append(t.byPool[e.Pool], e)
	}
	for _, list := range t.byPool {
		slices.SortFunc(list, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return t
}

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

func digestOf(rows map[entity.EndpointID]*Endpoint) uint64 {
	var sum uint64
	for _, e := range rows {
		sum += xxhash.Sum64String(fmt.Sprint(e.ID, e.Pool, e.Zone, e.Address, e.Slots, e.Leaving, e.Incarnation))
	}
	return sum
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
	rows := maps.Clone(t.byID)
	if rows == nil {
		rows = make(map[entity.EndpointID]*Endpoint)
	}
	for _, c := range changes {
		old := rows[c.ID]
		switch {
		case c.Row == nil:
			delete(rows, c.ID)
		case old == nil || c.Row.newerThan(old):
			rows[c.ID] = c.Row
		}
	}
	list := make([]Endpoint, 0, len(rows))
	for _, e := range rows {
		list = append(list, *e)
	}
	return NewEndpoints(list)
}
