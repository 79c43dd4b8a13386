package limit

import (
	"math"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Step processes a demand.
func (h *Home) Step(now time.Time, from entity.InstanceID, d Demand) {
	h.checkTickGap(now)
	if !h.zone.has(from) {
		return
	}
	delete(h.early, from)
	if d.Complete {
		if !slices.Contains(h.viewDigests, d.MembersDigest) {
			h.early[from] = earlyDemand{at: now, Demand: d}
			return
		}
		h.reported[from] = d.MembersDigest
	}
	s := Share{Seq: h.nextSeq(), DemandSeq: d.Seq}
	for i := range d.Orgs {
		d.Orgs[i].sanitise()
	}
	for _, o := range d.Orgs {
		if l := h.loan(now, o.Org); l != nil {
			h.recordDemand(now, l, from, o)
		}
	}
	for _, o := range d.Orgs {
		l := h.loans[o.Org]
		if l == nil || o.isRelease() || (o.isUnleased() && !l.scarce()) {
			continue
		}
		s.Orgs = append(s.Orgs, h.lend(now, l, from, o, s.Seq))
	}
	if len(s.Orgs) > 0 {
		h.messages = append(h.messages, Outgoing{To: from, Share: &s})
	}
}

// isRelease reports whether the demand releases the borrower's share.
func (d *OrgDemand) isRelease() bool {
	return d.Rate == 0 && d.Waiting == 0 && d.InFlight == 0 && d.HeldRate == 0 && d.HeldConcurrent == 0
}

// isUnleased reports whether the demand asks for no share and only reports what
// the borrower uses without one.
func (d *OrgDemand) isUnleased() bool {
	return d.Waiting == 0 && d.HeldRate == 0 && d.HeldConcurrent == 0
}

func (h *Home) nextSeq() uint64 {
	h.seq++
	return h.seq
}

// loan returns the loan of an organisation and creates it if needed. It returns
// nil if another instance is the organisation's home or there is no contract.
func (h *Home) loan(now time.Time, org entity.OrgID) *loan {
	if l := h.loans[org]; l != nil {
		return l
	}
	limit, ok := h.contracts(org)
	if !ok || h.zone.home(org) != h.self {
		return nil
	}
	l := &loan{org: org, limit: limit}
	l.resize(h.lendable(limit))
	if h.settled(now) {
		// As if the bucket had been empty when this instance became the home.
		l.tokens = min(float64(l.lendable.Burst), l.lendable.Rate*now.Sub(h.gainedAt).Seconds())
	}
	l.at = now
	h.loans[org] = l
	return l
}

// recordDemand records what a borrower wants and holds.
func (h *Home) recordDemand(now time.Time, l *loan, from entity.InstanceID, d OrgDemand) {
	if d.isRelease() {
		l.refresh(now)
		l.removeHolder(from, d.ShareSeq)
		return
	}
	if !h.settled(now) {
		h.requestMissingReports(now)
		// What is lent is not known yet, so the bucket must not gain tokens.
		l.at = now
	}
	b := l.holder(from)
	b.wantRate = d.Rate
	b.wantConcurrent = d.InFlight + max(d.Waiting, d.PeakExcess) + concurrencyMargin(d.InFlight+d.PeakExcess)
	held := max(d.HeldConcurrent, d.InFlight)
	l.refresh(now)
	if d.ShareSeq >= b.shareSeq {
		b.rate, b.concurrent = d.HeldRate, held
	} else {
		// A share is in transit, so the borrower may hold the old or the new amount.
		b.rate, b.concurrent = max(b.rate, d.HeldRate), max(b.concurrent, held)
	}
	b.expires = now.Add(h.settings.LeaseFor)
}

// lend returns the share that answers a borrower's demand. If less than the
// borrower's fair share is free, it also lowers the shares of other borrowers
// that hold more than theirs.
func (h *Home) lend(now time.Time, l *loan, from entity.InstanceID, d OrgDemand, seq uint64) OrgShare {
	b := l.holder(from)
	rate, concurrent := l.fairShare(b)
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
		h.lowerShares(now, l, from)
	}
	b.rate, b.concurrent = max(b.rate, share.Rate), max(b.concurrent, share.Concurrent)
	b.shareSeq = seq
	b.lastSent = OrgShare{Org: l.org, Rate: share.Rate, Concurrent: share.Concurrent}
	l.refresh(now)
	return share
}

// lowerShares lowers the shares of borrowers, other than except, that hold more
// than their fair share.
func (h *Home) lowerShares(now time.Time, l *loan, except entity.InstanceID) {
	for _, b := range l.holders {
		if b.id == except || now.Sub(b.loweredAt) < h.settings.ReportInterval {
			continue
		}
		rate, concurrent := l.fairShare(b)
		if b.rate <= rate*(1+significantChange) && b.concurrent <= concurrent {
			continue
		}
		o := OrgShare{Org: l.org, Rate: roundRate(min(rate, b.rate)), Concurrent: min(concurrent, b.concurrent)}
		if o == b.lastSent {
			continue
		}
		b.loweredAt, b.lastSent = now, o
		b.shareSeq = h.nextSeq()
		h.messages = append(h.messages, Outgoing{To: b.id, Share: &Share{Seq: b.shareSeq, Orgs: []OrgShare{o}}})
	}
}

// concurrencyMargin returns how much a borrower gets beyond n requests in
// flight, so that neither the next request nor random variation requires
// another demand at once.
func concurrencyMargin(n int) int { return 2 + int(math.Sqrt(float64(n))) }
