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
	settings  Settings
	now       time.Time
	models    []*model    // by ID
	endpoints []*endpoint // by ID
	downloads downloads
	ready     Ready
}

// model is a row of the model table. A model that is no longer configured keeps
// its row, with no copies wanted, because endpoints may still hold it.
type model struct {
	Model
	demand      float64   // in copies
	excessSince time.Time // since when more copies are assigned than wanted; zero if there are not
}

// endpoint is a row of the endpoint table.
type endpoint struct {
	Endpoint
	report     Report
	reportedAt time.Time // zero if it has not reported yet
	assigned   []assignment
	pending    []pendingOrder
	draining   []drainingItem
}

// drainingItem is an item that is to be unloaded. Requests that were sent to it
// before its drain was announced may still arrive for a while.
type drainingItem struct {
	item  Item
	since time.Time
}

// assignment is a model that an endpoint should hold.
type assignment struct {
	model   entity.ModelID
	version string
}

// pendingOrder is an order whose effect no report has shown yet.
type pendingOrder struct {
	action Action
	item   Item
	sentAt time.Time
}

// New returns a planner without models and endpoints.
func New(settings Settings) *Planner {
	settings = settings.withDefaults()
	return &Planner{settings: settings, downloads: downloads{bytesPerSec: settings.DownloadBytesPerSec}}
}

// SetModels replaces the set of models to be placed.
func (p *Planner) SetModels(now time.Time, models []Model) {
	p.now = now
	for _, m := range p.models {
		m.Model = Model{ID: m.ID, Version: m.Version, Bytes: m.Bytes, AdapterBytes: m.AdapterBytes}
		m.demand = 0
	}
	for _, m := range models {
		p.ensureModel(m.ID).Model = m
	}
}

// SetEndpoints replaces the set of endpoints. The state of those that were
// known before is kept.
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

// SetDemand sets the demand for a model, as the number of copies that its
// requests would fill. It does nothing for an unknown model.
func (p *Planner) SetDemand(now time.Time, id entity.ModelID, copies float64) {
	p.now = now
	if m := p.lookupModel(id); m != nil {
		m.demand = copies
	}
}

// HandleReport processes an endpoint's report. The first report of an endpoint
// becomes its assignment, so that a new lease holder keeps the existing copies.
// Reports of unknown endpoints are ignored.
func (p *Planner) HandleReport(now time.Time, r Report) {
	p.now = now
	e := p.endpoint(r.Endpoint)
	if e == nil {
		return
	}
	first := e.reportedAt.IsZero()
	e.report, e.reportedAt = r, now
	for _, it := range slices.Concat(r.Ready, r.Loading) {
		p.ensureModel(it.Model)
		if first && it.Adapter == "" && e.assignment(it.Model) == nil {
			e.assigned = append(e.assigned, assignment{model: it.Model, version: it.Version})
		}
	}
	e.pending = slices.DeleteFunc(e.pending, e.confirmed)
}

// confirmed reports whether the endpoint's last report shows the effect of an order.
func (e *endpoint) confirmed(o pendingOrder) bool {
	return e.holds(o.item) == (o.action == ActionLoad)
}

// Tick advances time to now: it revises the plan and issues the orders that are due.
func (p *Planner) Tick(now time.Time) {
	p.now = now
	p.unassignLeaving()
	for _, m := range p.models {
		p.scale(m)
		p.rollOut(m)
	}
	p.ready.Drains = p.ready.Drains[:0]
	for _, e := range p.endpoints {
		if !e.Leaving && p.hasFreshReport(e) {
			p.reconcile(e)
		}
	}
	p.startDownloads()
}

// Ready returns the orders and drains of the last Tick and clears them.
func (p *Planner) Ready() Ready {
	ready := p.ready
	p.ready = Ready{}
	return ready
}

// unassignLeaving removes all assignments of leaving endpoints.
func (p *Planner) unassignLeaving() {
	for _, e := range p.endpoints {
		if e.Leaving {
			e.assigned = nil
		}
	}
}

// scale adjusts the number of copies to demand: copies are added at once, and
// removed one at a time, each after demand has stayed low for ScaleDownDelay.
func (p *Planner) scale(m *model) {
	want, have := m.wantedCopies(), len(p.assignedTo(m.ID))
	for have < want {
		e := p.bestEndpoint(m)
		if e == nil {
			break
		}
		e.assigned = append(e.assigned, assignment{model: m.ID, version: m.Version})
		have++
	}
	if have <= want {
		m.excessSince = time.Time{}
		return
	}
	if m.excessSince.IsZero() {
		m.excessSince = p.now
	}
	if p.now.Sub(m.excessSince) >= p.settings.ScaleDownDelay {
		p.copyToRemove(m).unassign(m.ID)
		m.excessSince = p.now
	}
}

