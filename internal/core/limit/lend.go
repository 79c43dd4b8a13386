package limit

import (
	"math"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Step takes in a demand.
func (h *Home) Step(now time.Time, from entity.InstanceID, d Demand) {
	h.thaw(now)
	if !h.zone.has(from) {
		return
	}
	delete(h.early, from)
	if d.Complete {
		if !slices.Contains(h.since, d.MembersDigest) {
			h.early[from] = earlyDemand{at: now, Demand: d}
			return
		}
		h.told[from] = d.MembersDigest
	}
	s := Share{Seq: h.nextSeq(), DemandSeq: d.Seq}
	for i := range d.Orgs {
		d.Orgs[i].sanitise()
	}
	for _, o := range d.Orgs {
		if l := h.loan(now, o.Org); l != nil {
			h.noteDemand(now, l, from, o)
		}
	}
	for _, o := range d.Orgs {
		l := h.loans[o.Org]
		if l == nil || o.givesBack() || (o.onBase() && !l.tight()) {
			continue
		}
		s.Orgs = append(s.Orgs, h.lend(now, l, from, o, s.Seq))
	}
	if len(s.Orgs) > 0 {
		h.messages = append(h.messages, Outgoing{To: from, Share: &s})
	}
}

// givesBack reports whether the demand ends the loan.
func (d *OrgDemand) givesBack() bool {
	return d.Rate == 0 && d.Waiting == 0 && d.InFlight == 0 && d.HeldRate == 0 && d.HeldConcurrent == 0
}

// onBase reports whether the demand asks for nothing but only tells what the
// borrower uses unasked.
func (d *OrgDemand) onBase() bool {
	return d.Waiting == 0 && d.HeldRate == 0 && d.HeldConcurrent == 0
}

func (h *Home) nextSeq() uint64 {
	h.seq++
	return h.seq
}

// loan returns the loans of an organisation, nil if its home is elsewhere.
func (h *Home) loan(now time.Time, org entity.OrgID) *loan {
	if l := h.loans[org]; l != nil {
		return l
	}
	limit, ok := h.contracts(org)
	if !ok || h.zone.home(org) != h.self {
		return nil
	}
	l := &loan{org: org, limit: limit}
	l.resize(h.limits(limit))
	if h.settled(now) {
		// As if the bucket had been empty when the home moved here.
		l.tokens = min(float64(l.part.Burst), l.part.Rate*now.Sub(h.movedAt).Seconds())
	}
	l.at = now
	h.loans[org] = l
	return l
}

// noteDemand takes in what a borrower wants and holds.
func (h *Home) noteDemand(now time.Time, l *loan, from entity.InstanceID, d OrgDemand) {
	if d.givesBack() {
		l.refresh(now)
		l.drop(from, d.ShareSeq)
		return
	}
	if !h.settled(now) {
		h.askWhoHasNotTold(now)
		// What is lent is not known yet, so nothing may grow.
		l.at = now
	}
	b := l.holder(from)
	b.wantRate = d.Rate
	b.wantConcurrent = d.InFlight + max(d.Waiting, d.PeakExcess) + spareFor(d.InFlight+d.PeakExcess)
	hold := max(d.HeldConcurrent, d.InFlight)
	l.refresh(now)
	if d.ShareSeq >= b.seq {
		b.rate, b.concurrent = d.HeldRate, hold
	} else {
		// A share is on its way: the borrower may hold either.
		b.rate, b.concurrent = max(b.rate, d.HeldRate), max(b.concurrent, hold)
	}
	b.expires = now.Add(h.settings.LeaseFor)
}

// lend answers the demand of a borrower, and takes back from others what is
// more than their part.
func (h *Home) lend(now time.Time, l *loan, from entity.InstanceID, d OrgDemand, seq uint64) OrgShare {
	b := l.holder(from)
	rate, concurrent := l.targets(b)
	if !h.settled(now) {
		rate, concurrent = min(rate, b.rate), min(concurrent, b.concurrent)
	}
	share := OrgShare{Org: l.org}
	rate = roundRate(rate)
	share.Rate = roundRate(min(rate, max(l.freeRate()+b.rate, 0)))
	share.Concurrent = min(concurrent, max(l.freeConcurrent()+b.concurrent, 0))
	if h.settled(now) {
		share.Tokens = l.takeTokens(d.Waiting)
	}
	if share.Rate < rate || share.Concurrent < concurrent {
		h.takeBack(now, l, from)
	}
	b.rate, b.concurrent = max(b.rate, share.Rate), max(b.concurrent, share.Concurrent)
	b.seq = seq
	b.offered = OrgShare{Org: l.org, Rate: share.Rate, Concurrent: share.Concurrent}
	l.refresh(now)
	return share
}

// takeBack lowers the shares of other borrowers that hold more than their part.
func (h *Home) takeBack(now time.Time, l *loan, except entity.InstanceID) {
	for _, b := range l.holders {
		if b.id == except || now.Sub(b.lowered) < h.settings.ReportInterval {
			continue
		}
		rate, concurrent := l.targets(b)
		if b.rate <= rate*(1+changeWorthTelling) && b.concurrent <= concurrent {
			continue
		}
		o := OrgShare{Org: l.org, Rate: roundRate(min(rate, b.rate)), Concurrent: min(concurrent, b.concurrent)}
		if o == b.offered {
			continue
		}
		b.lowered, b.offered = now, o
		b.seq = h.nextSeq()
		h.messages = append(h.messages, Outgoing{To: b.id, Share: &Share{Seq: b.seq, Orgs: []OrgShare{o}}})
	}
}

// spareFor is what a borrower gets beyond n in flight, so that neither the next
// request nor chance makes it ask again.
func spareFor(n int) int { return 2 + int(math.Sqrt(float64(n))) }
