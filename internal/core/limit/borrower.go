package limit

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Borrower admits requests on one instance out of shares that homes lend.
type Borrower struct {
	settings  Settings
	contracts Contracts
	zone      zone
	accounts  map[entity.OrgID]*account
	// queue lists the accounts to be reported in the next Ready.
	queue []*account
	// complete lists the homes that need to hear of all shares held.
	complete   []entity.InstanceID
	seq        uint64
	sent       map[uint64]demandSent
	nextReport time.Time
	// turn counts the homes that have had their turn.
	turn     int
	answered []entity.OrgID
	now      time.Time
}

// demandSent remembers a demand until it is answered.
type demandSent struct {
	to entity.InstanceID
	at time.Time
}

// NewBorrower returns a borrower that holds nothing.
func NewBorrower(s Settings, contracts Contracts) *Borrower {
	return &Borrower{
		settings: s, contracts: contracts, zone: newZone(Zone{}),
		accounts: make(map[entity.OrgID]*account), sent: make(map[uint64]demandSent),
	}
}

// Take admits one request of an organisation, or says why not and when to
// come back. ReasonNone means undecided, see the package comment.
func (b *Borrower) Take(now time.Time, org entity.OrgID) (ok bool, reason verdict.Reason, retryAfter time.Duration) {
	a := b.accounts[org]
	if a == nil {
		if a = b.open(now, org); a == nil {
			return false, verdict.ReasonUnauthenticated, 0
		}
	}
	b.now = now
	a.used = now
	rate := a.allowedRate(now, b.base(a))
	a.refill(now, rate, b.size(a, rate))
	if !a.leased(now) {
		a.clamp(b.size(a, rate))
	}
	switch {
	case a.inFlight >= a.allowedConcurrent(now, b.settings.UnleasedConcurrent):
		reason, retryAfter = verdict.ReasonConcurrencyLimit, b.settings.ReportInterval
	case a.tokens < 1:
		reason, retryAfter = verdict.ReasonRateLimit, a.wait(rate)
	default:
		a.tokens--
		a.inFlight++
		a.peak = max(a.peak, a.inFlight)
		a.arrived++
		return true, verdict.ReasonNone, 0
	}
	if wait, undecided := b.ask(now, a); undecided {
		return false, verdict.ReasonNone, wait
	}
	a.arrived++
	return false, reason, retryAfter
}

// Done ends a request that Take admitted.
func (b *Borrower) Done(_ time.Time, org entity.OrgID) {
	if a := b.accounts[org]; a != nil && a.inFlight > 0 {
		a.inFlight--
	}
}

// InFlight returns the number of requests in flight of an organisation.
func (b *Borrower) InFlight(org entity.OrgID) int {
	if a := b.accounts[org]; a != nil {
		return a.inFlight
	}
	return 0
}

// open starts an account with the first allowance.
func (b *Borrower) open(now time.Time, org entity.OrgID) *account {
	l, ok := b.contracts(org)
	if !ok {
		return nil
	}
	a := &account{org: org, home: b.zone.home(org), limit: l, measured: now, bucket: bucket{tokens: float64(min(b.settings.UnleasedTokens, l.Burst)), at: now}}
	if l.Rate <= 0 {
		a.tokens = 0
	}
	b.accounts[org] = a
	return a
}

// base is the rate that belongs to each instance for good.
func (b *Borrower) base(a *account) float64 {
	return a.limit.Rate * b.settings.BaseFraction / float64(b.zone.fleet)
}

func (b *Borrower) size(a *account, rate float64) float64 {
	return a.size(rate, min(b.settings.UnleasedTokens, a.limit.Burst))
}

// ask asks the home on behalf of a request, unless it answered just now or
// does not answer at all.
func (b *Borrower) ask(now time.Time, a *account) (wait time.Duration, undecided bool) {
	if a.home == "" {
		return 0, false
	}
	if !a.asked.IsZero() {
		a.waiting++
		wait = b.settings.DemandTimeout - now.Sub(a.asked)
		if wait > 0 {
			return wait, true
		}
		if now.Sub(a.asked) < b.settings.ReportInterval {
			return 0, false
		}
	}
	if a.short && now.Sub(a.reported) < b.settings.ReportInterval {
		return 0, false
	}
	a.waiting = 1
	a.asked = now
	b.enqueue(a)
	return b.settings.DemandTimeout, true
}

func (b *Borrower) enqueue(a *account) {
	if !a.queued {
		a.queued = true
		b.queue = append(b.queue, a)
	}
}

// SetZone takes in a change of the membership view. Where homes have moved,
// the new ones are told what this instance holds.
func (b *Borrower) SetZone(now time.Time, z Zone) {
	before := b.zone
	b.now = now
	b.zone = newZone(z)
	if b.zone.digest == before.digest {
		return
	}
	for _, a := range b.accounts {
		if home := b.zone.home(a.org); home != a.home {
			a.home = home
			a.seen = 0
			a.asked = time.Time{}
		}
	}
	b.complete = b.gainers(&before)
}

// gainers returns the members that may have become the home of something.
func (b *Borrower) gainers(before *zone) []entity.InstanceID {
	lost := b.zone.lostMember(before)
	var out []entity.InstanceID
	for _, m := range b.zone.members {
		old := slices.ContainsFunc(before.members, func(o entity.Instance) bool { return o.ID == m.ID && !o.Leaving })
		if !m.Leaving && (lost || !old || slices.Contains(b.complete, m.ID)) {
			out = append(out, m.ID)
		}
	}
	return out
}

// Step takes in a share.
func (b *Borrower) Step(now time.Time, from entity.InstanceID, s Share) {
	b.now = now
	if s.RequestComplete && b.zone.has(from) && !slices.Contains(b.complete, from) {
		b.complete = append(b.complete, from)
	}
	var lease, sentAt time.Time
	if s.DemandSeq != 0 {
		d, ok := b.sent[s.DemandSeq]
		if !ok || d.to != from {
			return
		}
		sentAt, lease = d.at, d.at.Add(b.settings.LeaseFor)
	}
	for _, o := range s.Orgs {
		a := b.accounts[o.Org]
		if a == nil || s.Seq <= a.seen || a.home != from {
			continue
		}
		o.sanitise()
		b.take(now, a, o, s.Seq)
		if s.DemandSeq != 0 {
			a.lease, a.renewed = lease, sentAt
			b.decide(a, sentAt)
		}
	}
}

// take puts a share into force.
func (b *Borrower) take(now time.Time, a *account, o OrgShare, seq uint64) {
	rate := a.allowedRate(now, b.base(a))
	a.refill(now, rate, b.size(a, rate))
	a.seen, a.rate, a.concurrent = seq, o.Rate, o.Concurrent
	a.clamp(b.size(a, b.base(a)+a.rate))
	a.tokens += float64(o.Tokens)
}

// decide wakes those that wait for the answer to a demand.
func (b *Borrower) decide(a *account, sentAt time.Time) {
	if sentAt.Before(a.asked) {
		return
	}
	if !a.asked.IsZero() {
		a.short = a.tokens < float64(min(a.waiting, a.told.Waiting)) || a.concurrent < a.told.InFlight+a.told.Waiting
		a.asked = time.Time{}
		b.answered = append(b.answered, a.org)
	}
	a.waiting = 0
}
