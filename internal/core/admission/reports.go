package admission

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// HandleLoadReport takes in what an endpoint said of its load. It settles which slots of
// gone entry instances are still taken, and whether anything runs there that
// is not known here.
func (o *Owner) HandleLoadReport(now time.Time, r entity.LoadReport) {
	e := o.endpoints[r.Endpoint]
	if e == nil {
		return
	}
	e.ended = slices.DeleteFunc(e.ended, func(t time.Time) bool { return t.Before(r.At) })
	e.unknown = r.Running+r.Waiting > e.slots+len(e.ended)
	orphans := e.orphansBefore(r.At)
	excess := e.slots - (r.Running + r.Waiting)
	for i := 0; i < len(orphans) && i < excess; i++ {
		o.leave(now, orphans[i], false)
	}
	o.schedule(now, o.pool(e.row.Pool))
}

// HandleCacheEvent corrects the prefix index of an endpoint.
func (o *Owner) HandleCacheEvent(_ time.Time, ev entity.CacheEvent) {
	if e := o.endpoints[ev.Endpoint]; e != nil {
		e.index.Apply(ev)
	}
}

// orphansBefore returns the jobs whose entry was gone at the given time, in
// the order of their grants.
func (e *endpoint) orphansBefore(at time.Time) []*job {
	var orphans []*job
	for _, j := range e.jobs {
		if !j.orphanedAt.IsZero() && j.orphanedAt.Before(at) {
			orphans = append(orphans, j)
		}
	}
	return orphans
}

func (o *Owner) dropOverdueOrphans(now time.Time, p *pool) {
	for _, e := range p.endpoints {
		for _, j := range e.orphansBefore(now) {
			end := j.expectEnd
			if end.Before(j.orphanedAt) {
				end = j.orphanedAt
			}
			if now.Sub(end) > o.settings.OrphanTimeout {
				o.leave(now, j, false)
			}
		}
	}
}
