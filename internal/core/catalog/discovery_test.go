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
		name             string
		rows             []Change
		incarnation, seq int64 // of the row that remains
	}{
		{"later sequence", []Change{row("e", 1, 1), row("e", 1, 2)}, 1, 2},
		{"earlier sequence arrives later", []Change{row("e", 1, 2), row("e", 1, 1)}, 1, 2},
		{"new incarnation restarts the sequence", []Change{row("e", 1, 9), row("e", 2, 1)}, 2, 1},
		{"outdated row of an old incarnation", []Change{row("e", 2, 1), row("e", 1, 9)}, 2, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, ok := NewEndpoints(nil).Apply(tt.rows).Get("e")
			if !ok || e.Incarnation != tt.incarnation || e.Seq != tt.seq {
				t.Errorf("got row %+v, want incarnation %d with sequence number %d", e, tt.incarnation, tt.seq)
			}
		})
	}
}

func TestRemovalIsAppliedAtOnce(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("e", 1, 1)}, true)
	d.ApplyRead(start.Add(time.Second), []Change{removed("e")}, false)
	if d.has("e") {
		t.Error("a removed entry was kept although the store had no outage")
	}
}

// Entries expire during an outage of the store. Those that reappear within two
// seconds of its return were alive all the time; the others are removed.
func TestExpiredEntriesMayReappear(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("alive", 1, 1), row("lost", 1, 1)}, true)
	storeReturn := start.Add(10 * time.Second)
	d.ApplyRead(storeReturn, []Change{removed("alive"), removed("lost")}, false)
	if !d.has("alive") || !d.has("lost") {
		t.Fatal("entries that expired in an outage were removed at once")
	}
	d.ApplyRead(storeReturn.Add(time.Second), []Change{row("alive", 1, 2)}, false)
	d.Tick(storeReturn.Add(returnGrace))
	if !d.has("alive") || d.has("lost") {
		t.Errorf("alive entry exists: %v, lost entry exists: %v, want true and false", d.has("alive"), d.has("lost"))
	}
}

// A peer that has just started may only have seen an outdated row of an endpoint
// that is leaving by now. The receiver of its table must keep the newer row.
func TestPeerTableDoesNotReplaceNewerRows(t *testing.T) {
	d := NewDiscovery()
	leaving := row("e", 1, 7)
	leaving.Row.Leaving = true
	d.ApplyRead(start, []Change{row("e", 1, 5), leaving, row("other", 1, 1)}, true)
	d.ApplyPeerTable(start.Add(time.Second), []Endpoint{*row("e", 1, 5).Row})
	e, ok := d.table.Get("e")
	if !ok || !e.Leaving {
		t.Errorf("got row %+v, want the newer row that is leaving", e)
	}
	if d.has("other") {
		t.Error("an entry that the peer does not have was kept")
	}
}

// A peer that was partitioned from the store keeps a removed entry for a while,
// since the entry may merely have expired. An instance that has seen the removal
// must not restore the entry from that peer's table.
func TestPeerTableDoesNotRestoreRemovedEntry(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("e", 1, 7)}, true)
	d.ApplyRead(start.Add(time.Second), []Change{removed("e")}, false)
	d.ApplyPeerTable(start.Add(2*time.Second), []Endpoint{*row("e", 1, 7).Row})
	if d.has("e") {
		t.Error("the peer's table restored a removed entry")
	}
}

func TestOutdatedRowDoesNotRestoreRemovedEntry(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("e", 1, 7)}, true)
	d.ApplyRead(start.Add(time.Second), []Change{removed("e"), row("e", 1, 6)}, false)
	if d.has("e") {
		t.Error("an outdated row restored a removed entry")
	}
	d.ApplyRead(start.Add(2*time.Second), []Change{row("e", 1, 8)}, false)
	if !d.has("e") {
		t.Error("a newer row did not restore the entry")
	}
}

