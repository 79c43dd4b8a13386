package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// reconcile compares an endpoint's report with its assignment: missing items are
// queued for download, surplus items are drained and then unloaded.
func (p *Planner) reconcile(e *endpoint) {
	e.pending = slices.DeleteFunc(e.pending, func(o pendingOrder) bool { return p.now.Sub(o.sentAt) >= p.settings.OrderRetry })
	surplus := p.surplus(e)
	e.setDraining(p.now, surplus)
	for _, it := range surplus {
		if e.ready(it) {
			p.ready.Drains = append(p.ready.Drains, Drain{Endpoint: e.ID, Item: it})
		}
		if !e.hasPending(it) && p.mayUnload(e, it) {
			p.order(e, ActionUnload, it, 0)
		}
	}
	for _, it := range p.missing(e) {
		if !e.hasPending(it) {
			p.downloads.enqueue(e.ID, it, p.bytes(it), p.urgency(it.Model))
		}
	}
}

// setDraining replaces the set of draining items. An item that was draining
// already keeps its start time.
func (e *endpoint) setDraining(now time.Time, items []Item) {
	e.draining = slices.DeleteFunc(e.draining, func(d drainingItem) bool { return !slices.Contains(items, d.item) })
	for _, it := range items {
		if _, ok := e.drainingSince(it); !ok {
			e.draining = append(e.draining, drainingItem{item: it, since: now})
		}
	}
}

func (e *endpoint) drainingSince(it Item) (time.Time, bool) {
	for _, d := range e.draining {
		if d.item == it {
			return d.since, true
		}
	}
	return time.Time{}, false
}

// drained reports whether no request can use the item any more: it has been
// draining for OrderRetry, so that a report without requests is newer than the
// last request that can have been sent to it. It is also newer than any order of
// an earlier lease holder.
func (p *Planner) drained(e *endpoint, it Item) bool {
	since, ok := e.drainingSince(it)
	return ok && !slices.Contains(e.report.InUse, it) && p.now.Sub(since) >= p.settings.OrderRetry
}

// desired lists the items that an endpoint should hold, each model before its adapters.
func (p *Planner) desired(e *endpoint) []Item {
	var items []Item
	for _, a := range e.assigned {
		items = append(items, Item{Model: a.model, Version: a.version})
		for _, ad := range p.ensureModel(a.model).Adapters {
			items = append(items, Item{Model: a.model, Version: a.version, Adapter: ad})
		}
	}
	return items
}

// missing lists the items that should be loaded now. An adapter is loaded only
// once its model is ready. The list ends before the first item that doesn't fit into
// the memory left by the items held, the pending load orders and the items before it.
func (p *Planner) missing(e *endpoint) []Item {
	used := p.usedBytes(e)
	var items []Item
	for _, it := range p.desired(e) {
		if e.holds(it) || (it.Adapter != "" && !e.ready(Item{Model: it.Model, Version: it.Version})) {
			continue
		}
		if used += p.bytes(it); used <= e.MemoryBytes {
			items = append(items, it)
		}
	}
	return items
}

// surplus lists the items that an endpoint holds and is not assigned.
func (p *Planner) surplus(e *endpoint) []Item {
	desired := p.desired(e)
	var items []Item
	for _, it := range slices.Concat(e.report.Ready, e.report.Loading) {
		if !slices.Contains(desired, it) {
			items = append(items, it)
		}
	}
	return items
}

// usedBytes returns the memory of all items that an endpoint holds or has a
// pending order to load.
func (p *Planner) usedBytes(e *endpoint) int64 {
	var sum int64
	for _, it := range slices.Concat(e.report.Ready, e.report.Loading) {
		sum += p.bytes(it)
	}
	for _, o := range e.pending {
		if o.action == ActionLoad {
			sum += p.bytes(o.item)
		}
	}
	return sum
}