// wantedCopies returns the number of copies that demand and MinCopies require.
func (m *model) wantedCopies() int { return max(m.MinCopies, int(math.Ceil(m.demand))) }

// bestEndpoint returns the endpoint that one more copy should be placed on: one
// that still has the model ready, else the one with the most memory that is not
// assigned. It returns nil if the model fits on none.
func (p *Planner) bestEndpoint(m *model) *endpoint {
	var eligible []*endpoint
	for _, e := range p.endpoints {
		if !e.Leaving && e.assignment(m.ID) == nil && p.freeBytes(e) >= m.totalBytes() {
			eligible = append(eligible, e)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	return slices.MinFunc(eligible, func(a, b *endpoint) int {
		return cmp.Or(
			cmp.Compare(boolOrder(b.hasReady(m.ID)), boolOrder(a.hasReady(m.ID))),
			cmp.Compare(p.freeBytes(b), p.freeBytes(a)),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// freeBytes returns the memory of an endpoint that no assignment takes up.
func (p *Planner) freeBytes(e *endpoint) int64 {
	free := e.MemoryBytes
	for _, a := range e.assigned {
		free -= p.ensureModel(a.model).totalBytes()
	}
	return free
}

// copyToRemove returns the endpoint whose copy of a model should be removed: one
// without requests for the model if there is one, then the one with the least
// unassigned memory.
func (p *Planner) copyToRemove(m *model) *endpoint {
	return slices.MinFunc(p.assignedTo(m.ID), func(a, b *endpoint) int {
		return cmp.Or(
			cmp.Compare(boolOrder(a.hasRequests(m.ID)), boolOrder(b.hasRequests(m.ID))),
			cmp.Compare(p.freeBytes(a), p.freeBytes(b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// boolOrder maps a boolean to a sort key: false before true.
func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// rollOut moves the copies of a model to its configured version one at a time.
// The next copy is moved only when all copies are ready in their assigned version.
func (p *Planner) rollOut(m *model) {
	copies := p.assignedTo(m.ID)
	for _, e := range copies {
		if !p.hasFreshReport(e) || !e.ready(Item{Model: m.ID, Version: e.assignment(m.ID).version}) {
			return
		}
	}
	for _, e := range copies {
		if a := e.assignment(m.ID); a.version != m.Version {
			if !p.addTemporaryCopy(m, e) {
				a.version = m.Version
			}
			return
		}
	}
}

// addTemporaryCopy adds a copy on another endpoint if both versions don't fit
// side by side on this one and too few ready copies would remain during the
// change. It reports whether the endpoint must keep its old version for now.
func (p *Planner) addTemporaryCopy(m *model, e *endpoint) bool {
	if p.usedBytes(e)+m.totalBytes() <= e.MemoryBytes || p.readyOnOthers(e, m.ID) >= p.minReadyCopies(m.ID) {
		return false
	}
	if other := p.bestEndpoint(m); other != nil {
		other.assigned = append(other.assigned, assignment{model: m.ID, version: m.Version})
	}
	return true
}

// totalBytes returns the memory that a copy takes up together with its adapters.
func (m *model) totalBytes() int64 { return m.Bytes + int64(len(m.Adapters))*m.AdapterBytes }

func (p *Planner) assignedTo(id entity.ModelID) []*endpoint {
	var out []*endpoint
	for _, e := range p.endpoints {
		if e.assignment(id) != nil {
			out = append(out, e)
		}
	}
	return out
}

func (p *Planner) hasFreshReport(e *endpoint) bool {
	return !e.reportedAt.IsZero() && p.now.Sub(e.reportedAt) <= p.settings.ReportMaxAge
}

// ensureModel returns the row of a model and creates it if it does not exist.
func (p *Planner) ensureModel(id entity.ModelID) *model {
	i, found := slices.BinarySearchFunc(p.models, id, func(m *model, id entity.ModelID) int { return cmp.Compare(m.ID, id) })
	if !found {
		p.models = slices.Insert(p.models, i, &model{Model: Model{ID: id}})
	}
	return p.models[i]
}

func (p *Planner) lookupModel(id entity.ModelID) *model {
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

// hasRequests reports whether any version of a model has requests on the endpoint.
func (e *endpoint) hasRequests(id entity.ModelID) bool {
	return slices.ContainsFunc(e.report.InUse, func(it Item) bool { return it.Model == id })
}
