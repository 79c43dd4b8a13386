package limit

import (
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Borrower admits requests on one instance within the shares that homes lend.
type Borrower struct {
	settings  Settings
	contracts Contracts
	zone      zone
	accounts  map[entity.OrgID]*account
	// queue lists the accounts to be reported with the next Ready.
	queue []*account
	// completeFor lists the homes that must be sent a complete demand.
	completeFor []entity.InstanceID
	seq         uint64
	sent        map[uint64]sentDemand
	nextReport  time.Time
	// turns counts the turns given to homes so far, see homesInTurn.
	turns    int
	answered []entity.OrgID
	now      time.Time
}

// sentDemand records a demand until it is answered or the lease that an answer
// would give has expired.
type sentDemand struct {
	to entity.InstanceID
	at time.Time
}

// NewBorrower returns a borrower that holds no shares.
func NewBorrower(s Settings, contracts Contracts) *Borrower {
	return &Borrower{
		settings: s, contracts: contracts, zone: newZone(Zone{}),
		accounts: make(map[entity.OrgID]*account), sent: make(map[uint64]sentDemand),
	}
}

// Admit admits one request of an organisation, or returns why it is not admitted
// and when to try again. ReasonNone means undecided, see the package comment.
func (b *Borrower) Admit(now time.Time, org entity.OrgID) (ok bool, reason verdict.Reason, retryAfter time.Duration) {
	a := b.accounts[org]
	if a == nil {
		if a = b.openAccount(now, org); a == nil {
			return false, verdict.ReasonUnauthenticated, 0
		}
	}
	b.now = now
	a.usedAt = now
	rate := a.allowedRate(now, b.base(a))
	a.refill(now, rate, b.bucketSize(a, rate))
	if !a.leased(now) {
		a.clamp(b.bucketSize(a, rate))
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
	if wait, undecided := b.askHome(now, a); undecided {
		return false, verdict.ReasonNone, wait
	}
	a.arrived++
	return false, reason, retryAfter
}

// Done ends a request that Admit admitted.
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

// openAccount creates an account with the unleased allowance. It returns nil if
// the organisation has no contract.
func (b *Borrower) openAccount(now time.Time, org entity.OrgID) *account {
	l, ok := b.contracts(org)
	if !ok {
		return nil
	}
	a := &account{org: org, home: b.zone.home(org), limit: l, measuredAt: now, bucket: bucket{tokens: float64(min(b.settings.UnleasedTokens, l.Burst)), at: now}}
	if l.Rate <= 0 {
		a.tokens = 0
	}
	b.accounts[org] = a
	return a
}

// base returns the rate that each instance may use without a share.
func (b *Borrower) base(a *account) float64 {
	return a.limit.Rate * b.settings.BaseFraction / float64(b.zone.fleetSize)
}

func (b *Borrower) bucketSize(a *account, rate float64) float64 {
	return a.bucketSize(rate, min(b.settings.UnleasedTokens, a.limit.Burst))
}

// askHome queues a demand on behalf of a request and returns how long to wait
// for the answer. The request is decided without an answer if there is no home, if
// the home has just granted less than was demanded, or if its answer is overdue.
func (b *Borrower) askHome(now time.Time, a *account) (wait time.Duration, undecided bool) {
	if a.home == "" {
		return 0, false
	}
	if !a.demandQueuedAt.IsZero() {
		a.waiting++
		wait = b.settings.DemandTimeout - now.Sub(a.demandQueuedAt)
		if wait > 0 {
			return wait, true
		}
		if now.Sub(a.demandQueuedAt) < b.settings.ReportInterval {
			return 0, false
		}
	}
	if a.insufficient && now.Sub(a.reportedAt) < b.settings.ReportInterval {
		return 0, false
	}
	a.waiting = 1
	a.demandQueuedAt = now
	b.enqueue(a)
	return b.settings.DemandTimeout, true
}

func (b *Borrower) enqueue(a *account) {
	if !a.queued {
		a.queued = true
		b.queue = append(b.queue, a)
	}
}

// SetZone applies a change of the membership view. Members that may have become the
// home of an organisation are sent a complete demand.
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
			a.shareSeq = 0
			a.demandQueuedAt = time.Time{}
		}
	}
	b.completeFor = b.possibleNewHomes(&before)
}

// possibleNewHomes returns the members that may have become the home of an
// organisation, including those that are still to be sent a complete demand.
func (b *Borrower) possibleNewHomes(before *zone) []entity.InstanceID {
	lost := b.zone.lostMember(before)
	var out []entity.InstanceID
	for _, m := range b.zone.members {
		old := slices.ContainsFunc(before.members, func(o entity.Instance) bool { return o.ID == m.ID && !o.Leaving })
		if !m.Leaving && (lost || !old || slices.Contains(b.completeFor, m.ID)) {
			out = append(out, m.ID)
		}
	}
	return out
}

// Step processes a share. An answer to a demand that is not known, or that was
// sent to another instance, is ignored.
func (b *Borrower) Step(now time.Time, from entity.InstanceID, s Share) {
	b.now = now
	if s.RequestComplete && b.zone.has(from) && !slices.Contains(b.completeFor, from) {
		b.completeFor = append(b.completeFor, from)
	}
	var leaseEnd, sentAt time.Time
	if s.DemandSeq != 0 {
		d, ok := b.sent[s.DemandSeq]
		if !ok || d.to != from {
			return
		}
		sentAt, leaseEnd = d.at, d.at.Add(b.settings.LeaseFor)
	}
	for _, o := range s.Orgs {
		a := b.accounts[o.Org]
		if a == nil || s.Seq <= a.shareSeq || a.home != from {
			continue
		}
		o.sanitise()
		b.applyShare(now, a, o, s.Seq)
		if s.DemandSeq != 0 {
			a.leaseEnd, a.renewedAt = leaseEnd, sentAt
			b.demandAnswered(a, sentAt)
		}
	}
}

// applyShare puts a share into force.
func (b *Borrower) applyShare(now time.Time, a *account, o OrgShare, seq uint64) {
	rate := a.allowedRate(now, b.base(a))
	a.refill(now, rate, b.bucketSize(a, rate))
	a.shareSeq, a.rate, a.concurrent = seq, o.Rate, o.Concurrent
	a.clamp(b.bucketSize(a, b.base(a)+a.rate))
	a.tokens += float64(o.Tokens)
}

// demandAnswered lists the account in Ready.Answered if requests wait for the
// answer to the demand sent at sentAt.
func (b *Borrower) demandAnswered(a *account, sentAt time.Time) {
	if sentAt.Before(a.demandQueuedAt) {
		return
	}
	if !a.demandQueuedAt.IsZero() {
		a.insufficient = a.tokens < float64(min(a.waiting, a.lastReport.Waiting)) || a.concurrent < a.lastReport.InFlight+a.lastReport.Waiting
		a.demandQueuedAt = time.Time{}
		b.answered = append(b.answered, a.org)
	}
	a.waiting = 0
}
