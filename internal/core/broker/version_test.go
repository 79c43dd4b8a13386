package broker

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// versions returns a table with one engine of each version, in order, with a slot each.
func versions(names ...string) *catalog.Endpoints {
	var rows []catalog.Endpoint
	for i, v := range names {
		row := engineRow(i, 1)
		row.Version = v
		rows = append(rows, row)
	}
	return catalog.NewEndpoints(rows)
}

// granted returns the endpoints that messages grant, by request.
func granted(messages []entity.Outgoing) map[entity.RequestID]entity.EndpointID {
	out := make(map[entity.RequestID]entity.EndpointID)
	for _, m := range messages {
		if g, ok := m.Message.(Grant); ok {
			out[g.ID] = g.Endpoint
		}
	}
	return out
}

// A request that goes on with a stream gets an engine of its version, before requests that can go
// anywhere, and waits for one rather than take another.
func TestStreamInFlightGoesBeforeNewOnesAtItsVersion(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.b.SetEndpoints(h.now, []entity.PoolID{llm}, versions("v1", "v2"))
	first := granted(h.requestSlot("old", func(r *SlotRequest) { r.Version = "v1" }))
	if first["old"] != engineRow(0, 1).ID {
		t.Fatalf("granted %v, want the engine of v1", first)
	}
	h.requestSlot("new-1", nil) // takes v2
	h.requestSlot("new-2", func(r *SlotRequest) { r.Rank = 0 })
	if got := granted(h.requestSlot("again", func(r *SlotRequest) { r.Version = "v1"; r.Rank = 8 })); len(got) > 0 {
		t.Fatalf("granted %v while the engine of v1 is busy, want nothing", got)
	}
	h.b.HandleDone(h.now, Done{ID: "old", Seq: 1})
	if got := granted(h.b.Ready()); got["again"] != engineRow(0, 1).ID {
		t.Errorf("granted %v when the engine of v1 became free, want it for the stream in flight", got)
	}
}

func TestStreamOfAVersionThatIsGoneIsRefused(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.b.SetEndpoints(h.now, []entity.PoolID{llm}, versions("v2"))
	var reason DenyReason
	for _, m := range h.requestSlot("old", func(r *SlotRequest) { r.Version = "v1" }) {
		if d, ok := m.Message.(Deny); ok {
			reason = d.Reason
		}
	}
	if reason != DenyVersion {
		t.Errorf("got reason %q, want %q", reason, DenyVersion)
	}
}

// The last engines of a version are in another zone.
func TestStreamIsForwardedToTheZoneOfItsVersion(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.b.SetEndpoints(h.now, []entity.PoolID{llm}, versions("v2"))
	h.b.HandleZoneState(h.now, "wrong", ZoneState{Pool: llm, Zone: "x", Free: 9, Slots: 9, Versions: []string{"v2"}})
	h.b.HandleZoneState(h.now, "right", ZoneState{Pool: llm, Zone: "y", Free: 0, Slots: 1, Versions: []string{"v1"}})
	var to entity.InstanceID
	for _, m := range h.requestSlot("old", func(r *SlotRequest) { r.Version = "v1" }) {
		if f, ok := m.Message.(Forwarded); ok {
			to = f.To
		}
	}
	if to != "right" {
		t.Errorf("forwarded to %q, want the broker of the zone that has the version", to)
	}
}

// One entry's requests hang at an engine that begins the answers of another one.
func TestEngineServesOthersWhileOneEntryHangs(t *testing.T) {
	h := newHarness(t, 0, 0)
	row := engineRow(0, 4)
	h.b.SetEndpoints(h.now, []entity.PoolID{llm}, catalog.NewEndpoints([]catalog.Endpoint{row}))
	h.requestSlot("hangs", func(r *SlotRequest) { r.From = "cut off" })
	for n := range 40 {
		h.now = h.now.Add(50 * time.Millisecond)
		h.b.MessageReceived(h.now, "cut off")
		h.b.MessageReceived(h.now, "entry")
		h.b.Tick(h.now)
		id := entity.RequestID(rune('a' + n))
		if got := granted(h.requestSlot(string(id), nil)); got[id] != row.ID {
			t.Fatalf("granted %v after %d answers to others, want the engine", got, n)
		}
		h.b.HandleStarted(h.now, Started{ID: id, After: 20 * time.Millisecond})
		h.b.HandleDone(h.now, Done{ID: id, Seq: 1})
		h.b.Ready()
	}
}

// After a restart of all instances, a new broker has not heard of the other zones yet.
func TestStreamWaitsUntilANewBrokerHasHeardOfTheOtherZones(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.b.SetEndpoints(h.now, []entity.PoolID{llm}, versions("v2"))
	h.b.TakeOver(h.now, llm)
	for _, m := range h.requestSlot("old", func(r *SlotRequest) { r.Version = "v1" }) {
		if d, ok := m.Message.(Deny); ok {
			t.Fatalf("refused with %q at once, want it to wait", d.Reason)
		}
	}
	h.now = h.now.Add(loadTimeout / 2)
	h.b.HandleZoneState(h.now, "right", ZoneState{Pool: llm, Zone: "y", Free: 0, Slots: 1, Versions: []string{"v1"}})
	h.b.Tick(h.now)
	var to entity.InstanceID
	for _, m := range h.b.Ready() {
		if f, ok := m.Message.(Forwarded); ok {
			to = f.To
		}
	}
	if to != "right" {
		t.Errorf("forwarded to %q, want the broker of the zone that has the version", to)
	}
}