// An instance that was partitioned from a store that served others must not mistake
// removed entries for entries that expired in an outage. A peer's store uptime shows
// the difference.
func TestPeerUptimeDistinguishesPartitionFromOutage(t *testing.T) {
	partitioned, peer := NewDiscovery(), NewDiscovery()
	both := []Change{row("e", 1, 1), row("other", 1, 1)}
	partitioned.ApplyRead(start, both, true)
	for i := range 20 {
		peer.ApplyRead(start.Add(time.Duration(i)*time.Second/2), both, true)
	}
	reconnectedAt := start.Add(9500 * time.Millisecond)
	partitioned.ApplyRead(reconnectedAt, []Change{removed("e")}, false)
	if !partitioned.has("e") {
		t.Fatal("an entry that may have expired was removed at once")
	}
	now := reconnectedAt.Add(100 * time.Millisecond)
	if !partitioned.RecordPeerStoreUptime(now, peer.StoreUptime(now)) || partitioned.has("e") {
		t.Error("a removed entry was kept although the peer has read the store all the time")
	}
	partitioned.ApplyRead(now.Add(time.Second), []Change{removed("other")}, false)
	if partitioned.has("other") {
		t.Error("a later removal was deferred")
	}
}

func TestOutageOfAllInstancesKeepsEntries(t *testing.T) {
	a, b := NewDiscovery(), NewDiscovery()
	for _, d := range []*Discovery{a, b} {
		d.ApplyRead(start, []Change{row("e", 1, 1)}, true)
		d.ApplyRead(start.Add(8*time.Second), []Change{removed("e")}, false)
	}
	now := start.Add(9 * time.Second)
	if a.RecordPeerStoreUptime(now, b.StoreUptime(now)) || !a.has("e") {
		t.Error("an entry that may have expired was removed although no instance could read the store")
	}
}

// An instance that learns of reads of the store only from its peers must count a gap
// between their reports as an outage.
func TestOutageObservedOnlyThroughPeers(t *testing.T) {
	d := NewDiscovery()
	d.ApplyPeerTable(start, []Endpoint{*row("e", 1, 1).Row})
	d.RecordPeerRead(start.Add(time.Second))
	d.RecordPeerRead(start.Add(9 * time.Second))
	if s := d.StoreUptime(start.Add(10 * time.Second)); s != time.Second {
		t.Errorf("got a store uptime of %v, want 1 s since the store's return", s)
	}
}

func TestCompleteReadRemovesMissingEntries(t *testing.T) {
	d := NewDiscovery()
	d.ApplyRead(start, []Change{row("a", 1, 1), row("b", 1, 1)}, true)
	d.ApplyRead(start.Add(time.Second), []Change{row("b", 1, 1)}, true)
	if d.has("a") || !d.has("b") {
		t.Errorf("entry a exists: %v, entry b exists: %v after a complete read of b only, want false and true", d.has("a"), d.has("b"))
	}
}

func TestDigestIgnoresOnlySequenceNumbers(t *testing.T) {
	a := NewEndpoints(nil).Apply([]Change{row("e", 1, 1)})
	b := a.Apply([]Change{row("e", 1, 2)})
	leaving := row("e", 1, 3)
	leaving.Row.Leaving = true
	c := b.Apply([]Change{leaving})
	if a.Digest() != b.Digest() || b.Digest() == c.Digest() {
		t.Error("the digest must not depend on sequence numbers, but on Leaving")
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
			t.Errorf("%s%s: got route %v, %v, want %q", tt.host, tt.path, r, ok, tt.want)
		}
	}
	count := map[entity.PoolID]int{}
	long, _ := c.Match("h", "/a/b/")
	for i := range 1000 {
		id := entity.RequestID(time.Duration(i).String())
		first, again := long.PoolFor(id), long.PoolFor(id)
		if first != again {
			t.Fatal("the same request id got two different pools")
		}
		count[first]++
	}
	if count["y"] < 50 || count["y"] > 150 {
		t.Errorf("got split %v, want 9 to 1", count)
	}
}
