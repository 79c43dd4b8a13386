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
	gigabyte     = 1 << 30
	downloadRate = 4 * gigabyte
	tickInterval = time.Second
)

// engine is a simulated endpoint: loading takes time, and reports arrive late.
type engine struct {
	Endpoint
	readyAt map[Item]time.Time // held items, and when their load ends
	inUse   []Item
	reports []Report // not delivered yet, the oldest first
}

// testZone is a simulated zone with engines and a planner. One order in ten is lost.
type testZone struct {
	t               *testing.T
	rng             *rand.Rand
	now             time.Time
	p               *Planner
	engines         []*engine
	models          []Model
	orderedBytes    int64 // total size of all downloads ordered
	largestDownload int64
	orderCount      int
	drains          [][]Drain // drains of the last reportLag, the oldest first: endpoint owners learn of them late
	lastCrash       time.Time // when an engine last lost all its items
}

// reportLag is how old a report is when it arrives.
const reportLag = 3 * time.Second

func newTestZone(t *testing.T, seed int64) *testZone {
	z := &testZone{t: t, rng: rand.New(rand.NewSource(seed)), now: start}
	for i := range 6 {
		z.engines = append(z.engines, &engine{
			Endpoint: Endpoint{ID: entity.EndpointID(fmt.Sprintf("e%d", i)), MemoryBytes: 40 * gigabyte},
			readyAt:  map[Item]time.Time{},
		})
	}
	for i := range 4 {
		z.models = append(z.models, Model{
			ID: entity.ModelID(fmt.Sprintf("m%d", i)), Version: "1", Bytes: int64(8+4*i) * gigabyte,
			MinCopies: 1, Adapters: []entity.AdapterID{"tone"}, AdapterBytes: gigabyte / 4,
		})
	}
	z.replacePlanner()
	return z
}

// replacePlanner starts a new planner, as a new lease holder does.
func (z *testZone) replacePlanner() {
	z.p = New(Settings{DownloadBytesPerSec: downloadRate, ScaleDownDelay: 30 * time.Second})
	z.p.SetModels(z.now, z.models)
	z.setEndpoints()
}

func (z *testZone) setEndpoints() {
	var es []Endpoint
	for _, e := range z.engines {
		es = append(es, e.Endpoint)
	}
	z.p.SetEndpoints(z.now, es)
}

func (z *testZone) step() {
	z.now = z.now.Add(tickInterval)
	for _, e := range z.engines {
		e.reports = append(e.reports, e.state(z.now))
		if len(e.reports) > int(reportLag/tickInterval) {
			e.reports = e.reports[1:]
			z.p.HandleReport(z.now, e.reports[0])
		}
	}
	z.p.Tick(z.now)
	r := z.p.Ready()
	z.drains = append(z.drains, r.Drains)
	z.drains = z.drains[max(0, len(z.drains)-int(reportLag/tickInterval)):]
	for _, o := range r.Orders {
		z.orderCount++
		z.orderedBytes += o.Bytes
		z.largestDownload = max(z.largestDownload, o.Bytes)
		if z.rng.Intn(10) > 0 {
			z.execute(o)
		}
	}
}

func (z *testZone) run(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); {
		z.step()
	}
}

