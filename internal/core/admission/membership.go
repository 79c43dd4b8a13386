package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// SetEndpoints replaces the endpoints that this instance owns. For QuietFor a
// gained endpoint takes only the highest tier, since promises of an earlier
// owner may still be given and hold. Running work of a lost endpoint is forgotten:
// its new owner learns of it from the entries. Queued work stays.
func (o *Owner) SetEndpoints(now time.Time, rows []entity.Endpoint) {
	owned := make(map[entity.EndpointID]bool, len(rows))
	for i := range rows {
		owned[rows[i].ID] = true
		o.setEndpoint(now, &rows[i])
	}
	for _, p := range o.pools {
		for _, e := range slices.Clone(p.endpoints) {
			if !owned[e.row.ID] {
				o.loseEndpoint(now, p, e)
			}
		}
		p.sort()
		o.refuseHomeless(now, p)
		o.schedule(now, p)
	}
}

func (o *Owner) setEndpoint(now time.Time, row *entity.Endpoint) {
	e := o.endpoints[row.ID]
	if e != nil && e.row.Pool == row.Pool {
		if !slices.Equal(e.row.Models, row.Models) || !slices.Equal(e.row.Adapters, row.Adapters) {
			o.unsettle(now, e)
		}
		e.row = *row
		return
	}
	if e != nil {
		o.loseEndpoint(now, o.pool(e.row.Pool), e)
	}
	e = o.newEndpoint(now, row)
	o.endpoints[row.ID] = e
	p := o.pool(row.Pool)
	p.endpoints = append(p.endpoints, e)
}

// unsettle has an endpoint count as one that was just gained.
func (o *Owner) unsettle(now time.Time, e *endpoint) {
	quiet, settle := o.settings.RestrictedFor, o.settings.SettleFor
	if o.settings.Zone != "" && e.row.Zone != o.settings.Zone {
		quiet, settle = o.settings.RemoteRestrictedFor, o.settings.RemoteSettleFor
	}
	e.quietUntil, e.settledAt = now.Add(quiet), now.Add(settle)
}

// PreviousOwnerLeaving tells that a gained endpoint's earlier owner is leaving, and so
// gives no promises any more.
func (o *Owner) PreviousOwnerLeaving(now time.Time, id entity.EndpointID) {
	if e := o.endpoints[id]; e != nil {
		e.quietUntil = now.Add(o.settings.FloorFor)
	}
}

// wake unsettles all endpoints after the instance was away: others may have
// owned them meanwhile. For QuietFor they get no work at all, so that there is
// time to hear which of them are leaving.
func (o *Owner) wake(now time.Time) {
	if away := now.Sub(o.awake); !o.awake.IsZero() && away > o.settings.MaxTickGap {
		for _, p := range o.pools {
			for _, e := range p.endpoints {
				o.unsettle(now, e)
				e.suspendedUntil = now.Add(max(o.settings.RestrictedFor, e.suspendedUntil.Sub(now)))
			}
		}
	}
	o.awake = now
}

func (o *Owner) loseEndpoint(now time.Time, p *pool, e *endpoint) {
	e.gone = true
	p.endpoints = slices.DeleteFunc(p.endpoints, func(f *endpoint) bool { return f == e })
	delete(o.endpoints, e.row.ID)
	o.speeds.Forget(e.row.ID)
	for _, j := range slices.Clone(e.jobs) {
		if j.state == stateQueued {
			o.refuse(now, p, j)
		}
		o.leave(now, j, false)
	}
}

// refuseHomeless refuses queued work that no endpoint here serves any more.
func (o *Owner) refuseHomeless(now time.Time, p *pool) {
	var homeless []*job
	for t := range p.queue.tiers {
		p.queue.each(t, func(j *job) bool {
			if _, _, ok := o.bestRunTime(p, j); !ok {
				homeless = append(homeless, j)
			}
			return true
		})
	}
	for _, j := range homeless {
		o.refuse(now, p, j)
	}
}

// EntryLost forgets an entry instance that is gone. Its queued work vanishes. Its
// granted slots count as running until the endpoint's load report or a timeout
// says otherwise.
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
			o.orphan(now, j)
			continue
		}
		o.Cancel(now, j.work.ID)
	}
}

// orphan has j's slot stay taken, though nobody will give it back, until the
// endpoint's load report or a timeout says that it is free.
func (o *Owner) orphan(now time.Time, j *job) {
	if j.orphanedAt.IsZero() {
		j.orphanedAt = now
	}
}

// AddHeldSlots takes in work that entries already run on endpoints that this instance
// has come to own.
func (o *Owner) AddHeldSlots(now time.Time, held []entity.HeldSlot) {
	for i := range held {
		o.hold(now, &held[i])
	}
}

func (o *Owner) hold(now time.Time, h *entity.HeldSlot) {
	e := o.endpoints[h.Endpoint]
	if e == nil {
		return
	}
	if known := o.jobs[h.Work.ID]; known != nil {
		known.orphanedAt = time.Time{} // its entry is there after all
		if h.Seq <= known.question || known.endpoint == nil {
			return
		}
		o.leave(now, known, false)
	}
	j := o.newJob(&entity.Reservation{Work: h.Work, From: h.From, Seq: h.Seq})
	o.jobs[j.work.ID] = j
	e.take(j)
	e.index.Insert(j.work.Prefix)
	if h.Paused {
		e.pause(j)
	}
}
