package placement

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

const (
	gigabyte  = 1 << 30
	testRate  = 4 * gigabyte
	tickEvery = time.Second
)

// engine is an endpoint that takes its time and reports with a lag.
type engine struct {
	Endpoint
	items   map[Item]time.Time // when it is ready
	inUse   []Item
	reports []Report // the oldest goes out next
}

// world is a zone of engines and a planner that loses one order in ten.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	p       *Planner
	engines []*engine
	models  []Model
	loaded  int64 // bytes of all downloads ordered
	largest int64
	orders  int
	drains  [][]Drain // of the last ticks, the oldest first: owners learn of them late
	crashed time.Time // the last time an engine lost what it held
}

// reportLag is how old a report is when it arrives.
const reportLag = 3 * time.Second

func newWorld(t *testing.T, seed int64) *world {
	w := &world{t: t, rng: rand.New(rand.NewSource(seed)), now: start}
	for i := range 6 {
		w.engines = append(w.engines, &engine{
			Endpoint: Endpoint{ID: entity.EndpointID(fmt.Sprintf("e%d", i)), MemoryBytes: 40 * gigabyte},
			items:    map[Item]time.Time{},
		})
	}
	for i := range 4 {
		w.models = append(w.models, Model{
			ID: entity.ModelID(fmt.Sprintf("m%d", i)), Version: "1", Bytes: int64(8+4*i) * gigabyte,
			MinCopies: 1, Adapters: []entity.AdapterID{"tone"}, AdapterBytes: gigabyte / 4,
		})
	}
	w.newHolder()
	return w
}

// newHolder replaces the planner, as when the lease changes hands.
func (w *world) newHolder() {
	w.p = New(Settings{DownloadBytesPerSec: testRate, ScaleDownDelay: 30 * time.Second})
	w.p.SetModels(w.now, w.models)
	w.setEndpoints()
}

func (w *world) setEndpoints() {
	var es []Endpoint
	for _, e := range w.engines {
		es = append(es, e.Endpoint)
	}
	w.p.SetEndpoints(w.now, es)
}

