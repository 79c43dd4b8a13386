package catalog

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// isLeaving reports whether the endpoint with the given id is in the table and leaving.
func (d *Discovery) isLeaving(id string) bool {
	e, ok := d.table.Get(entity.EndpointID(id))
	return ok && e.Leaving
}

// An endpoint that has said that it is going to stop remains leaving, although its entry
// in the store goes on to say that it is ready, until it restarts.
func TestDepartureOutlastsTheStoresEntry(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("e", 1, 1)}, true)
	before := d.Table().Digest()
	if !d.RecordDepartures(start, []Departure{{ID: "e", Incarnation: 1}}) || !d.isLeaving("e") || d.Table().Digest() == before {
		t.Fatal("the endpoint is not leaving, or the digest is unchanged, after its statement")
	}
	steps := []struct {
		name  string
		apply func()
		want  bool
	}{
		{"heartbeat", func() { d.ApplyRead(start.Add(time.Second), []Change{row("e", 1, 2)}, false) }, true},
		{"complete read", func() { d.ApplyRead(start.Add(2*time.Second), []Change{row("e", 1, 3)}, true) }, true},
		{"table of a peer", func() { d.ApplyPeerTable(start.Add(3*time.Second), []Endpoint{*row("e", 1, 4).Row}) }, true},
		{"removed, and back after an outage", func() {
			d.ApplyRead(start.Add(4*time.Second), []Change{removed("e")}, false)
			d.ApplyRead(start.Add(5*time.Second), []Change{row("e", 1, 5)}, false)
		}, true},
		{"restart under the same id", func() { d.ApplyRead(start.Add(6*time.Second), []Change{row("e", 2, 1)}, false) }, false},
	}
	for _, s := range steps {
		s.apply()
		if got := d.isLeaving("e"); got != s.want {
			t.Errorf("%s: got leaving %v, want %v", s.name, got, s.want)
		}
	}
}

// A departure that arrives in the table of a peer holds against later reads of the store.
func TestDepartureSpreadsWithTables(t *testing.T) {
	first, second := NewDiscovery(), NewDiscovery()
	for _, d := range []*Discovery{first, second} {
		d.ApplyRead(start, []Change{row("e", 1, 1), row("f", 1, 1)}, true)
	}
	first.RecordDepartures(start, []Departure{{ID: "e", Incarnation: 1}})
	second.ApplyPeerTable(start, first.Table().All())
	second.ApplyRead(start.Add(time.Second), []Change{row("e", 1, 2), row("f", 1, 2)}, false)
	if !second.isLeaving("e") || second.isLeaving("f") {
		t.Errorf("got e leaving: %v, f leaving: %v, want true and false", second.isLeaving("e"), second.isLeaving("f"))
	}
	if first.Table().Digest() != second.Table().Digest() {
		t.Error("the two tables have different digests, want the same")
	}
}

// An instance that reads a departure in the store tells the others, which may not reach the store. One
// that learns of it from a peer's table has nothing to tell.
func TestDepartureReadInTheStoreIsToldToOthers(t *testing.T) {
	leaving := row("e", 1, 2)
	leaving.Row.Leaving = true
	reader, peer := NewDiscovery(), NewDiscovery()
	for _, d := range []*Discovery{reader, peer} {
		d.ApplyRead(start, []Change{row("e", 1, 1)}, true)
	}
	now := start.Add(time.Second)
	reader.ApplyRead(now, []Change{leaving}, false)
	if got := reader.RecentDepartures(now); len(got) != 1 || got[0] != (Departure{ID: "e", Incarnation: 1}) {
		t.Errorf("got departures %v from the instance that read one, want that of e", got)
	}
	peer.ApplyPeerTable(now, reader.Table().All())
	if got := peer.RecentDepartures(now); len(got) != 0 {
		t.Errorf("got departures %v from the instance that got a table, want none", got)
	}
}

// The entries of some endpoints are removed without having said that they are leaving.
func TestRemovalReadInTheStoreIsToldToOthers(t *testing.T) {
	reader, told := NewDiscovery(), NewDiscovery()
	for _, d := range []*Discovery{reader, told} {
		d.ApplyRead(start, []Change{row("e", 1, 1), row("f", 1, 1)}, true)
	}
	now := start.Add(time.Second)
	reader.ApplyRead(now, []Change{removed("e")}, false)
	if !told.RecordDepartures(now, reader.RecentDepartures(now)) || told.has("e") || !told.has("f") {
		t.Fatalf("got e in the table: %v, f: %v, want only f", told.has("e"), told.has("f"))
	}
	if got := told.RecentDepartures(now); len(got) != 1 || !got[0].Removed {
		t.Errorf("got departures %v to tell others, want the removal", got)
	}
	told.ApplyRead(now, []Change{row("e", 1, 1)}, false)
	if told.has("e") {
		t.Error("an outdated row restores the endpoint, want it to stay away")
	}
	told.ApplyRead(now, []Change{row("e", 1, 2)}, false)
	told.RecordDepartures(now, reader.RecentDepartures(now))
	if !told.has("e") {
		t.Error("the endpoint that was written again is removed by an older removal, want it to stay")
	}
}

// A row of an earlier start that arrives late does not hide that the endpoint is going to stop.
func TestDepartureOutlastsRowsOfEarlierStarts(t *testing.T) {
	old, leaving := row("e", 1, 9), row("e", 2, 1)
	old.Row.Leaving, leaving.Row.Leaving = true, true
	d := NewDiscovery()
	d.ApplyRead(start, []Change{leaving}, true)
	d.ApplyRead(start, []Change{old, row("e", 2, 2)}, false)
	if !d.isLeaving("e") {
		t.Error("the endpoint is not leaving, want leaving until it restarts")
	}
}

func TestDeparturesAreRepeatedForAWhile(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("e", 1, 1)}, true)
	d.RecordDepartures(start, []Departure{{ID: "e", Incarnation: 1}, {ID: "unknown", Incarnation: 1}})
	if got := d.RecentDepartures(start.Add(departureRepeat / 2)); len(got) != 1 || got[0].ID != "e" {
		t.Errorf("got %v soon after the statement, want that of e", got)
	}
	// Hearing of it again does not prolong the repetition.
	d.RecordDepartures(start.Add(departureRepeat/2), []Departure{{ID: "e", Incarnation: 1}})
	if got := d.RecentDepartures(start.Add(departureRepeat)); len(got) != 0 {
		t.Errorf("got %v long after the statement, want none", got)
	}
}

// The statement of an earlier incarnation does not concern the endpoint's present one.
func TestOutdatedDepartureIsIgnored(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("e", 2, 1)}, true)
	if d.RecordDepartures(start, []Departure{{ID: "e", Incarnation: 1}}) || d.isLeaving("e") {
		t.Error("the endpoint is leaving because of an earlier incarnation's statement")
	}
}

// Records of endpoints that are long gone don't pile up.
func TestDeparturesOfRemovedEndpointsExpire(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("e", 1, 1)}, true)
	d.RecordDepartures(start, []Departure{{ID: "e", Incarnation: 1}})
	d.ApplyRead(start.Add(time.Second), []Change{removed("e")}, false)
	d.Tick(start.Add(time.Second + 2*tombstoneRetention))
	d.Tick(start.Add(time.Second + 2*tombstoneRetention))
	if len(d.departures) != 0 {
		t.Errorf("got %d records, want none", len(d.departures))
	}
}
