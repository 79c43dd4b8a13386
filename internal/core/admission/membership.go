package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// SetEndpoints replaces the endpoints that this instance owns. For RestrictedFor
// a gained endpoint is granted to the highest tier only, since a previous owner
// may still give guarantees for it. Jobs on a lost endpoint are removed: the
// entries report them to the new owner. Queued jobs stay, unless no remaining
// endpoint could serve them.
func (o *Owner) SetEndpoints(now time.Time, rows []entity.Endpoint) {
	owned := make(map[entity.EndpointID]bool, len(rows))
	for i := range rows {
		owned[rows[i].ID] = true
		o.setEndpoint(now, &rows[i])
	}
	for _, p := range o.pools {
		for _, e := range slices.Clone(p.endpoints) {
			if !owned[e.row.ID] {
				o.removeEndpoint(now, p, e)
			}
		}
		p.sort()
		o.refuseUnservable(now, p)
		o.schedule(now, p)
	}
}

func (o *Owner) setEndpoint(now time.Time, row *entity.Endpoint) {
	e := o.endpoints[row.ID]
	if e != nil && e.row.Pool == row.Pool {
		if !slices.Equal(e.row.Models, row.Models) || !slices.Equal(e.row.Adapters, row.Adapters) {
			o.markGained(now, e)
		}
		e.row = *row
		return
	}
	if e != nil {
		o.removeEndpoint(now, o.pool(e.row.Pool), e)
	}
	e = o.newEndpoint(now, row)
	o.endpoints[row.ID] = e
	p := o.pool(row.Pool)
	p.endpoints = append(p.endpoints, e)
}

// markGained treats e as just gained: it is restricted to the highest tier for
// RestrictedFor, and settled only after SettleFor.
func (o *Owner) markGained(now time.Time, e *endpoint) {
	restricted, settle := o.settings.RestrictedFor, o.settings.SettleFor
	if o.settings.Zone != "" && e.row.Zone != o.settings.Zone {
		restricted, settle = o.settings.RemoteRestrictedFor, o.settings.RemoteSettleFor
	}
	e.restrictedUntil, e.settledAt = now.Add(restricted), now.Add(settle)
}

// PreviousOwnerLeaving records that the previous owner of a gained endpoint is
// leaving, and therefore gives no further guarantees for it.
func (o *Owner) PreviousOwnerLeaving(now time.Time, id entity.EndpointID) {
	if e := o.endpoints[id]; e != nil {
		e.restrictedUntil = now.Add(o.settings.FloorFor)
	}
}

// detectFreeze treats all endpoints as newly gained if the process was frozen since the
// last step, because other instances may have owned them meanwhile. For RestrictedFor
// they are granted no work at all, so that the owner has time to be notified which of
// them are leaving.
func (o *Owner) detectFreeze(now time.Time) {
	if gap := now.Sub(o.lastStep); !o.lastStep.IsZero() && gap > o.settings.MaxTickGap {
		for _, p := range o.pools {
			for _, e := range p.endpoints {
				o.markGained(now, e)
				e.suspendedUntil = now.Add(max(o.settings.RestrictedFor, e.suspendedUntil.Sub(now)))
			}
		}
	}
	o.lastStep = now
}

func (o *Owner) removeEndpoint(now time.Time, p *pool, e *endpoint) {
	e.lost = true
	p.endpoints = slices.DeleteFunc(p.endpoints, func(f *endpoint) bool { return f == e })
	delete(o.endpoints, e.row.ID)
	o.speeds.Remove(e.row.ID)
	for _, j := range slices.Clone(e.jobs) {
		if j.state == stateQueued {
			o.refuse(now, p, j)
		}
		o.freeJob(now, j, false)
	}
}

// refuseUnservable refuses queued jobs that no owned endpoint could serve any more.
func (o *Owner) refuseUnservable(now time.Time, p *pool) {
	var unservable []*job
	for t := range p.queue.tiers {
		p.queue.each(t, func(j *job) bool {
			if _, _, ok := o.bestRunTime(p, j); !ok {
				unservable = append(unservable, j)
			}
			return true
		})
	}
	for _, j := range unservable {
		o.refuse(now, p, j)
	}
}

// EntryLost removes the queued and paused jobs of an entry instance that was
// lost. Its granted slots stay occupied until a load report of the endpoint
// shows that they are free, or until OrphanTimeout.
func (o *Owner) EntryLost(now time.Time, id entity.InstanceID) {
	var lost []*job
	for _, j := range o.jobs {
		if j.from == id && j.orphanedAt.IsZero() {
			lost = append(lost, j)
		}
	}
	slices.SortFunc(lost, func(a, b *job) int { return strings.Compare(string(a.work.ID), string(b.work.ID)) })
	for _, j := range lost {
		if j.state == stateRunning || j.state == statePreempting {
			o.markOrphan(now, j)
			continue
		}
		o.Cancel(now, j.work.ID)
	}
}

// markOrphan marks j as a job whose slot no entry will release. The slot stays
// occupied until a load report of the endpoint shows that it is free, or until
// OrphanTimeout.
func (o *Owner) markOrphan(now time.Time, j *job) {
	if j.orphanedAt.IsZero() {
		j.orphanedAt = now
	}
}

// HandleHeldSlots records work that entries already run on endpoints that this
// instance has gained.
func (o *Owner) HandleHeldSlots(now time.Time, held []entity.HeldSlot) {
	for i := range held {
		o.addHeldSlot(now, &held[i])
	}
}

func (o *Owner) addHeldSlot(now time.Time, h *entity.HeldSlot) {
	e := o.endpoints[h.Endpoint]
	if e == nil {
		return
	}
	if known := o.jobs[h.Work.ID]; known != nil {
		known.orphanedAt = time.Time{} // its entry is not lost after all
		if h.Seq <= known.seq || known.endpoint == nil {
			return
		}
		o.freeJob(now, known, false)
	}
	j := o.newJob(&entity.Reservation{Work: h.Work, From: h.From, Seq: h.Seq})
	o.jobs[j.work.ID] = j
	e.assign(j)
	e.index.Insert(j.work.Prefix)
	if h.Paused {
		e.pause(j)
	}
}
