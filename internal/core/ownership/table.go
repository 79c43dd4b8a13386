package ownership

import (
	"cmp"
	"slices"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Diff is what moved between two states of a Table, sorted by endpoint.
type Diff struct {
	Moves []Move
}

// Move is one endpoint that changed its owner; From is empty for a new one,
// To for one that is gone or has no owner left.
type Move struct {
	Endpoint entity.EndpointID
	From, To entity.InstanceID
}

// Gained returns the endpoints that an instance now owns and did not before.
func (d Diff) Gained(by entity.InstanceID) []entity.EndpointID {
	var out []entity.EndpointID
	for _, m := range d.Moves {
		if m.To == by {
			out = append(out, m.Endpoint)
		}
	}
	return out
}

// Lost returns the endpoints that an instance owned before and does not now.
func (d Diff) Lost(by entity.InstanceID) []entity.EndpointID {
	var out []entity.EndpointID
	for _, m := range d.Moves {
		if m.From == by {
			out = append(out, m.Endpoint)
		}
	}
	return out
}

// entry is one endpoint with its owner.
type entry struct {
	key   uint64
	zone  entity.ZoneID
	owner entity.InstanceID
}

// Table keeps the owners of a set of endpoints.
type Table struct {
	entries map[entity.EndpointID]*entry
	usable  map[entity.ZoneID][]candidate
	names   []entity.ZoneID
}

// NewTable returns a table without members and endpoints.
func NewTable() *Table { return &Table{entries: make(map[entity.EndpointID]*entry)} }

// Owner returns the owner of an endpoint, empty if it has none.
func (t *Table) Owner(id entity.EndpointID) entity.InstanceID {
	if e := t.entries[id]; e != nil {
		return e.owner
	}
	return ""
}

// SetMembers takes in the live instances of the zones in reach.
func (t *Table) SetMembers(m Members) Diff {
	before, beforeNames := t.usable, t.names
	t.usable, t.names = usableMembers(m)
	var d Diff
	for id, e := range t.entries {
		served := zoneOf(e.zone, t.usable, t.names)
		if served == zoneOf(e.zone, before, beforeNames) && slices.Equal(t.usable[served], before[served]) {
			continue
		}
		d.move(id, e, pick(e.key, t.usable[served]))
	}
	d.sort()
	return d
}

// SetEndpoints takes in the endpoints that configuration describes.
func (t *Table) SetEndpoints(endpoints []entity.Endpoint) Diff {
	var d Diff
	kept := make(map[entity.EndpointID]bool, len(endpoints))
	for _, ep := range endpoints {
		kept[ep.ID] = true
		e := t.entries[ep.ID]
		if e == nil {
			e = &entry{key: endpointKey(ep.ID)}
			t.entries[ep.ID] = e
		}
		e.zone = ep.Zone
		d.move(ep.ID, e, pick(e.key, t.usable[zoneOf(e.zone, t.usable, t.names)]))
	}
	for id, e := range t.entries {
		if !kept[id] {
			d.move(id, e, "")
			delete(t.entries, id)
		}
	}
	d.sort()
	return d
}

func (d *Diff) move(id entity.EndpointID, e *entry, to entity.InstanceID) {
	if e.owner == to {
		return
	}
	d.Moves = append(d.Moves, Move{Endpoint: id, From: e.owner, To: to})
	e.owner = to
}

func (d *Diff) sort() {
	slices.SortFunc(d.Moves, func(a, b Move) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
}
