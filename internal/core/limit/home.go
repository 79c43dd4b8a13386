package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Home lends the zone's part of the contracts that it is home to.
type Home struct {
	settings  Settings
	contracts Contracts
	self      entity.InstanceID
	zone      zone
	loans     map[entity.OrgID]*loan
	// movedAt is when this instance may last have become home of something.
	movedAt time.Time
	// since lists the member digests from movedAt on; told maps a member to
	// the digest under which it last listed all it holds.
	since []uint64
	told  map[entity.InstanceID]uint64
	// early keeps complete demands made under a view that this instance does
	// not have yet.
	early    map[entity.InstanceID]earlyDemand
	lastTick time.Time
	nextTidy time.Time
	seq      uint64
	messages []Outgoing
}

// earlyDemand is a demand that waits for the view to catch up.
type earlyDemand struct {
	at time.Time
	Demand
}

// earlyFor is how long a demand waits for the view to catch up. A later demand
// of the same borrower replaces it.
const earlyFor = 6 * time.Second

// NewHome returns a home that has lent nothing.
func NewHome(s Settings, self entity.InstanceID, contracts Contracts) *Home {
	return &Home{
		settings: s, contracts: contracts, self: self,
		loans: make(map[entity.OrgID]*loan), told: make(map[entity.InstanceID]uint64),
		early: make(map[entity.InstanceID]earlyDemand),
	}
}

// SetZone takes in a change of the membership view.
func (h *Home) SetZone(now time.Time, z Zone) {
	before := h.zone
	h.zone = newZone(z)
	if h.zone.digest != before.digest {
		h.moved(now, &before)
	}
	for org, l := range h.loans {
		if h.zone.home(org) != h.self {
			delete(h.loans, org)
			continue
		}
		l.resize(h.limits(l.limit))
	}
	for _, m := range h.zone.members {
		if d, ok := h.early[m.ID]; ok && d.Members == h.zone.digest {
			delete(h.early, m.ID)
			h.Step(now, m.ID, d.Demand)
		}
	}
}

// moved notes that organisations may have got this instance as their new home.
func (h *Home) moved(now time.Time, before *zone) {
	wasHome := slices.ContainsFunc(before.members, func(m entity.Instance) bool { return m.ID == h.self && !m.Leaving })
	lost := !wasHome || h.zone.lostMember(before)
	if lost {
		h.movedAt = now
		clear(h.told)
	}
	if lost || now.Sub(h.movedAt) >= h.settings.LeaseFor {
		h.since = h.since[:0]
	}
	h.since = append(h.since, h.zone.digest)
}

// limits returns the part of a contract that the zone may lend.
func (h *Home) limits(l Limit) Limit {
	w := h.zone.weight()
	return Limit{
		Rate:       l.Rate * w * (1 - h.settings.BaseFraction),
		Burst:      int(ceil(float64(l.Burst) * w)),
		Concurrent: int(ceil(float64(l.Concurrent) * w)),
	}
}

// settled reports whether this home knows all that is lent.
func (h *Home) settled(now time.Time) bool {
	if now.Sub(h.movedAt) >= h.settings.LeaseFor {
		return true
	}
	for _, m := range h.zone.members {
		if d, ok := h.told[m.ID]; !ok || !slices.Contains(h.since, d) {
			return false
		}
	}
	return true
}

// thaw forgets all loans when this instance has been away: others may have
// lent meanwhile.
func (h *Home) thaw(now time.Time) {
	if !h.lastTick.IsZero() && now.Sub(h.lastTick) > h.settings.FreezeGap {
		clear(h.loans)
		clear(h.told)
		h.movedAt = now
	}
	h.lastTick = now
}

// Step takes in a demand.
func (h *Home) Step(now time.Time, from entity.InstanceID, d Demand) {
	h.thaw(now)
	if !slices.ContainsFunc(h.zone.members, func(m entity.Instance) bool { return m.ID == from }) {
		return
	}
	delete(h.early, from)
	if d.Complete {
		if !slices.Contains(h.since, d.Members) {
			h.early[from] = earlyDemand{at: now, Demand: d}
			return
		}
		h.told[from] = d.Members
	}
	s := Share{Seq: h.nextSeq(), Answers: d.Seq}
	for _, o := range d.Orgs {
		if l := h.loan(now, o.Org); l != nil {
			h.noteDemand(now, l, from, o)
		}
	}
	for _, o := range d.Orgs {
		l := h.loans[o.Org]
		if l == nil || o.givesBack() {
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
	return d.Rate == 0 && d.Waiting == 0 && d.InFlight == 0 && d.HoldRate == 0 && d.HoldConcurrent == 0
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
		l.drop(from, d.Seen)
		return
	}
	if !h.settled(now) {
		// What is lent is not known yet, so nothing may grow.
		l.at = now
	}
	b := l.holder(from)
	b.wantRate = d.Rate
	b.wantConcurrent = d.InFlight + max(d.Waiting, d.Spare) + spareConcurrent
	hold := max(d.HoldConcurrent, d.InFlight)
	l.refresh(now)
	if d.Seen >= b.seq {
		b.rate, b.concurrent = d.HoldRate, hold
	} else {
		// A share is on its way: the borrower may hold either.
		b.rate, b.concurrent = max(b.rate, d.HoldRate), max(b.concurrent, hold)
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
	share.Rate = min(rate, max(l.freeRate()+b.rate, 0))
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
		o := OrgShare{Org: l.org, Rate: min(rate, b.rate), Concurrent: min(concurrent, b.concurrent)}
		if o == b.offered {
			continue
		}
		b.lowered, b.offered = now, o
		b.seq = h.nextSeq()
		h.messages = append(h.messages, Outgoing{To: b.id, Share: &Share{Seq: b.seq, Orgs: []OrgShare{o}}})
	}
}

// spareConcurrent is what a borrower gets beyond its need, so that the next
// request does not have to ask.
const spareConcurrent = 1

// tidyInterval is the time between two looks for loans that have ended.
const tidyInterval = time.Second

// Tick lets time pass.
func (h *Home) Tick(now time.Time) {
	h.thaw(now)
	if now.Before(h.nextTidy) {
		return
	}
	h.nextTidy = now.Add(tidyInterval)
	for _, org := range slices.Sorted(maps.Keys(h.loans)) {
		h.tidy(now, h.loans[org])
	}
	for id := range h.told {
		if !slices.ContainsFunc(h.zone.members, func(m entity.Instance) bool { return m.ID == id }) {
			delete(h.told, id)
		}
	}
	for id, d := range h.early {
		if now.Sub(d.at) >= earlyFor {
			delete(h.early, id)
		}
	}
}

// tidy ends what has run out, and takes back what is lent too much.
func (h *Home) tidy(now time.Time, l *loan) {
	l.refresh(now)
	l.limit, _ = h.contracts(l.org)
	l.resize(h.limits(l.limit))
	l.holders = slices.DeleteFunc(l.holders, func(b *holder) bool { return !now.Before(b.expires) })
	if l.freeRate() < 0 || l.freeConcurrent() < 0 {
		h.takeBack(now, l, "")
	}
	if len(l.holders) == 0 && l.tokens >= float64(l.part.Burst) {
		delete(h.loans, l.org)
	}
}

// Ready hands out what is to be sent and starts a new batch.
func (h *Home) Ready() Ready {
	r := Ready{Messages: h.messages}
	h.messages = nil
	return r
}

// Loans returns how many organisations have something lent.
func (h *Home) Loans() int { return len(h.loans) }

func compareHolder(b *holder, id entity.InstanceID) int { return cmp.Compare(b.id, id) }
