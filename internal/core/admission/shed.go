package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// refuse answers the queued job j with the strongest floor that holds, and
// forgets it.
func (o *Owner) refuse(now time.Time, p *pool, j *job) {
	r := o.refusal(now, p, j)
	r.RetryAfter = o.retryAfter(now, p, j)
	o.sendRefusal(p, j, r)
}

// refuseInfeasible answers a job that no endpoint here could end in time.
func (o *Owner) refuseInfeasible(now time.Time, p *pool, j *job) {
	r := o.refusal(now, p, j)
	r.Infeasible = true
	o.sendRefusal(p, j, r)
}

// refusal gives the strongest promise for j that holds now.
func (o *Owner) refusal(now time.Time, p *pool, j *job) entity.Refusal {
	r := entity.Refusal{ID: j.work.ID, Seq: j.question, Floor: NoFloor}
	if lowest, settled := p.lowest(now, j); settled {
		floor := max(j.tier, lowest)
		r.EndpointsDigest = uint64(o.promise(now, p, j, floor))
		r.Floor, r.FloorFor = entity.Tier(floor), o.settings.FloorFor
	}
	return r
}

func (o *Owner) sendRefusal(p *pool, j *job, r entity.Refusal) {
	p.queue.remove(j)
	o.forgetQueued(j)
	o.ready.Refusals = append(o.ready.Refusals, RefusalTo{To: j.from, Refusal: r})
}

// promise keeps everything below the floor off the endpoints that could serve
// j for as long as a refusal says, and returns which they are.
func (o *Owner) promise(now time.Time, p *pool, j *job, floor int) eligible.Digest {
	var covers eligible.Digest
	p.eligible(j, func(e *endpoint) bool {
		e.floors.promise(floor, now.Add(o.settings.FloorFor))
		covers = covers.With(e.row.ID)
		return true
	})
	return covers
}

// proven says that j may be shed: nothing below its tier runs where it could.
func (p *pool) proven(now time.Time, j *job) bool {
	lowest, settled := p.lowest(now, j)
	return settled && lowest <= j.tier
}

// shed refuses j if that is proven, and else starts to clear what stands
// against it; j stays queued meanwhile.
func (o *Owner) shed(now time.Time, p *pool, j *job) bool {
	if !p.proven(now, j) {
		o.clearBelow(now, p, j)
		return false
	}
	o.refuse(now, p, j)
	return true
}

// shedInfeasible refuses a job that can't end in time here. Other endpoints
// may be faster, so a job that was to wait is refused only with proof, unless
// its deadline has passed altogether.
func (o *Owner) shedInfeasible(now time.Time, p *pool, j *job) {
	if j.noWait || j.class.resume != "" || j.late(now, 0) || p.proven(now, j) {
		o.refuseInfeasible(now, p, j)
		return
	}
	o.clearBelow(now, p, j)
}

// clearBelow pauses all that runs below j where j could be served.
func (o *Owner) clearBelow(now time.Time, p *pool, j *job) {
	o.promise(now, p, j, j.tier)
	if j.awaited > 0 {
		return
	}
	p.eligible(j, func(e *endpoint) bool {
		for _, v := range e.jobs {
			if v.state == stateRunning && v.tier > j.tier && v.preemptible() {
				o.preempt(j, v, true)
			}
		}
		return true
	})
}

// shedDoomed sheds j if it can't make its deadline from the end of its tier.
func (o *Owner) shedDoomed(now time.Time, p *pool, j *job) bool {
	if !j.late(now, o.waitTime(now, p, j)+j.run) {
		return false
	}
	o.shed(now, p, j)
	return true
}

// shedOverflow sheds queued work, lowest first, until the queue is within its
// bound or nothing more may be refused yet.
func (o *Owner) shedOverflow(now time.Time, p *pool) {
	limit := o.settings.QueuePerEndpoint * len(p.endpoints)
	for p.queue.count > limit {
		j := p.queue.lose()
		if p.queue.count > hardQueueFactor*limit {
			o.refuse(now, p, j)
			continue
		}
		if !o.shed(now, p, j) {
			return
		}
	}
}

// expire sheds queued jobs whose last chance is elsewhere, and those that
// can't end in time even on an idle endpoint.
func (o *Owner) expire(now time.Time, p *pool) {
	var late []*job
	for t := range p.queue.tiers {
		p.queue.each(t, func(j *job) bool {
			if j.late(now, j.run+lastChance) {
				late = append(late, j)
			}
			return true
		})
	}
	for _, j := range late {
		run, _, ok := o.bestRunTime(p, j)
		switch {
		case !ok || j.late(now, run):
			o.shedInfeasible(now, p, j)
		case j.late(now, run+lastChance) && j.class.resume == "":
			o.shed(now, p, j)
		}
	}
}
