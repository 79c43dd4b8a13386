package broker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/endpointlimit"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Broker grants the slots of the pools of one zone. jobs holds the waiting requests, runs the
// granted ones.
type Broker struct {
	settings Settings
	pools    map[entity.PoolID]*pool
	jobs     map[entity.RequestID]*job
	runs     map[entity.RequestID]*run
	// lastMessage is the time of the last message from each entry.
	lastMessage map[entity.InstanceID]time.Time
	// lastArrival is the arrival number of the latest request.
	lastArrival uint64
	lastStep    time.Time
	// loaded is set once the broker knows any endpoint. A broker in a process that has just
	// started does not.
	loaded bool
	// limits holds the limits that endpoints have stated, limitShare the share that may be used.
	limits     map[entity.EndpointID]endpointlimit.Limit
	limitShare float64
	// memory holds how many tokens the memory of an engine holds, by pool.
	memory map[entity.PoolID]int
	// lastAudit is when entries were last asked which slots they still use.
	lastAudit time.Time
	ready     []entity.Outgoing
}

// New returns a Broker without endpoints.
func New(s Settings) *Broker {
	return &Broker{
		settings: s, pools: make(map[entity.PoolID]*pool),
		jobs: make(map[entity.RequestID]*job), runs: make(map[entity.RequestID]*run),
		lastMessage: make(map[entity.InstanceID]time.Time),
	}
}

// Ready returns the messages to send, in order, and clears them.
func (b *Broker) Ready() []entity.Outgoing {
	r := b.ready
	b.ready = nil
	return r
}

// SetSlotShare sets the fraction of the slots that the broker may use.
func (b *Broker) SetSlotShare(share float64) {
	b.settings.SlotShare = share
	for _, p := range b.pools {
		p.setMemory(b.memory[p.id], share)
	}
}

// SetEndpoints replaces the engines of the given pools.
func (b *Broker) SetEndpoints(now time.Time, pools []entity.PoolID, t *catalog.Endpoints) {
	b.discardStale(now)
	b.loaded = b.loaded || t.Len() > 0
	for _, id := range pools {
		p := b.pool(id)
		for _, r := range p.setEndpoints(t.Pool(id), b.settings.Zone) {
			delete(b.runs, r.id)
		}
		p.setRounding(b.settings.Self)
		p.setLimits(now, b.limits, b.limitShare)
		p.setMemory(b.memory[id], b.settings.SlotShare)
		p.updateMinPerPromptToken()
		b.schedule(now, p)
	}
}

// MessageReceived records that a message of an entry has arrived.
func (b *Broker) MessageReceived(now time.Time, from entity.InstanceID) { b.lastMessage[from] = now }

// HandleSlotRequest processes a slot request: it grants a slot, queues the request, forwards it to
// another zone or refuses it. A slot request that is not newer than the current one is ignored.
func (b *Broker) HandleSlotRequest(now time.Time, req SlotRequest) {
	b.discardStale(now)
	waited := b.jobs[req.ID]
	if waited != nil {
		if req.Seq <= waited.request.Seq {
			return
		}
		b.removeJob(waited)
	}
	if old := b.runs[req.ID]; old != nil {
		if req.Seq <= old.seq {
			return
		}
		b.endRun(now, old)
	}
	j := b.newJob(now, req)
	if waited != nil && waited.request.Pool == req.Pool {
		j.keepPlace(waited)
	}
	p := b.pool(req.Pool)
	b.jobs[req.ID] = j
	if p.memory.exceeds(&req) {
		b.deny(now, p, j, DenyMemory)
		return
	}
	if j.outlastsEntry(now, p.occupancy(j)) {
		b.deny(now, p, j, DenyEntryEnds)
		return
	}
	fastest, ok := p.fastestFirstEvent(req.PromptTokens)
	if !ok && !b.spill(now, p, j) && b.loaded && !p.isNew(now) {
		b.deny(now, p, j, DenyNoEndpoint)
		return
	}
	if ok && !p.serves(&req) && !b.spill(now, p, j) && !p.isNew(now) {
		b.deny(now, p, j, DenyVersion)
		return
	}
	if b.jobs[req.ID] != j {
		return
	}
	p.keepAppointment(now, j)
	if !req.IsRetry && waited == nil {
		p.rank(req.Rank).demand.add(now, p.occupancy(j))
	}
	j.late = ok && !req.pinned() && now.Add(fastest).After(j.target)
	p.enqueue(j)
	b.schedule(now, p)
	if b.jobs[req.ID] == j && !b.spill(now, p, j) {
		b.send(req.From, Queued{ID: req.ID, Seq: req.Seq})
		b.refuseUnservable(now, p)
	}
}

// HandleWithdraw processes the cancellation of a slot request. If the grant has been sent
// meanwhile, its slot is freed.
func (b *Broker) HandleWithdraw(now time.Time, w Withdraw) {
	b.discardStale(now)
	if j := b.jobs[w.ID]; j != nil && j.request.Seq <= w.Seq {
		b.removeJob(j)
	}
	if r := b.runs[w.ID]; r != nil && r.seq <= w.Seq {
		r.pool.settleWithdrawn(now, r)
		b.endRun(now, r)
		b.schedule(now, r.pool)
	}
}

// HandleStarted processes a report that an answer has begun.
func (b *Broker) HandleStarted(now time.Time, s Started) {
	b.discardStale(now)
	if r := b.runs[s.ID]; r != nil && !r.started {
		r.lastConfirmed = now
		r.engine.observeStart(now, r, s.After, s.Slowdown)
		r.engine.runStarted(now, r, s.After)
		r.engine.times.limit(r.pool.minPerPromptToken, r.pool.mean)
		r.pool.timesChanged = true
		r.pool.mean.moveTowards(r.engine.times)
	}
}

