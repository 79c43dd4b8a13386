package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Planner places models on the endpoints of one zone.
type Planner struct {
	set       Settings
	now       time.Time
	models    []*model    // by ID
	endpoints []*endpoint // by ID
	downloads downloads
	out       Ready
}

// model is a row of the model table. A model that configuration no longer
// names is kept, with no copies wanted, while endpoints hold it.
type model struct {
	Model
	demand   float64   // in copies
	lowSince time.Time // since when fewer copies are wanted than assigned; zero if not
}

// endpoint is a row of the endpoint table.
type endpoint struct {
	Endpoint
	report   Report
	reported time.Time
	assigned []assignment
	pending  []pendingOrder
	draining []draining
}

// draining is an item that is to go: for a while its last work may still be
// on the way to it.
type draining struct {
	item  Item
	since time.Time
}

// assignment is a model that an endpoint should hold.
type assignment struct {
	model   entity.ModelID
	version string
}

// pendingOrder is an order that no report shows yet.
type pendingOrder struct {
	action Action
	item   Item
	at     time.Time
}

// New returns a planner that knows of nothing.
func New(set Settings) *Planner {
	set = set.withDefaults()
	return &Planner{set: set, downloads: downloads{bytesPerSec: set.DownloadBytesPerSec}}
}

// SetModels replaces the models that are to be placed.
func (p *Planner) SetModels(now time.Time, models []Model) {
	p.now = now
	for _, m := range p.models {
		m.Model = Model{ID: m.ID, Version: m.Version, Bytes: m.Bytes, AdapterBytes: m.AdapterBytes}
		m.demand = 0
	}
	for _, m := range models {
		p.model(m.ID).Model = m
	}
}