func (p *Planner) bytes(it Item) int64 {
	if it.Adapter != "" {
		return p.ensureModel(it.Model).AdapterBytes
	}
	return p.ensureModel(it.Model).Bytes
}

// mayUnload reports whether an item may be unloaded: never while it has requests.
// A ready copy may be unloaded only if the assigned version is ready on the same
// endpoint, or if enough ready copies remain on others.
func (p *Planner) mayUnload(e *endpoint, it Item) bool {
	if !p.drained(e, it) {
		return false
	}
	if it.Adapter != "" || !e.ready(it) {
		return true // an adapter, or a model that is still loading
	}
	if a := e.assignment(it.Model); a != nil && e.ready(Item{Model: it.Model, Version: a.version}) {
		return true
	}
	return p.readyOnOthers(e, it.Model) >= p.minReadyCopies(it.Model)
}

// readyOnOthers counts the endpoints other than the excluded one that have the
// model ready, are not leaving, have a fresh report and have no pending order
// to unload it.
func (p *Planner) readyOnOthers(excluded *endpoint, id entity.ModelID) int {
	n := 0
	for _, e := range p.endpoints {
		if e != excluded && !e.Leaving && p.hasFreshReport(e) && e.hasReady(id) {
			n++
		}
	}
	return n
}

// hasReady reports whether a version of the model is ready and has no pending order.
func (e *endpoint) hasReady(id entity.ModelID) bool {
	for _, it := range e.report.Ready {
		if it.Model == id && it.Adapter == "" && !e.hasPending(it) {
			return true
		}
	}
	return false
}

// minReadyCopies returns the number of ready copies that a model must keep: its
// MinCopies, and at least one while it is in use or has demand.
func (p *Planner) minReadyCopies(id entity.ModelID) int {
	m := p.ensureModel(id)
	required := 0
	if m.demand > 0 || p.inUse(id) {
		required = 1
	}
	return max(required, m.MinCopies)
}

func (p *Planner) inUse(id entity.ModelID) bool {
	return slices.ContainsFunc(p.endpoints, func(e *endpoint) bool { return e.hasRequests(id) })
}

// urgency returns the priority of a model's downloads, higher is sooner: models
// with fewer ready copies than MinCopies come first, then those that lack the
// largest fraction of the copies they need.
func (p *Planner) urgency(id entity.ModelID) float64 {
	m := p.ensureModel(id)
	ready := 0
	for _, e := range p.endpoints {
		if e.hasReady(id) {
			ready++
		}
	}
	shortfall := float64(m.wantedCopies()-ready) / float64(max(1, m.wantedCopies()))
	if ready < m.MinCopies {
		shortfall++
	}
	return shortfall
}

func (p *Planner) order(e *endpoint, a Action, it Item, bytes int64) {
	e.pending = append(e.pending, pendingOrder{action: a, item: it, sentAt: p.now})
	p.ready.Orders = append(p.ready.Orders, Order{Endpoint: e.ID, Action: a, Item: it, Bytes: bytes, TTL: p.settings.OrderTTL})
}

// hasPending reports whether the endpoint has a pending order for the item.
func (e *endpoint) hasPending(it Item) bool {
	return slices.ContainsFunc(e.pending, func(o pendingOrder) bool { return o.item == it })
}

// startDownloads issues the load orders that the weight store's rate allows now.
func (p *Planner) startDownloads() {
	for _, d := range p.downloads.start(p.now) {
		if e := p.endpoint(d.endpoint); e != nil {
			p.order(e, ActionLoad, d.item, d.bytes)
		}
	}
}

// byUrgency compares queued downloads: the most urgent first, then by endpoint and item.
func byUrgency(a, b download) int {
	return cmp.Or(
		cmp.Compare(b.urgency, a.urgency),
		cmp.Compare(a.endpoint, b.endpoint),
		cmp.Compare(a.item.Model, b.item.Model),
		cmp.Compare(a.item.Version, b.item.Version),
		cmp.Compare(a.item.Adapter, b.item.Adapter),
	)
}
