package broker

import "time"

// A strict order by rank leaves nothing to the lowest one while those above
// could take all slots, though its requests may be short: a tenth of the time
// of all slots can serve a whole kind of request. So a small part of the time
// is kept for ranks that would starve. What it costs the ranks above is bounded
// by that part.
const (
	// guaranteedPart is the part of the slots' time for ranks that are passed over.
	guaranteedPart = 0.06
	// maxGuarantee bounds what may be saved up, by the time of one slot.
	maxGuarantee = 2 * time.Second
)

// passedOver counts the time that was granted while requests of a lower rank
// waited that could have been in time.
func (p *pool) passedOver(j *job, occupancy time.Duration) {
	if !j.late && p.starving(j.ask.Rank) != nil {
		p.guarantee = min(p.guarantee+time.Duration(guaranteedPart*float64(occupancy)), maxGuarantee)
	}
}

// starving returns the request in time with the next target among those below
// a rank, nil if there is none.
func (p *pool) starving(rank int) *job {
	var first *job
	for _, j := range p.waiting {
		if j.late {
			break // the late ones stand last
		}
		if j.ask.Rank > rank && (first == nil || j.target.Before(first.target)) {
			first = j
		}
	}
	return first
}

// grantGuaranteed gives slots to requests that were passed over for long.
func (b *Broker) grantGuaranteed(now time.Time, p *pool) {
	for len(p.waiting) > 0 && p.freeBeyond(now, b.settings.SlotShare, 0) {
		j := p.starving(p.waiting[0].ask.Rank)
		if j == nil {
			return
		}
		occupancy := p.occupancy(j)
		e := b.best(now, p, j)
		if e == nil || p.guarantee < occupancy {
			return
		}
		p.guarantee -= occupancy
		b.grant(now, p, j, e)
	}
}