func (w *world) step() {
	w.now = w.now.Add(tickEvery)
	for _, e := range w.engines {
		e.reports = append(e.reports, e.state(w.now))
		if len(e.reports) > int(reportLag/tickEvery) {
			e.reports = e.reports[1:]
			w.p.HandleReport(w.now, e.reports[0])
		}
	}
	w.p.Tick(w.now)
	r := w.p.Ready()
	w.drains = append(w.drains, r.Drains)
	w.drains = w.drains[max(0, len(w.drains)-int(reportLag/tickEvery)):]
	for _, o := range r.Orders {
		w.orders++
		w.loaded += o.Bytes
		w.largest = max(w.largest, o.Bytes)
		if w.rng.Intn(10) > 0 {
			w.carryOut(o)
		}
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func (e *engine) state(now time.Time) Report {
	r := Report{Endpoint: e.ID, InUse: slices.Clone(e.inUse)}
	for it, at := range e.items {
		if now.Before(at) {
			r.Loading = append(r.Loading, it)
		} else {
			r.Ready = append(r.Ready, it)
		}
	}
	slices.SortFunc(r.Ready, cmpItem)
	slices.SortFunc(r.Loading, cmpItem)
	return r
}

func cmpItem(a, b Item) int {
	return byUrgency(download{item: a}, download{item: b})
}

func (w *world) carryOut(o Order) {
	e := w.engines[slices.IndexFunc(w.engines, func(e *engine) bool { return e.ID == o.Endpoint })]
	if o.Action == ActionLoad {
		if _, ok := e.items[o.Item]; !ok {
			e.items[o.Item] = w.now.Add(time.Duration(o.Bytes) * time.Second / testRate)
		}
		w.checkMemory(e)
		return
	}
	if slices.Contains(e.inUse, o.Item) {
		w.t.Errorf("%v: %+v is unloaded from %s while in use", w.now.Sub(start), o.Item, e.ID)
	}
	before := w.readyCopies(o.Item.Model)
	delete(e.items, o.Item)
	if w.now.Sub(w.crashed) <= reportLag+tickEvery {
		return // no report can have shown yet that another copy is gone
	}
	if after := w.readyCopies(o.Item.Model); after < min(before, w.least(o.Item.Model)) {
		w.t.Errorf("%v: %s left with %d ready copies", w.now.Sub(start), o.Item.Model, after)
	}
}

func (w *world) checkMemory(e *engine) {
	var used int64
	for it := range e.items {
		used += w.p.bytes(it)
	}
	if used > e.MemoryBytes {
		w.t.Errorf("%v: %s holds %d bytes", w.now.Sub(start), e.ID, used)
	}
}

func (w *world) readyCopies(id entity.ModelID) int {
	n := 0
	for _, e := range w.engines {
		if slices.ContainsFunc(e.state(w.now).Ready, func(it Item) bool { return it.Model == id && it.Adapter == "" }) {
			n++
		}
	}
	return n
}

// least is how many ready copies a model must keep.
func (w *world) least(id entity.ModelID) int {
	for _, m := range w.models {
		if m.ID == id {
			return max(1, m.MinCopies)
		}
	}
	return 0
}

// disturb changes demand, versions, what is in use, endpoints and the holder.
func (w *world) disturb() {
	e := w.engines[w.rng.Intn(len(w.engines))]
	i := w.rng.Intn(len(w.models))
	switch w.rng.Intn(6) {
	case 0, 1:
		w.p.SetDemand(w.now, w.models[i].ID, 3*w.rng.Float64())
	case 2:
		w.models[i].Version += "+"
		w.p.SetModels(w.now, w.models)
	case 3: // owners send nothing to what is draining
		e.inUse = nil
		ready := slices.DeleteFunc(e.state(w.now).Ready, func(it Item) bool {
			return slices.Contains(w.drains[0], Drain{Endpoint: e.ID, Item: it})
		})
		if len(ready) > 0 {
			it := ready[w.rng.Intn(len(ready))]
			e.inUse = []Item{it, {Model: it.Model, Version: it.Version}}
		}
	case 4:
		w.newHolder()
	case 5: // the engine lost all it held
		clear(e.items)
		e.inUse = nil
		w.crashed = w.now
	}
}

func TestPlacementKeepsItsPromises(t *testing.T) {
	for seed := range int64(100) {
		w := newWorld(t, seed)
		for range 20 {
			w.run(time.Duration(1+w.rng.Intn(60)) * time.Second)
			w.disturb()
		}
		w.settleDown()
		for _, m := range w.models {
			if n := w.readyCopies(m.ID); n != 2 {
				t.Errorf("seed %d: %s has %d ready copies, wants 2", seed, m.ID, n)
			}
		}
		orders := w.orders
		w.run(2 * time.Minute)
		if w.orders != orders {
			t.Errorf("seed %d: %d orders though nothing changes", seed, w.orders-orders)
		}
		if t.Failed() {
			t.FailNow()
		}
	}
}

// settleDown leaves the zone with steady demand until it has followed.
func (w *world) settleDown() {
	for _, e := range w.engines {
		e.inUse = nil
	}
	for _, m := range w.models {
		w.p.SetDemand(w.now, m.ID, 1.5)
	}
	w.run(10 * time.Minute)
}

func TestDownloadsShareTheRate(t *testing.T) {
	w := newWorld(t, 1)
	for _, m := range w.models {
		w.p.SetDemand(w.now, m.ID, 2)
	}
	for range 60 {
		w.step()
		allowed := testRate*int64(w.now.Sub(start)/time.Second) + w.largest
		if w.loaded > allowed {
			t.Fatalf("%v: %d bytes ordered, %d allowed", w.now.Sub(start), w.loaded, allowed)
		}
	}
	if w.loaded == 0 {
		t.Error("nothing was loaded")
	}
}

func TestSwingingDemandDoesNotFlap(t *testing.T) {
	w := newWorld(t, 1)
	w.p.SetDemand(w.now, "m0", 3)
	w.run(2 * time.Minute)
	orders := w.orders
	for range 20 { // each low is shorter than MinDwell
		w.p.SetDemand(w.now, "m0", 1)
		w.run(20 * time.Second)
		w.p.SetDemand(w.now, "m0", 3)
		w.run(10 * time.Second)
	}
	if w.orders != orders {
		t.Errorf("%d orders", w.orders-orders)
	}
}

func TestLeavingEndpointIsReplacedBeforeItsWorkGoes(t *testing.T) {
	w := newWorld(t, 1)
	w.run(time.Minute)
	holds := func(e *engine) bool { _, ok := e.items[Item{Model: "m3", Version: "1"}]; return ok }
	i := slices.IndexFunc(w.engines, holds)
	w.engines[i].Leaving = true
	w.setEndpoints()
	w.run(time.Minute)
	if !holds(w.engines[i]) {
		t.Error("the leaving endpoint was told to unload")
	}
	if n := w.readyCopies("m3"); n != 2 {
		t.Errorf("%d ready copies, the leaving one included", n)
	}
}

// Where two versions don't fit side by side, the last copy moves by way of
// another endpoint.
func TestNewVersionKeepsTheLastCopy(t *testing.T) {
	w := newWorld(t, 3)
	w.engines = w.engines[:2]
	for _, e := range w.engines {
		e.MemoryBytes = 20 * gigabyte
	}
	w.models = w.models[1:2] // 12 GB
	w.newHolder()
	w.run(time.Minute)
	w.models[0].Version = "2"
	w.p.SetModels(w.now, w.models)
	for range 300 {
		w.step()
		if w.readyCopies("m1") == 0 {
			t.Fatalf("%v: no copy is ready", w.now.Sub(start))
		}
	}
	for _, e := range w.engines {
		for it := range e.items {
			if it.Version != "2" {
				t.Errorf("%s still holds %+v", e.ID, it)
			}
		}
	}
}
