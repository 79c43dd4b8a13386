package broker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Broker grants the slots of the pools of one zone.
type Broker struct {
	settings Settings
	pools    map[entity.PoolID]*pool
	jobs     map[entity.RequestID]*job
	runs     map[entity.RequestID]*run
	// heard is when each entry has spoken last.
	heard map[entity.InstanceID]time.Time
	seq   uint64
	awake time.Time
	// audited is when entries were last asked about their slots.
	audited time.Time
	ready   []entity.Outgoing
}

// New returns a Broker without endpoints.
func New(s Settings) *Broker {
	return &Broker{
		settings: s, pools: make(map[entity.PoolID]*pool),
		jobs: make(map[entity.RequestID]*job), runs: make(map[entity.RequestID]*run), heard: make(map[entity.InstanceID]time.Time),
	}
}

// Ready returns what is to be sent, in order, and clears it.
func (b *Broker) Ready() []entity.Outgoing {
	r := b.ready
	b.ready = nil
	return r
}

// SetSlotShare changes the part of the slots that may be used.
func (b *Broker) SetSlotShare(part float64) { b.settings.SlotShare = part }

// SetEndpoints replaces the engines of the given pools.
func (b *Broker) SetEndpoints(now time.Time, pools []entity.PoolID, t *catalog.Endpoints) {
	b.wake(now)
	for _, id := range pools {
		p := b.pool(id)
		for _, r := range p.setEndpoints(t.Pool(id), b.settings.Zone) {
			delete(b.runs, r.id)
		}
		p.setRounding(b.settings.Self)
		p.setQuickest()
		b.schedule(now, p)
	}
}

// MessageReceived notes that an entry has spoken.
func (b *Broker) MessageReceived(now time.Time, from entity.InstanceID) { b.heard[from] = now }

// HandleSlotRequest takes in a question for a slot.
func (b *Broker) HandleSlotRequest(now time.Time, a SlotRequest) {
	b.wake(now)
	if old := b.jobs[a.ID]; old != nil {
		if a.Seq <= old.ask.Seq {
			return
		}
		b.forget(old)
	}
	if old := b.runs[a.ID]; old != nil {
		if a.Seq <= old.number {
			return
		}
		b.end(now, old)
	}
	b.seq++
	j := &job{ask: a, arrived: now, target: now.Add(a.TargetIn), deadline: now.Add(a.DeadlineIn), seq: b.seq}
	if a.EndIn > 0 {
		j.end = now.Add(a.EndIn)
	}
	p := b.pool(a.Pool)
	b.jobs[a.ID] = j
	fastest, ok := p.fastest(a.PromptTokens)
	if !ok && !b.spill(now, p, j) {
		b.deny(now, p, j, DenyNoEndpoint)
		return
	}
	if b.jobs[a.ID] != j {
		return
	}
	j.late = now.Add(fastest).After(j.target)
	p.enqueue(j)
	b.schedule(now, p)
	if b.jobs[a.ID] == j && !b.spill(now, p, j) {
		b.send(a.From, Queued{ID: a.ID, Seq: a.Seq})
		b.refuseHopeless(now, p)
	}
}

// HandleWithdraw takes a question back, or a grant that crossed it.
func (b *Broker) HandleWithdraw(now time.Time, w Withdraw) {
	b.wake(now)
	if j := b.jobs[w.ID]; j != nil && j.ask.Seq <= w.Seq {
		b.forget(j)
	}
	if r := b.runs[w.ID]; r != nil && r.number <= w.Seq {
		b.end(now, r)
		b.schedule(now, r.pool)
	}
}

// HandleStarted takes in that an answer has begun.
func (b *Broker) HandleStarted(now time.Time, s Started) {
	b.wake(now)
	if r := b.runs[s.ID]; r != nil && !r.started {
		r.heardOf = now
		r.engine.begun(now, r, s.After)
		r.pool.paceChanged = true
		r.pool.mean.follow(r.engine.pace)
	}
}

// HandleDone takes a slot back.
func (b *Broker) HandleDone(now time.Time, d Done) {
	b.wake(now)
	r := b.runs[d.ID]
	if r == nil || r.number != d.Seq {
		return
	}
	r.engine.pace.learnAnswer(answered(r, d), d.Streaming)
	r.engine.result(now, d)
	b.end(now, r)
	b.schedule(now, r.pool)
}

// answered is how many tokens an answer had, as estimated where nobody counted them.
func answered(r *run, d Done) int {
	if d.Tokens > 0 {
		return d.Tokens
	}
	return r.answerTokens
}

// HandleRunningReport takes in what an entry runs without a grant of this broker.
func (b *Broker) HandleRunningReport(now time.Time, from entity.InstanceID, h RunningReport) {
	b.wake(now)
	p := b.pool(h.Pool)
	for _, held := range h.Requests {
		e := p.engine(held.Endpoint)
		if e == nil || b.runs[held.ID] != nil {
			continue
		}
		r := &run{id: held.ID, from: from, number: held.Seq, pool: p, promptTokens: held.PromptTokens, answerTokens: held.AnswerTokens,
			grantedAt: now, heardOf: now, started: held.Started, expires: now.Add(held.DeadlineIn + runsFor)}
		e.take(now, r)
		b.runs[r.id] = r
	}
}

// EntryLost takes in that an entry instance is gone.
func (b *Broker) EntryLost(now time.Time, from entity.InstanceID) {
	b.wake(now)
	delete(b.heard, from)
	for _, id := range slices.Sorted(maps.Keys(b.jobs)) {
		if j := b.jobs[id]; j.ask.From == from {
			b.forget(j)
		}
	}
	for _, r := range b.runs {
		if r.from == from {
			r.expires = now.Add(orphanFor)
		}
	}
}

// Tick lets time pass.
func (b *Broker) Tick(now time.Time) {
	b.wake(now)
	if len(b.runs) == 0 && len(b.jobs) == 0 {
		return
	}
	b.expire(now)
	b.audit(now)
	for _, p := range b.sortedPools() {
		for _, e := range p.engines {
			e.silent = len(e.runs) > 0 && e.overdue(now, b.heard)
		}
		if p.paceChanged {
			p.setQuickest()
		}
		if len(p.waiting) == 0 {
			continue
		}
		b.schedule(now, p)
		b.spillWaiting(now, p)
		b.refuseHopeless(now, p)
	}
}

// expire frees the slots whose end was not told.
func (b *Broker) expire(now time.Time) {
	var expired []entity.RequestID
	for id, r := range b.runs {
		if now.After(r.expires) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		b.end(now, b.runs[id])
	}
}

// Waiting returns how many requests wait, and Running how many slots are taken.
func (b *Broker) Waiting() int { return len(b.jobs) }

// Running returns how many granted slots are taken.
func (b *Broker) Running() int { return len(b.runs) }

// wake forgets everything about requests after the broker was away.
func (b *Broker) wake(now time.Time) {
	if !b.awake.IsZero() && now.Sub(b.awake) > awayAfter {
		clear(b.jobs)
		clear(b.runs)
		for _, p := range b.pools {
			p.waiting = nil
			for _, e := range p.engines {
				clear(e.runs)
				e.prefillEnd, e.silent = now, false
			}
		}
	}
	b.awake = now
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

// forget drops a job.
func (b *Broker) forget(j *job) {
	b.pool(j.ask.Pool).dequeue(j)
	delete(b.jobs, j.ask.ID)
}

// end frees a run's slot.
func (b *Broker) end(now time.Time, r *run) {
	r.engine.end(now, r)
	delete(b.runs, r.id)
}