// SetEndpoints replaces the endpoints that there are.
func (p *Planner) SetEndpoints(now time.Time, endpoints []Endpoint) {
	p.now = now
	kept := make([]*endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		row := p.endpoint(e.ID)
		if row == nil {
			row = &endpoint{}
		}
		row.Endpoint = e
		kept = append(kept, row)
	}
	slices.SortFunc(kept, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	p.endpoints = kept
}

// SetDemand says how many copies' worth of work a model gets.
func (p *Planner) SetDemand(now time.Time, id entity.ModelID, copies float64) {
	p.now = now
	if m := p.find(id); m != nil {
		m.demand = copies
	}
}

// HandleReport takes in what an endpoint says. The first report of an endpoint is
// adopted as its assignment.
func (p *Planner) HandleReport(now time.Time, r Report) {
	p.now = now
	e := p.endpoint(r.Endpoint)
	if e == nil {
		return
	}
	first := e.reported.IsZero()
	e.report, e.reported = r, now
	for _, it := range slices.Concat(r.Ready, r.Loading) {
		p.model(it.Model)
		if first && it.Adapter == "" && e.assignment(it.Model) == nil {
			e.assigned = append(e.assigned, assignment{model: it.Model, version: it.Version})
		}
	}
	e.pending = slices.DeleteFunc(e.pending, e.shown)
}

// shown says whether the report shows what an order asked for.
func (e *endpoint) shown(o pendingOrder) bool {
	return e.holds(o.item) == (o.action == ActionLoad)
}

// Tick revises the plan and gives the orders that are due.
func (p *Planner) Tick(now time.Time) {
	p.now = now
	p.unassignLeaving()
	for _, m := range p.models {
		p.scale(m)
		p.roll(m)
	}
	p.out.Drains = p.out.Drains[:0]
	for _, e := range p.endpoints {
		if !e.Leaving && p.fresh(e) {
			p.reconcile(e)
		}
	}
	p.startDownloads()
}

// Ready hands out the orders of the last Tick.
func (p *Planner) Ready() Ready {
	out := p.out
	p.out = Ready{}
	return out
}

// unassignLeaving empties the plan of leaving endpoints.
func (p *Planner) unassignLeaving() {
	for _, e := range p.endpoints {
		if e.Leaving {
			e.assigned = nil
		}
	}
}

// scale follows demand: copies are added at once, and taken away one at a time
// after demand has stayed low for MinDwell.
func (p *Planner) scale(m *model) {
	want, have := m.wanted(), len(p.assignedTo(m.ID))
	for have < want {
		e := p.roomiest(m)
		if e == nil {
			break
		}
		e.assigned = append(e.assigned, assignment{model: m.ID, version: m.Version})
		have++
	}
	if have <= want {
		m.lowSince = time.Time{}
		return
	}
	if m.lowSince.IsZero() {
		m.lowSince = p.now
	}
	if p.now.Sub(m.lowSince) >= p.set.ScaleDownDelay {
		p.leastUseful(m).unassign(m.ID)
		m.lowSince = p.now
	}
}

// wanted is how many copies demand and configuration ask for.
func (m *model) wanted() int { return max(m.MinCopies, int(math.Ceil(m.demand))) }

// roomiest returns the endpoint that can best take one more copy: one that
// still holds the model, else the one with the most memory to spare. It
// returns nil if none has room.
func (p *Planner) roomiest(m *model) *endpoint {
	var room []*endpoint
	for _, e := range p.endpoints {
		if !e.Leaving && e.assignment(m.ID) == nil && p.spare(e) >= m.total() {
			room = append(room, e)
		}
	}
	if len(room) == 0 {
		return nil
	}
	return slices.MinFunc(room, func(a, b *endpoint) int {
		return cmp.Or(
			cmp.Compare(rank(b.hasReady(m.ID)), rank(a.hasReady(m.ID))),
			cmp.Compare(p.spare(b), p.spare(a)),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// spare is the memory that the plan leaves free.
func (p *Planner) spare(e *endpoint) int64 {
	free := e.MemoryBytes
	for _, a := range e.assigned {
		free -= p.model(a.model).total()
	}
	return free
}

// leastUseful returns the endpoint to take a copy from: one that doesn't use
// it, with the least memory to spare.
func (p *Planner) leastUseful(m *model) *endpoint {
	return slices.MinFunc(p.assignedTo(m.ID), func(a, b *endpoint) int {
		return cmp.Or(
			cmp.Compare(rank(a.uses(m.ID)), rank(b.uses(m.ID))),
			cmp.Compare(p.spare(a), p.spare(b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// rank orders false before true.
func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// roll moves the copies of a model to a new version one at a time: the next
// one only when all the others are ready.
func (p *Planner) roll(m *model) {
	copies := p.assignedTo(m.ID)
	for _, e := range copies {
		if !p.fresh(e) || !e.ready(Item{Model: m.ID, Version: e.assignment(m.ID).version}) {
			return
		}
	}
	for _, e := range copies {
		if a := e.assignment(m.ID); a.version != m.Version {
			if !p.addSpare(m, e) {
				a.version = m.Version
			}
			return
		}
	}
}

// addSpare adds a copy elsewhere if both versions don't fit on the endpoint
// and too few ready copies would be left without it. It says whether the
// endpoint's copy must stay as it is for now.
func (p *Planner) addSpare(m *model, e *endpoint) bool {
	if p.usedBytes(e)+m.total() <= e.MemoryBytes || p.readyElsewhere(e, m.ID) >= p.mustStay(m.ID) {
		return false
	}
	if other := p.roomiest(m); other != nil {
		other.assigned = append(other.assigned, assignment{model: m.ID, version: m.Version})
	}
	return true
}

// total is the memory of a copy with its adapters.
func (m *model) total() int64 { return m.Bytes + int64(len(m.Adapters))*m.AdapterBytes }

func (p *Planner) assignedTo(id entity.ModelID) []*endpoint {
	var out []*endpoint
	for _, e := range p.endpoints {
		if e.assignment(id) != nil {
			out = append(out, e)
		}
	}
	return out
}

func (p *Planner) fresh(e *endpoint) bool {
	return !e.reported.IsZero() && p.now.Sub(e.reported) <= p.set.ReportMaxAge
}

// model returns the row of a model, a new one if need be.
func (p *Planner) model(id entity.ModelID) *model {
	i, found := slices.BinarySearchFunc(p.models, id, func(m *model, id entity.ModelID) int { return cmp.Compare(m.ID, id) })
	if !found {
		p.models = slices.Insert(p.models, i, &model{Model: Model{ID: id}})
	}
	return p.models[i]
}

func (p *Planner) find(id entity.ModelID) *model {
	i, found := slices.BinarySearchFunc(p.models, id, func(m *model, id entity.ModelID) int { return cmp.Compare(m.ID, id) })
	if !found {
		return nil
	}
	return p.models[i]
}

func (p *Planner) endpoint(id entity.EndpointID) *endpoint {
	for _, e := range p.endpoints {
		if e.ID == id {
			return e
		}
	}
	return nil
}

func (e *endpoint) assignment(id entity.ModelID) *assignment {
	for i := range e.assigned {
		if e.assigned[i].model == id {
			return &e.assigned[i]
		}
	}
	return nil
}

func (e *endpoint) unassign(id entity.ModelID) {
	e.assigned = slices.DeleteFunc(e.assigned, func(a assignment) bool { return a.model == id })
}

func (e *endpoint) ready(it Item) bool { return slices.Contains(e.report.Ready, it) }

func (e *endpoint) holds(it Item) bool {
	return e.ready(it) || slices.Contains(e.report.Loading, it)
}

// uses says whether any version of a model has requests.
func (e *endpoint) uses(id entity.ModelID) bool {
	return slices.ContainsFunc(e.report.InUse, func(it Item) bool { return it.Model == id })
}
