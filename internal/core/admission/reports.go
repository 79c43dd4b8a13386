package admission

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// HandleLoadReport processes an endpoint's load report. It frees the slots of
// orphaned jobs that the endpoint no longer runs, and records whether the
// endpoint runs work that is unknown to the owner.
func (o *Owner) HandleLoadReport(now time.Time, r entity.LoadReport) {
	e := o.endpoints[r.Endpoint]
	if e == nil {
		return
	}
	e.ended = slices.DeleteFunc(e.ended, func(t time.Time) bool { return t.Before(r.At) })
	e.unknown.record(r, r.Running+r.Waiting-e.slotsUsed-len(e.ended))
	e.unknown.judge(now, e.slotsSince)
	orphans := e.orphansBefore(r.At)
	excess := e.slotsUsed - (r.Running + r.Waiting)
	for i := 0; i < len(orphans) && i < excess; i++ {
		o.freeJob(now, orphans[i], false)
	}
	o.schedule(now, o.pool(e.row.Pool))
}

// HandleCacheEvent updates the prefix index of an endpoint.
func (o *Owner) HandleCacheEvent(_ time.Time, ev entity.CacheEvent) {
	if e := o.endpoints[ev.Endpoint]; e != nil {
		e.index.Apply(ev)
	}
}

// slotsSince returns the number of jobs that have held a slot since before the given time.
func (e *endpoint) slotsSince(at time.Time) (n int) {
	for _, j := range e.jobs {
		if j.holdsSlot() && j.grantedAt.Before(at) {
			n++
		}
	}
	return n
}

// orphansBefore returns the jobs that were orphaned before the given time, in the
// order of their grants.
func (e *endpoint) orphansBefore(at time.Time) []*job {
	var orphans []*job
	for _, j := range e.jobs {
		if !j.orphanedAt.IsZero() && j.orphanedAt.Before(at) {
			orphans = append(orphans, j)
		}
	}
	return orphans
}

// removeExpiredOrphans removes orphaned jobs whose OrphanTimeout has passed.
func (o *Owner) removeExpiredOrphans(now time.Time, p *pool) {
	for _, e := range p.endpoints {
		for _, j := range e.orphansBefore(now) {
			end := j.expectEnd
			if end.Before(j.orphanedAt) {
				end = j.orphanedAt
			}
			if now.Sub(end) > o.settings.OrphanTimeout {
				o.freeJob(now, j, false)
			}
		}
	}
}
