package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/prefix"
	"github.com/medlarhold/medlarhold/internal/core/speed"
)

// Owner decides who may dispatch to the endpoints that this instance owns.
type Owner struct {
	settings  Settings
	pools     []*pool // sorted by id
	endpoints map[entity.EndpointID]*endpoint
	jobs      map[entity.RequestID]*job
	speeds    *speed.Estimator
	seq       uint64
	awake     time.Time // the latest step
	ready     Ready
}

// New returns an Owner of no endpoints.
func New(s Settings) *Owner {
	return &Owner{
		settings:  s,
		endpoints: make(map[entity.EndpointID]*endpoint),
		jobs:      make(map[entity.RequestID]*job),
		speeds:    speed.New(),
	}
}

// Ready returns what has been decided since the last call.
func (o *Owner) Ready() Ready {
	r := o.ready
	o.ready = Ready{}
	return r
}

// Reserve takes in an entry's question for a slot.
func (o *Owner) Reserve(now time.Time, r entity.Reservation) {
	o.wake(now)
	if old := o.jobs[r.Work.ID]; old != nil && !o.replaces(now, old, &r) {
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
	o.setPatience(now, p, j)
	o.enqueue(p, j)
	if j.late(now, run) {
		o.shedInfeasible(now, p, j)
		return
	}
	o.schedule(now, p)
	if j.state == stateQueued && o.jobs[j.work.ID] == j {
		o.settle(now, p, j)
	}
}

// settle decides on a job that got no slot at once.
func (o *Owner) settle(now time.Time, p *pool, j *job) {
	if o.preemptFor(now, p, j); j.awaited > 0 || j.class.resume != "" {
		return
	}
	if j.noWait {
		if !now.Before(j.stayUntil) {
			o.refuse(now, p, j)
		}
		return
	}
	if !o.shedDoomed(now, p, j) {
		o.shedOverflow(now, p)
	}
}

// replaces deals with a reservation for a job that is known already. It
// returns true if the reservation is to be taken in anew.
func (o *Owner) replaces(now time.Time, old *job, r *entity.Reservation) bool {
	switch {
	case r.Seq < old.question:
		return false // overtaken by a later question
	case r.Seq > old.question:
		o.overtaken(now, old, r)
		return true
	case old.state == stateRunning || old.state == statePreempting:
		o.grantAgain(old)
		return false
	case old.state == statePaused:
		return r.Resume == old.endpoint.row.ID
	}
	return false
}

// overtaken ends a job whose entry asks anew: what ended it is still on its way.
func (o *Owner) overtaken(now time.Time, old *job, r *entity.Reservation) {
	switch {
	case old.state == stateQueued:
		o.pool(old.work.Pool).queue.remove(old)
		if old.endpoint == nil {
			delete(o.jobs, old.work.ID)
		}
	case old.holdsSlot():
		o.leave(now, old, r.Resume == old.endpoint.row.ID)
	}
}

// grantAgain repeats a grant whose entry may not have it.
func (o *Owner) grantAgain(j *job) {
	g := entity.Grant{ID: j.work.ID, Seq: j.question, Endpoint: j.endpoint.row.ID}
	o.ready.Grants = append(o.ready.Grants, GrantTo{To: j.from, Grant: g})
}

// Release takes a slot back.
func (o *Owner) Release(now time.Time, r entity.Release) {
	j := o.jobs[r.ID]
	if j != nil && r.Seq < j.question {
		return // overtaken by a later question
	}
	if j == nil || j.endpoint == nil {
		o.Cancel(now, r.ID)
		return
	}
	e := j.endpoint
	if r.MayBeRunning && j.holdsSlot() {
		o.orphan(now, j)
		e.result(now, r.Failed)
		return
	}
	if !r.Paused && !r.Unused {
		o.speeds.Observe(&e.row, r)
		e.result(now, r.Failed)
	}
	e.ended = append(e.ended, now)
	o.leave(now, j, r.Paused)
	o.schedule(now, o.pool(e.row.Pool))
}

// Withdraw takes the question of that number back, and all before it.
func (o *Owner) Withdraw(now time.Time, id entity.RequestID, question uint32) {
	if j := o.jobs[id]; j != nil && j.question <= question {
		o.Cancel(now, id)
	}
}

// Cancel forgets a request whose entry has given up, queued or not.
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
		o.leave(now, j, false)
	}
	delete(o.jobs, id)
	o.schedule(now, p)
}

// Tick lets time pass: late work is refused, promises end, slots are granted.
func (o *Owner) Tick(now time.Time) {
	o.wake(now)
	for _, p := range o.pools {
		o.dropOverdueOrphans(now, p)
		o.expire(now, p)
		o.schedule(now, p)
		o.settleWaiting(now, p)
		o.shedOverflow(now, p)
	}
}

// schedule gives out what is free.
func (o *Owner) schedule(now time.Time, p *pool) {
	if p.queue.count > 0 {
		o.grantAll(now, p)
	}
}

// settleWaiting makes room for queued work above anything that runs below it,
// and refuses work that was not to wait and for which no room is being made.
func (o *Owner) settleWaiting(now time.Time, p *pool) {
	lowest := -1
	for _, e := range p.endpoints {
		lowest = max(lowest, e.lowest())
	}
	var refused []*job
	for t := range p.queue.tiers {
		var hopeless []class // no victim was found for the first of its class
		p.queue.each(t, func(j *job) bool {
			if t < lowest && j.awaited == 0 && !slices.Contains(hopeless, j.class) {
				if o.preemptFor(now, p, j); j.awaited == 0 {
					hopeless = append(hopeless, j.class)
				}
			}
			if j.noWait && j.awaited == 0 && !now.Before(j.stayUntil) {
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
	o.seq++
	return &job{
		work:     r.Work,
		from:     r.From,
		class:    class{model: r.Work.Model, adapter: r.Work.Adapter, resume: r.Resume},
		tier:     min(max(int(r.Work.Tier), 0), o.settings.Tiers-1),
		seq:      o.seq,
		question: r.Seq,
		noWait:   r.NoWait,
	}
}

// enqueue puts j into the queue. A job that resumes takes the place of the
// paused one at its endpoint.
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

// forgetQueued drops a refused job; one that is paused keeps its memory until
// the entry releases it.
func (o *Owner) forgetQueued(j *job) {
	if j.endpoint != nil {
		j.state = statePaused
		return
	}
	delete(o.jobs, j.work.ID)
}

// leave frees j's slot, and its memory unless it is paused.
func (o *Owner) leave(now time.Time, j *job, paused bool) {
	j.endpoint.endPrefill(now, j)
	if v := j.roomFor; v != nil {
		v.awaited--
		j.roomFor = nil
	}
	if paused {
		j.endpoint.pause(j)
		return
	}
	if j.state == stateQueued {
		o.pool(j.work.Pool).queue.remove(j)
	}
	j.endpoint.drop(j)
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
	o.unsettle(now, e)
	return e
}
