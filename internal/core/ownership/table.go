package ownership

import (
	"cmp"
	"slices"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Diff lists the changes of owners between two states of a Table, sorted by
// endpoint.
type Diff struct {
	Moves []Move
}

// Move is a change of one endpoint's owner. From is empty if the endpoint had
// no owner; To is empty if the endpoint was removed or has no owner any more.
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

// endpointEntry is one endpoint with its hash key, zone and owner.
type endpointEntry struct {
	key   uint64
	zone  entity.ZoneID
	owner entity.InstanceID
}

// Table holds the owners of a set of endpoints.
type Table struct {
	entries map[entity.EndpointID]*endpointEntry
	// usable are the members that may be owners, by zone.
	usable map[entity.ZoneID][]candidate
	// zoneNames are the zones in usable, sorted.
	zoneNames []entity.ZoneID
}

// NewTable returns a Table without members and endpoints.
func NewTable() *Table { return &Table{entries: make(map[entity.EndpointID]*endpointEntry)} }

// Owner returns the owner of an endpoint, empty if it has none.
func (t *Table) Owner(id entity.EndpointID) entity.InstanceID {
	if e := t.entries[id]; e != nil {
		return e.owner
	}
	return ""
}

// SetMembers sets the live instances of the reachable zones and returns the
// changes of owners.
func (t *Table) SetMembers(m Members) Diff {
	before, beforeNames := t.usable, t.zoneNames
	t.usable, t.zoneNames = usableMembers(m)
	var d Diff
	for id, e := range t.entries {
		serving := servingZone(e.zone, t.usable, t.zoneNames)
		if serving == servingZone(e.zone, before, beforeNames) && slices.Equal(t.usable[serving], before[serving]) {
			continue
		}
		d.setOwner(id, e, pick(e.key, t.usable[serving]))
	}
	d.sort()
	return d
}

// SetEndpoints sets the configured endpoints and returns the changes of owners.
func (t *Table) SetEndpoints(endpoints []entity.Endpoint) Diff {
	var d Diff
	configured := make(map[entity.EndpointID]bool, len(endpoints))
	for _, ep := range endpoints {
		configured[ep.ID] = true
		e := t.entries[ep.ID]
		if e == nil {
			e = &endpointEntry{key: endpointKey(ep.ID)}
			t.entries[ep.ID] = e
		}
		e.zone = ep.Zone
		d.setOwner(ep.ID, e, pick(e.key, t.usable[servingZone(e.zone, t.usable, t.zoneNames)]))
	}
	for id, e := range t.entries {
		if !configured[id] {
			d.setOwner(id, e, "")
			delete(t.entries, id)
		}
	}
	d.sort()
	return d
}

// setOwner sets the owner of an endpoint and records the change, if it is one.
func (d *Diff) setOwner(id entity.EndpointID, e *endpointEntry, to entity.InstanceID) {
	if e.owner == to {
		return
	}
	d.Moves = append(d.Moves, Move{Endpoint: id, From: e.owner, To: to})
	e.owner = to
}

func (d *Diff) sort() {
	slices.SortFunc(d.Moves, func(a, b Move) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
}
