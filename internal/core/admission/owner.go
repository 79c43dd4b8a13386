package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/prefix"
	"github.com/medlarhold/medlarhold/internal/core/speed"
)

// Owner decides which requests may be dispatched to the endpoints that this instance
// owns.
type Owner struct {
	settings  Settings
	pools     []*pool // sorted by id
	endpoints map[entity.EndpointID]*endpoint
	jobs      map[entity.RequestID]*job
	speeds    *speed.Estimator
	arrivals  uint64
	lastStep  time.Time // time of the latest step
	ready     Ready
}

// New returns an Owner without endpoints.
func New(s Settings) *Owner {
	return &Owner{
		settings:  s,
		endpoints: make(map[entity.EndpointID]*endpoint),
		jobs:      make(map[entity.RequestID]*job),
		speeds:    speed.New(),
	}
}

// Ready returns the messages to send that were decided since the last call.
func (o *Owner) Ready() Ready {
	r := o.ready
	o.ready = Ready{}
	return r
}

// HandleReservation processes an entry's reservation.
func (o *Owner) HandleReservation(now time.Time, r entity.Reservation) {
	o.detectFreeze(now)
	if old := o.jobs[r.Work.ID]; old != nil && !o.supersedes(now, old, &r) {
		return
	}
	p := o.pool(r.Work.Pool)
	j := o.newJob(&r)
	run, prefill, ok := o.bestRunTime(p, j)
	if !ok {
		o.refuse(now, p, j)
		return
	}
	j.run, j.runPrefill = run, prefill
	o.setCacheWait(now, p, j)
	o.enqueue(p, j)
	if j.missesDeadline(now, run) {
		o.shedInfeasible(now, p, j)
		return
	}
	o.schedule(now, p)
	if j.state == stateQueued && o.jobs[j.work.ID] == j {
		o.decideNew(now, p, j)
	}
}

// decideNew decides on a new job that could not be granted a slot immediately: it
// preempts lower tiers for the job, refuses the job, or leaves it queued.
func (o *Owner) decideNew(now time.Time, p *pool, j *job) {
	if o.preemptFor(now, p, j); j.pendingPreemptions > 0 || j.class.resume != "" {
		return
	}
	if j.noWait {
		if !now.Before(j.cacheWaitUntil) {
			o.refuse(now, p, j)
		}
		return
	}
	if !o.shedIfTooLate(now, p, j) {
		o.shedOverflow(now, p)
	}
}

// supersedes handles a reservation for a request that has a job already. It
// reports whether the reservation is to be processed as a new one.
func (o *Owner) supersedes(now time.Time, old *job, r *entity.Reservation) bool {
	switch {
	case r.Seq < old.seq:
		return false // a later reservation was received before
	case r.Seq > old.seq:
		o.endSuperseded(now, old, r)
		return true
	case old.state == stateRunning || old.state == statePreempting:
		o.grantAgain(old)
		return false
	case old.state == statePaused:
		return r.Resume == old.endpoint.row.ID
	}
	return false
}

// endSuperseded ends a job whose entry has sent a later reservation. The message
// that ended the job at its entry has not been received yet.
func (o *Owner) endSuperseded(now time.Time, old *job, r *entity.Reservation) {
	switch {
	case old.state == stateQueued:
		o.pool(old.work.Pool).queue.remove(old)
		if old.endpoint == nil {
			delete(o.jobs, old.work.ID)
		}
	case old.holdsSlot():
		o.freeJob(now, old, r.Resume == old.endpoint.row.ID)
	}
}

// grantAgain repeats a grant that its entry may not have received.
func (o *Owner) grantAgain(j *job) {
	g := entity.Grant{ID: j.work.ID, Seq: j.seq, Endpoint: j.endpoint.row.ID}
	o.ready.Grants = append(o.ready.Grants, GrantTo{To: j.from, Grant: g})
}

// HandleRelease processes the release of a granted slot.
func (o *Owner) HandleRelease(now time.Time, r entity.Release) {
	j := o.jobs[r.ID]
	if j != nil && r.Seq < j.seq {
		return // a later reservation was received before
	}
	if j == nil || j.endpoint == nil {
		o.Cancel(now, r.ID)
		return
	}
	e := j.endpoint
	if r.MayBeRunning && j.holdsSlot() {
		o.markOrphan(now, j)
		e.recordResult(now, r.Failed)
		return
	}
	if !r.Paused && !r.Unused {
		o.speeds.Observe(&e.row, r)
		e.recordResult(now, r.Failed)
	}
	e.ended = append(e.ended, now)
	o.freeJob(now, j, r.Paused)
	o.schedule(now, o.pool(e.row.Pool))
}

// HandleWithdraw processes a withdrawal of the request's reservations up to Seq.
func (o *Owner) HandleWithdraw(now time.Time, id entity.RequestID, seq uint32) {
	if j := o.jobs[id]; j != nil && j.seq <= seq {
		o.Cancel(now, id)
	}
}

