package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// reconcile compares an endpoint's report with its assignment: what is missing
// goes to the queue of downloads, what is too much is drained and unloaded.
func (p *Planner) reconcile(e *endpoint) {
	e.pending = slices.DeleteFunc(e.pending, func(o pendingOrder) bool { return p.now.Sub(o.at) >= p.set.OrderRetry })
	surplus := p.surplus(e)
	e.drain(p.now, surplus)
	for _, it := range surplus {
		if e.ready(it) {
			p.out.Drains = append(p.out.Drains, Drain{Endpoint: e.ID, Item: it})
		}
		if !e.ordered(it) && p.mayUnload(e, it) {
			p.order(e, ActionUnload, it, 0)
		}
	}
	for _, it := range p.missing(e) {
		if !e.ordered(it) {
			p.downloads.want(e.ID, it, p.bytes(it), p.urgency(it.Model))
		}
	}
}

// drain notes since when each of the items is to go, and forgets the others.
func (e *endpoint) drain(now time.Time, items []Item) {
	e.draining = slices.DeleteFunc(e.draining, func(d draining) bool { return !slices.Contains(items, d.item) })
	for _, it := range items {
		if _, ok := e.drainingSince(it); !ok {
			e.draining = append(e.draining, draining{item: it, since: now})
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

// drained says whether an item is without work by a report that is newer than
// its last work can be, and than any order of an earlier holder.
func (p *Planner) drained(e *endpoint, it Item) bool {
	since, ok := e.drainingSince(it)
	return ok && !slices.Contains(e.report.InUse, it) && p.now.Sub(since) >= p.set.OrderRetry
}

// desired lists what an endpoint should hold, models before their adapters.
func (p *Planner) desired(e *endpoint) []Item {
	var items []Item
	for _, a := range e.assigned {
		items = append(items, Item{Model: a.model, Version: a.version})
		for _, ad := range p.model(a.model).Adapters {
			items = append(items, Item{Model: a.model, Version: a.version, Adapter: ad})
		}
	}
	return items
}

// missing lists what should be loaded now: an adapter only once its model is
// ready, and nothing that doesn't fit beside what is there.
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

// surplus lists what an endpoint holds beyond its assignment.
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

// usedBytes is the memory of all that an endpoint holds or was told to load.
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
		return p.model(it.Model).AdapterBytes
	}
	return p.model(it.Model).Bytes
}

// mayUnload says whether an item may go: never while it has requests. The last
// copies may go only if their new version is ready beside them.
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
	return p.readyElsewhere(e, it.Model) >= p.mustStay(it.Model)
}

// readyElsewhere counts the copies that are ready on other endpoints, stay
// there, and were not told to go.
func (p *Planner) readyElsewhere(not *endpoint, id entity.ModelID) int {
	n := 0
	for _, e := range p.endpoints {
		if e != not && !e.Leaving && p.fresh(e) && e.hasReady(id) {
			n++
		}
	}
	return n
}

// hasReady says whether a version of the model is ready and not told to go.
func (e *endpoint) hasReady(id entity.ModelID) bool {
	for _, it := range e.report.Ready {
		if it.Model == id && it.Adapter == "" && !e.ordered(it) {
			return true
		}
	}
	return false
}

// mustStay is how many ready copies a model must keep.
func (p *Planner) mustStay(id entity.ModelID) int {
	m := p.model(id)
	least := 0
	if m.demand > 0 || p.inUse(id) {
		least = 1
	}
	return max(least, m.MinCopies)
}

func (p *Planner) inUse(id entity.ModelID) bool {
	return slices.ContainsFunc(p.endpoints, func(e *endpoint) bool { return e.uses(id) })
}

// urgency orders downloads: what has too few copies for its configuration
// first, then what is shortest of its demand.
func (p *Planner) urgency(id entity.ModelID) float64 {
	m := p.model(id)
	ready := 0
	for _, e := range p.endpoints {
		if e.hasReady(id) {
			ready++
		}
	}
	short := float64(m.wanted()-ready) / float64(max(1, m.wanted()))
	if ready < m.MinCopies {
		short++
	}
	return short
}

func (p *Planner) order(e *endpoint, a Action, it Item, bytes int64) {
	e.pending = append(e.pending, pendingOrder{action: a, item: it, at: p.now})
	p.out.Orders = append(p.out.Orders, Order{Endpoint: e.ID, Action: a, Item: it, Bytes: bytes, TTL: p.set.OrderTTL})
}

// ordered says whether an order for the item waits to show in a report.
func (e *endpoint) ordered(it Item) bool {
	return slices.ContainsFunc(e.pending, func(o pendingOrder) bool { return o.item == it })
}

// startDownloads gives the load orders that the weight store's rate allows.
func (p *Planner) startDownloads() {
	for _, d := range p.downloads.start(p.now) {
		if e := p.endpoint(d.endpoint); e != nil {
			p.order(e, ActionLoad, d.item, d.bytes)
		}
	}
}

// byUrgency compares queued downloads: the most urgent first, then by name.
func byUrgency(a, b download) int {
	return cmp.Or(
		cmp.Compare(b.urgency, a.urgency),
		cmp.Compare(a.endpoint, b.endpoint),
		cmp.Compare(a.item.Model, b.item.Model),
		cmp.Compare(a.item.Version, b.item.Version),
		cmp.Compare(a.item.Adapter, b.item.Adapter),
	)
}
