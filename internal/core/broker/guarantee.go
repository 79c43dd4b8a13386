package broker

import "time"

// With strict priority by rank, the lowest rank starves whenever the ranks above could use all
// slots, even if its requests are short: a tenth of the slot time can serve all requests of one
// kind. A small share of the slot time is therefore reserved for ranks that would starve; the
// ranks above lose no more than this share.
const (
	// guaranteedShare is the fraction of the slot time reserved for ranks that would starve.
	guaranteedShare = 0.06
	// maxGuaranteeCredit bounds the reserved time that may accumulate, in time of one slot.
	maxGuaranteeCredit = 2 * time.Second
)

// creditGuarantee adds the reserved fraction of the occupancy of a request just granted, if an
// on-time request of a lower rank waits.
func (p *pool) creditGuarantee(j *job, occupancy time.Duration) {
	if !j.late && p.nextStarving(j.request.Rank) != nil {
		p.guaranteeCredit = min(p.guaranteeCredit+time.Duration(guaranteedShare*float64(occupancy)), maxGuaranteeCredit)
	}
}

// nextStarving returns the request with the earliest target among the on-time ones of a lower rank
// than the given one, nil if there is none.
func (p *pool) nextStarving(rank int) *job {
	var first *job
	for _, j := range p.waiting {
		if j.late {
			break // late requests are last
		}
		if j.request.Rank > rank && (first == nil || j.target.Before(first.target)) {
			first = j
		}
	}
	return first
}

// grantGuaranteed grants slots to starving requests, while the accumulated credit covers their
// occupancy.
func (b *Broker) grantGuaranteed(now time.Time, p *pool) {
	for len(p.waiting) > 0 && p.freeExceeds(now, b.settings.SlotShare, 0) {
		j := p.nextStarving(p.waiting[0].request.Rank)
		if j == nil {
			return
		}
		occupancy := p.occupancy(j)
		e := b.bestEngine(now, p, j)
		if e == nil || p.guaranteeCredit < occupancy {
			return
		}
		p.guaranteeCredit -= occupancy
		b.grant(now, p, j, e)
	}
}