func (e *engine) state(now time.Time) Report {
	r := Report{Endpoint: e.ID, InUse: slices.Clone(e.inUse)}
	for it, at := range e.readyAt {
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

func (z *testZone) execute(o Order) {
	e := z.engines[slices.IndexFunc(z.engines, func(e *engine) bool { return e.ID == o.Endpoint })]
	if o.Action == ActionLoad {
		if _, ok := e.readyAt[o.Item]; !ok {
			e.readyAt[o.Item] = z.now.Add(time.Duration(o.Bytes) * time.Second / downloadRate)
		}
		z.checkMemory(e)
		return
	}
	if slices.Contains(e.inUse, o.Item) {
		z.t.Errorf("%v: %+v is unloaded from %s while in use", z.now.Sub(start), o.Item, e.ID)
	}
	before := z.readyCopies(o.Item.Model)
	delete(e.readyAt, o.Item)
	if z.now.Sub(z.lastCrash) <= reportLag+tickInterval {
		return // no report can have shown yet that the crash removed another copy
	}
	if after := z.readyCopies(o.Item.Model); after < min(before, z.minReady(o.Item.Model)) {
		z.t.Errorf("%v: unloading left %s with only %d ready copies", z.now.Sub(start), o.Item.Model, after)
	}
}

func (z *testZone) checkMemory(e *engine) {
	var used int64
	for it := range e.readyAt {
		used += z.p.bytes(it)
	}
	if used > e.MemoryBytes {
		z.t.Errorf("%v: %s holds %d bytes, more than its memory", z.now.Sub(start), e.ID, used)
	}
}

func (z *testZone) readyCopies(id entity.ModelID) int {
	n := 0
	for _, e := range z.engines {
		if slices.ContainsFunc(e.state(z.now).Ready, func(it Item) bool { return it.Model == id && it.Adapter == "" }) {
			n++
		}
	}
	return n
}

// minReady returns the number of ready copies that a model must keep.
func (z *testZone) minReady(id entity.ModelID) int {
	for _, m := range z.models {
		if m.ID == id {
			return max(1, m.MinCopies)
		}
	}
	return 0
}

// injectChange makes a random change: to demand, a model's version, the items in
// use, the lease holder, or the items of an engine that crashes.
func (z *testZone) injectChange() {
	e := z.engines[z.rng.Intn(len(z.engines))]
	i := z.rng.Intn(len(z.models))
	switch z.rng.Intn(6) {
	case 0, 1:
		z.p.SetDemand(z.now, z.models[i].ID, 3*z.rng.Float64())
	case 2:
		z.models[i].Version += "+"
		z.p.SetModels(z.now, z.models)
	case 3: // owners send no requests to draining items
		e.inUse = nil
		ready := slices.DeleteFunc(e.state(z.now).Ready, func(it Item) bool {
			return slices.Contains(z.drains[0], Drain{Endpoint: e.ID, Item: it})
		})
		if len(ready) > 0 {
			it := ready[z.rng.Intn(len(ready))]
			e.inUse = []Item{it, {Model: it.Model, Version: it.Version}}
		}
	case 4:
		z.replacePlanner()
	case 5: // the engine crashes and loses all its items
		clear(e.readyAt)
		e.inUse = nil
		z.lastCrash = z.now
	}
}

// While demand, versions, lease holders and engines change at random and orders
// get lost, no item in use and no last ready copy is unloaded and no engine's
// memory is exceeded. Once the changes end, the plan reaches the demand and
// issues no further orders.
func TestGuaranteesHoldUnderRandomChanges(t *testing.T) {
	for seed := range int64(100) {
		z := newTestZone(t, seed)
		for range 20 {
			z.run(time.Duration(1+z.rng.Intn(60)) * time.Second)
			z.injectChange()
		}
		z.settle()
		for _, m := range z.models {
			if n := z.readyCopies(m.ID); n != 2 {
				t.Errorf("seed %d: %s has %d ready copies, want 2", seed, m.ID, n)
			}
		}
		orders := z.orderCount
		z.run(2 * time.Minute)
		if z.orderCount != orders {
			t.Errorf("seed %d: %d orders while nothing changed, want none", seed, z.orderCount-orders)
		}
		if t.Failed() {
			t.FailNow()
		}
	}
}

// settle runs the zone with constant demand, for long enough that the plan reaches it.
func (z *testZone) settle() {
	for _, e := range z.engines {
		e.inUse = nil
	}
	for _, m := range z.models {
		z.p.SetDemand(z.now, m.ID, 1.5)
	}
	z.run(10 * time.Minute)
}

func TestDownloadsShareTheRate(t *testing.T) {
	z := newTestZone(t, 1)
	for _, m := range z.models {
		z.p.SetDemand(z.now, m.ID, 2)
	}
	for range 60 {
		z.step()
		allowed := downloadRate*int64(z.now.Sub(start)/time.Second) + z.largestDownload
		if z.orderedBytes > allowed {
			t.Fatalf("%v: %d bytes ordered, %d allowed", z.now.Sub(start), z.orderedBytes, allowed)
		}
	}
	if z.orderedBytes == 0 {
		t.Error("nothing was loaded")
	}
}

func TestSwingingDemandDoesNotFlap(t *testing.T) {
	z := newTestZone(t, 1)
	z.p.SetDemand(z.now, "m0", 3)
	z.run(2 * time.Minute)
	orders := z.orderCount
	for range 20 { // demand is low for less than ScaleDownDelay each time
		z.p.SetDemand(z.now, "m0", 1)
		z.run(20 * time.Second)
		z.p.SetDemand(z.now, "m0", 3)
		z.run(10 * time.Second)
	}
	if z.orderCount != orders {
		t.Errorf("%d orders, want none", z.orderCount-orders)
	}
}

func TestLeavingEndpointIsReplacedBeforeItIsUnloaded(t *testing.T) {
	z := newTestZone(t, 1)
	z.run(time.Minute)
	holds := func(e *engine) bool { _, ok := e.readyAt[Item{Model: "m3", Version: "1"}]; return ok }
	i := slices.IndexFunc(z.engines, holds)
	z.engines[i].Leaving = true
	z.setEndpoints()
	z.run(time.Minute)
	if !holds(z.engines[i]) {
		t.Error("the leaving endpoint was ordered to unload the model")
	}
	if n := z.readyCopies("m3"); n != 2 {
		t.Errorf("%d ready copies including the leaving endpoint's, want 2", n)
	}
}

// Where two versions don't fit side by side on an endpoint, unloading the old one
// first would leave no ready copy. The planner must first place a copy of the new
// version on another endpoint.
func TestNewVersionKeepsTheLastCopy(t *testing.T) {
	z := newTestZone(t, 3)
	z.engines = z.engines[:2]
	for _, e := range z.engines {
		e.MemoryBytes = 20 * gigabyte
	}
	z.models = z.models[1:2] // 12 GB
	z.replacePlanner()
	z.run(time.Minute)
	z.models[0].Version = "2"
	z.p.SetModels(z.now, z.models)
	for range 300 {
		z.step()
		if z.readyCopies("m1") == 0 {
			t.Fatalf("%v: no copy is ready, want at least 1", z.now.Sub(start))
		}
	}
	for _, e := range z.engines {
		for it := range e.readyAt {
			if it.Version != "2" {
				t.Errorf("%s still holds %+v, want version 2 only", e.ID, it)
			}
		}
	}
}