// HandleDone processes the end of a dispatch: it frees the slot and updates the engine's token
// times and failure rate.
func (b *Broker) HandleDone(now time.Time, d Done) {
	b.discardStale(now)
	r := b.runs[d.ID]
	if r == nil || r.seq != d.Seq {
		return
	}
	r.engine.times.learnAnswer(answerLength(r, d), d.Streaming)
	r.engine.observeEnd(now, r, d)
	r.pool.settle(r, d)
	r.pool.memory.learn(r, d)
	r.engine.recordOutcome(now, r.from, d)
	b.endRun(now, r)
	b.schedule(now, r.pool)
}

// answerLength returns the number of tokens of an answer, or the estimate if they were not counted.
func answerLength(r *run, d Done) int {
	if d.Tokens > 0 {
		return d.Tokens
	}
	return r.answerTokens
}

// HandleRunningReport processes a report of requests that an entry runs without a grant of this
// broker. Each of them occupies a slot.
func (b *Broker) HandleRunningReport(now time.Time, from entity.InstanceID, report RunningReport) {
	b.discardStale(now)
	p := b.pool(report.Pool)
	p.learnAppointments(now, report.Appointments)
	for _, req := range report.Requests {
		e := p.engine(req.Endpoint)
		if e == nil || b.runs[req.ID] != nil {
			continue
		}
		r := &run{id: req.ID, from: from, seq: req.Seq, pool: p, promptTokens: req.PromptTokens, answerTokens: req.AnswerTokens,
			grantedAt: now, lastConfirmed: now, started: req.Started, expires: now.Add(req.DeadlineIn + runExpiry)}
		e.addRun(now, r)
		r.observed = observation{} // when it began isn't known
		b.runs[r.id] = r
	}
}

// EntryLost removes the waiting requests of an entry that is no longer a member, and frees its
// slots after orphanExpiry.
func (b *Broker) EntryLost(now time.Time, from entity.InstanceID) {
	b.discardStale(now)
	delete(b.lastMessage, from)
	for _, id := range slices.Sorted(maps.Keys(b.jobs)) {
		if j := b.jobs[id]; j.request.From == from {
			b.removeJob(j)
		}
	}
	for _, r := range b.runs {
		if r.from == from {
			r.expires = now.Add(orphanExpiry)
		}
	}
	for _, p := range b.pools {
		for _, e := range p.engines {
			e.refusals.forget(from)
			delete(e.startedAt, from)
		}
	}
}

// Tick advances time to now: it expires and audits slots, updates engines and grants, forwards or
// refuses waiting requests.
func (b *Broker) Tick(now time.Time) {
	b.discardStale(now)
	if len(b.runs) == 0 && len(b.jobs) == 0 {
		return
	}
	b.expire(now)
	b.audit(now)
	for _, p := range b.sortedPools() {
		for _, e := range p.engines {
			e.unresponsive = len(e.runs) > 0 && e.overdue(now, b.lastMessage)
			e.checkOverdue(now)
		}
		if p.timesChanged {
			p.updateMinPerPromptToken()
		}
		p.book.Expire(now)
		p.reserveMemory(now)
		if len(p.waiting) == 0 {
			continue
		}
		b.schedule(now, p)
		b.spillWaiting(now, p)
		b.spillFromNew(now, p)
		b.refuseUnservable(now, p)
	}
}

// expire frees the slots of runs whose end was not reported in time.
func (b *Broker) expire(now time.Time) {
	var expired []entity.RequestID
	for id, r := range b.runs {
		if now.After(r.expires) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		b.endRun(now, b.runs[id])
	}
}

// Waiting returns the number of requests that wait.
func (b *Broker) Waiting() int { return len(b.jobs) }

// Running returns the number of granted slots that are occupied.
func (b *Broker) Running() int { return len(b.runs) }

// discardStale begins a step. If the last one was more than maxStepGap ago, it discards all state
// about requests: entries have turned to other brokers meanwhile and report again what they run.
func (b *Broker) discardStale(now time.Time) {
	if !b.lastStep.IsZero() && now.Sub(b.lastStep) > maxStepGap {
		clear(b.jobs)
		clear(b.runs)
		for _, p := range b.pools {
			p.waiting = nil
			for _, e := range p.engines {
				clear(e.runs)
				e.held = need{}
				e.service.limiter.SetRunning(now, 0)
				e.prefillEnd, e.unresponsive = now, false
			}
		}
	}
	b.lastStep = now
}

func (b *Broker) pool(id entity.PoolID) *pool {
	p := b.pools[id]
	if p == nil {
		p = newPool(id)
		b.pools[id] = p
	}
	return p
}

func (b *Broker) sortedPools() []*pool {
	return slices.SortedFunc(maps.Values(b.pools), func(a, c *pool) int { return cmp.Compare(a.id, c.id) })
}

func (b *Broker) send(to entity.InstanceID, msg any) {
	b.ready = append(b.ready, entity.Outgoing{Instance: to, Message: msg})
}

// removeJob removes a waiting request.
func (b *Broker) removeJob(j *job) {
	b.pool(j.request.Pool).dequeue(j)
	delete(b.jobs, j.request.ID)
}

// endRun removes a run and frees its slot.
func (b *Broker) endRun(now time.Time, r *run) {
	r.engine.removeRun(now, r)
	delete(b.runs, r.id)
}