// Cancel removes a request that its entry has abandoned, whether queued, granted or
// paused.
func (o *Owner) Cancel(now time.Time, id entity.RequestID) {
	j := o.jobs[id]
	if j == nil {
		return
	}
	p := o.pool(j.work.Pool)
	if j.state == stateQueued {
		p.queue.remove(j)
	}
	if j.endpoint != nil {
		o.freeJob(now, j, false)
	}
	delete(o.jobs, id)
	o.schedule(now, p)
}

// Tick advances time to now: it removes orphaned jobs whose time-out has passed,
// refuses jobs that would miss their deadline, grants free slots, preempts work of
// lower tiers for queued jobs, and sheds the excess of a full queue.
func (o *Owner) Tick(now time.Time) {
	o.detectFreeze(now)
	for _, p := range o.pools {
		o.removeExpiredOrphans(now, p)
		o.shedExpiring(now, p)
		o.schedule(now, p)
		o.decideQueued(now, p)
		o.shedOverflow(now, p)
	}
}

// schedule grants free slots to queued jobs, if there are any.
func (o *Owner) schedule(now time.Time, p *pool) {
	if p.queue.count > 0 {
		o.grantAll(now, p)
	}
}

// decideQueued preempts work for queued jobs of higher tiers, and refuses jobs
// with noWait for which nothing is being preempted.
func (o *Owner) decideQueued(now time.Time, p *pool) {
	lowest := -1
	for _, e := range p.endpoints {
		lowest = max(lowest, e.lowestTier())
	}
	var refused []*job
	for t := range p.queue.tiers {
		var noVictim []workClass // classes whose first job found no job to preempt
		p.queue.each(t, func(j *job) bool {
			if t < lowest && j.pendingPreemptions == 0 && !slices.Contains(noVictim, j.class) {
				if o.preemptFor(now, p, j); j.pendingPreemptions == 0 {
					noVictim = append(noVictim, j.class)
				}
			}
			if j.noWait && j.pendingPreemptions == 0 && !now.Before(j.cacheWaitUntil) {
				refused = append(refused, j)
			}
			return true
		})
	}
	for _, j := range refused {
		o.refuse(now, p, j)
	}
}

func (o *Owner) newJob(r *entity.Reservation) *job {
	o.arrivals++
	return &job{
		work:    r.Work,
		from:    r.From,
		class:   workClass{model: r.Work.Model, adapter: r.Work.Adapter, resume: r.Resume},
		tier:    min(max(int(r.Work.Tier), 0), o.settings.Tiers-1),
		arrival: o.arrivals,
		seq:     r.Seq,
		noWait:  r.NoWait,
	}
}

// enqueue adds j to the queue. A job that resumes a paused one replaces it at
// its endpoint.
func (o *Owner) enqueue(p *pool, j *job) {
	if old := o.jobs[j.work.ID]; old != nil && old.endpoint != nil {
		e := old.endpoint
		e.jobs[slices.Index(e.jobs, old)] = j
		j.endpoint = e
		j.prefill = old.prefill
	}
	o.jobs[j.work.ID] = j
	p.queue.add(j)
}

// removeRefused removes a refused job. A job with a paused stream returns to the
// paused state and holds its memory until the entry releases it.
func (o *Owner) removeRefused(j *job) {
	if j.endpoint != nil {
		j.state = statePaused
		return
	}
	delete(o.jobs, j.work.ID)
}

// freeJob frees j's slot, and removes j with its memory unless it is paused.
func (o *Owner) freeJob(now time.Time, j *job, paused bool) {
	j.endpoint.endPrefill(now, j)
	if v := j.preemptedFor; v != nil {
		v.pendingPreemptions--
		j.preemptedFor = nil
	}
	if paused {
		j.endpoint.pause(j)
		return
	}
	if j.state == stateQueued {
		o.pool(j.work.Pool).queue.remove(j)
	}
	j.endpoint.remove(j)
	delete(o.jobs, j.work.ID)
}

func (o *Owner) pool(id entity.PoolID) *pool {
	i, ok := slices.BinarySearchFunc(o.pools, id, func(p *pool, id entity.PoolID) int {
		return strings.Compare(string(p.id), string(id))
	})
	if !ok {
		o.pools = slices.Insert(o.pools, i, &pool{id: id, queue: newQueue(o.settings.Tiers)})
	}
	return o.pools[i]
}

func (o *Owner) newEndpoint(now time.Time, row *entity.Endpoint) *endpoint {
	e := &endpoint{
		row:     *row,
		running: make([]int, o.settings.Tiers),
		floors:  make(floors, o.settings.Tiers),
		index:   prefix.NewIndex(o.settings.NewEvictor(o.settings.PrefixBlocks)),
	}
	o.markGained(now, e)
	return e
}
