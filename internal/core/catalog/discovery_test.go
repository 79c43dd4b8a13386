package catalog

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

var start = time.Unix(1_700_000_000, 0)

func row(id string, incarnation, seq int64) Change {
	return Change{ID: entity.EndpointID(id), Row: &Endpoint{
		Endpoint: entity.Endpoint{ID: entity.EndpointID(id), Pool: "p", Address: "a:1"}, Incarnation: incarnation, Seq: seq,
	}}
}

func removed(id string) Change { return Change{ID: entity.EndpointID(id)} }

func (d *Discovery) has(id string) bool {
	_, ok := d.table.Get(entity.EndpointID(id))
	return ok
}

func TestNewerRowsWin(t *testing.T) {
	tests := []struct {
		name  string
		rows  []Change
		start int64 // incarnation that stands in the end
		seq   int64
	}{
		{"later sequence", []Change{row("e", 1, 1), row("e", 1, 2)}, 1, 2},
		{"overtaken sequence", []Change{row("e", 1, 2), row("e", 1, 1)}, 1, 2},
		{"new incarnation begins anew", []Change{row("e", 1, 9), row("e", 2, 1)}, 2, 1},
		{"late word of an old incarnation", []Change{row("e", 2, 1), row("e", 1, 9)}, 2, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, ok := NewEndpoints(nil).Apply(tt.rows).Get("e")
			if !ok || e.Incarnation != tt.start || e.Seq != tt.seq {
				t.Errorf("stands %+v", e)
			}
		})
	}
}

func TestRemovalCountsAtOnce(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("e", 1, 1)}, true)
	d.ApplyRead(start.Add(time.Second), []Change{removed("e")}, false)
	if d.has("e") {
		t.Error("the entry was removed while the store was well")
	}
}

// Entries lapse while the store is away. Those that come back within two
// seconds of its return were there all the time; the others are gone.
func TestLapsedEntriesMayComeBack(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("back", 1, 1), row("gone", 1, 1)}, true)
	back := start.Add(10 * time.Second)
	d.ApplyRead(back, []Change{removed("back"), removed("gone")}, false)
	if !d.has("back") || !d.has("gone") {
		t.Fatal("entries that lapsed in an outage are dropped at once")
	}
	d.ApplyRead(back.Add(time.Second), []Change{row("back", 1, 2)}, false)
	d.Tick(back.Add(returnGrace))
	if !d.has("back") || d.has("gone") {
		t.Errorf("back %v, gone %v", d.has("back"), d.has("gone"))
	}
}

// A peer that has just begun may have met only an old word on an entry that is
// leaving by now. Who has read more keeps what it knows.
func TestAdoptedRowsDoNotUndoNewerOnes(t *testing.T) {
	d := NewDiscovery()
	leaving := row("e", 1, 7)
	leaving.Row.Leaving = true
	d.ApplyRead(start, []Change{row("e", 1, 5), leaving, row("other", 1, 1)}, true)
	d.ApplyPeerTable(start.Add(time.Second), []Endpoint{*row("e", 1, 5).Row})
	e, ok := d.table.Get("e")
	if !ok || !e.Leaving {
		t.Errorf("stands %+v, want the row that says that it is leaving", e)
	}
	if d.has("other") {
		t.Error("an entry that the peer does not have is gone")
	}
}

// A peer that was cut off takes an entry that was removed meanwhile for one that
// may have lapsed, and keeps it for a while. Who saw it removed is not misled.
func TestAdoptedRowsDoNotBringARemovedEntryBack(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("e", 1, 7)}, true)
	d.ApplyRead(start.Add(time.Second), []Change{removed("e")}, false)
	d.ApplyPeerTable(start.Add(2*time.Second), []Endpoint{*row("e", 1, 7).Row})
	if d.has("e") {
		t.Error("the entry is back though it was removed")
	}
}

func TestOldWordDoesNotBringARemovedEntryBack(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("e", 1, 7)}, true)
	d.ApplyRead(start.Add(time.Second), []Change{removed("e"), row("e", 1, 6)}, false)
	if d.has("e") {
		t.Error("an old word brought the entry back")
	}
	d.ApplyRead(start.Add(2*time.Second), []Change{row("e", 1, 8)}, false)
	if !d.has("e") {
		t.Error("a newer word must bring it back")
	}
}

