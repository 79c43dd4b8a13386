package admission

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/eligible"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// refuse refuses the queued job j with the strongest guarantee that holds now, and
// removes it.
func (o *Owner) refuse(now time.Time, p *pool, j *job) {
	r := o.refusal(now, p, j)
	r.RetryAfter = o.retryAfter(now, p, j)
	o.sendRefusal(p, j, r)
}

// refuseInfeasible refuses a job that no endpoint of this owner could end by its
// deadline.
func (o *Owner) refuseInfeasible(now time.Time, p *pool, j *job) {
	r := o.refusal(now, p, j)
	r.Infeasible = true
	o.sendRefusal(p, j, r)
}

// refusal returns a refusal of j with the strongest guarantee that holds now, and
// records that guarantee.
func (o *Owner) refusal(now time.Time, p *pool, j *job) entity.Refusal {
	r := entity.Refusal{ID: j.work.ID, Seq: j.seq, Floor: NoFloor}
	if lowest, settled := p.lowestTier(now, j); settled {
		floor := max(j.tier, lowest)
		r.EndpointsDigest = uint64(o.guaranteeFloor(now, p, j, floor))
		r.Floor, r.FloorFor = entity.Tier(floor), o.settings.FloorFor
	}
	return r
}

func (o *Owner) sendRefusal(p *pool, j *job, r entity.Refusal) {
	p.queue.remove(j)
	o.removeRefused(j)
	o.ready.Refusals = append(o.ready.Refusals, RefusalTo{To: j.from, Refusal: r})
}

// guaranteeFloor records the guarantee that for FloorFor nothing below the floor is
// granted a slot on the endpoints that could serve j, and returns the digest of
// these endpoints.
func (o *Owner) guaranteeFloor(now time.Time, p *pool, j *job, floor int) eligible.Digest {
	var digest eligible.Digest
	p.eachEligible(j, func(e *endpoint) bool {
		e.floors.extend(floor, now.Add(o.settings.FloorFor))
		digest = digest.With(e.row.ID)
		return true
	})
	return digest
}

// mayShed reports whether j may be shed: it is certain that nothing below its tier
// runs on the endpoints that could serve it.
func (p *pool) mayShed(now time.Time, j *job) bool {
	lowest, settled := p.lowestTier(now, j)
	return settled && lowest <= j.tier
}

// shed refuses j if mayShed allows it, and reports whether it did. Otherwise it
// begins to pause the lower tiers that prevent it, while j stays queued.
func (o *Owner) shed(now time.Time, p *pool, j *job) bool {
	if !p.mayShed(now, j) {
		o.pauseBelow(now, p, j)
		return false
	}
	o.refuse(now, p, j)
	return true
}

// shedInfeasible refuses a job that cannot end by its deadline on the endpoints
// of this owner. Other endpoints may be faster, so a job without noWait is
// refused only if mayShed allows it or its deadline has passed.
func (o *Owner) shedInfeasible(now time.Time, p *pool, j *job) {
	if j.noWait || j.class.resume != "" || j.missesDeadline(now, 0) || p.mayShed(now, j) {
		o.refuseInfeasible(now, p, j)
		return
	}
	o.pauseBelow(now, p, j)
}

// pauseBelow pauses all preemptible work of lower tiers on the endpoints that could
// serve j, unless work is already being preempted for j, and grants no more work of
// lower tiers there for FloorFor.
func (o *Owner) pauseBelow(now time.Time, p *pool, j *job) {
	o.guaranteeFloor(now, p, j, j.tier)
	if j.pendingPreemptions > 0 {
		return
	}
	p.eachEligible(j, func(e *endpoint) bool {
		for _, v := range e.jobs {
			if v.state == stateRunning && v.tier > j.tier && v.preemptible() {
				o.preempt(j, v, true)
			}
		}
		return true
	})
}

// shedIfTooLate sheds j if it would miss its deadline as the last job of its tier,
// and reports whether that is so. j stays queued if it may not be shed yet.
func (o *Owner) shedIfTooLate(now time.Time, p *pool, j *job) bool {
	if !j.missesDeadline(now, o.waitTime(now, p, j)+j.run) {
		return false
	}
	o.shed(now, p, j)
	return true
}

// shedOverflow sheds queued jobs, the lowest tier first, until the queue is within
// its limit or no more jobs may be shed yet.
func (o *Owner) shedOverflow(now time.Time, p *pool) {
	limit := o.settings.QueuePerEndpoint * len(p.endpoints)
	for p.queue.count > limit {
		j := p.queue.shedCandidate()
		if p.queue.count > hardQueueFactor*limit {
			o.refuse(now, p, j)
			continue
		}
		if !o.shed(now, p, j) {
			return
		}
	}
}

// shedExpiring sheds queued jobs whose latest feasible start is less than retryMargin
// away, so that their entries can try other owners, and jobs that would miss their
// deadline even on an idle endpoint.
func (o *Owner) shedExpiring(now time.Time, p *pool) {
	var expiring []*job
	for t := range p.queue.tiers {
		p.queue.each(t, func(j *job) bool {
			if j.missesDeadline(now, j.run+retryMargin) {
				expiring = append(expiring, j)
			}
			return true
		})
	}
	for _, j := range expiring {
		run, _, ok := o.bestRunTime(p, j)
		switch {
		case !ok || j.missesDeadline(now, run):
			o.shedInfeasible(now, p, j)
		case j.missesDeadline(now, run+retryMargin) && j.class.resume == "":
			o.shed(now, p, j)
		}
	}
}