// An instance that was cut off from a store that served others must not take
// removals for lapses: the others' word settles it.
func TestOthersTellACutFromAnOutage(t *testing.T) {
	cut, steady := NewDiscovery(), NewDiscovery()
	both := []Change{row("e", 1, 1), row("other", 1, 1)}
	cut.ApplyRead(start, both, true)
	for i := range 20 {
		steady.ApplyRead(start.Add(time.Duration(i)*time.Second/2), both, true)
	}
	back := start.Add(9500 * time.Millisecond)
	cut.ApplyRead(back, []Change{removed("e")}, false)
	if !cut.has("e") {
		t.Fatal("alone it can't know that the store was there")
	}
	now := back.Add(100 * time.Millisecond)
	if !cut.RecordPeerStoreUptime(now, steady.StoreUptime(now)) || cut.has("e") {
		t.Error("the entry stands though another instance has read the store all the time")
	}
	cut.ApplyRead(now.Add(time.Second), []Change{removed("other")}, false)
	if cut.has("other") {
		t.Error("a removal after that is put off")
	}
}

func TestOutageForAllIsNoCut(t *testing.T) {
	a, b := NewDiscovery(), NewDiscovery()
	for _, d := range []*Discovery{a, b} {
		d.ApplyRead(start, []Change{row("e", 1, 1)}, true)
		d.ApplyRead(start.Add(8*time.Second), []Change{removed("e")}, false)
	}
	now := start.Add(9 * time.Second)
	if a.RecordPeerStoreUptime(now, b.StoreUptime(now)) || !a.has("e") {
		t.Error("both were without the store: the entry may have lapsed")
	}
}

// Who only hears of reads has an outage too when it hears of none.
func TestOutageThatWasOnlyHeardOf(t *testing.T) {
	d := NewDiscovery()
	d.ApplyPeerTable(start, []Endpoint{*row("e", 1, 1).Row})
	d.RecordPeerRead(start.Add(time.Second))
	d.RecordPeerRead(start.Add(9 * time.Second))
	if s := d.StoreUptime(start.Add(10 * time.Second)); s != time.Second {
		t.Errorf("steady for %v, want the second since the store's return", s)
	}
}

func TestWholeReadDropsWhatIsMissing(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("a", 1, 1), row("b", 1, 1)}, true)
	d.ApplyRead(start.Add(time.Second), []Change{row("b", 1, 1)}, true)
	if d.has("a") || !d.has("b") {
		t.Error("a whole read leaves exactly what it names")
	}
}

func TestDigestTellsTablesApart(t *testing.T) {
	a := NewEndpoints(nil).Apply([]Change{row("e", 1, 1)})
	b := a.Apply([]Change{row("e", 1, 2)})
	leaving := row("e", 1, 3)
	leaving.Row.Leaving = true
	c := b.Apply([]Change{leaving})
	if a.Digest() != b.Digest() || b.Digest() == c.Digest() {
		t.Error("sequence numbers alone must not count, leaving must")
	}
}

func TestConfigLookups(t *testing.T) {
	c := &Config{Routes: []Route{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/", Pools: []WeightedPool{{"x", 90}, {"y", 10}}},
	}}
	c.Index()
	tests := []struct{ host, path, want string }{
		{"h", "/a/c", "short"}, {"H:80", "/a/b/c", "long"}, {"h", "/b/", ""}, {"other", "/a/", ""},
	}
	for _, tt := range tests {
		r, ok := c.Match(tt.host, tt.path)
		if ok != (tt.want != "") || (ok && r.Name != tt.want) {
			t.Errorf("%s%s: %v, %v", tt.host, tt.path, r, ok)
		}
	}
	count := map[entity.PoolID]int{}
	long, _ := c.Match("h", "/a/b/")
	for i := range 1000 {
		id := entity.RequestID(time.Duration(i).String())
		first, again := long.PoolFor(id), long.PoolFor(id)
		if first != again {
			t.Fatal("one request goes to two pools")
		}
		count[first]++
	}
	if count["y"] < 50 || count["y"] > 150 {
		t.Errorf("split %v, want 9 to 1", count)
	}
}
