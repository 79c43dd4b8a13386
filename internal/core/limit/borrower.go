package limit

import (
	"cmp"
	"math"
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
		settings: s, contracts: contracts,
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
	case a.inFlight >= a.allowedConcurrent(now, b.settings.FirstConcurrent):
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
	a := &account{org: org, home: b.zone.home(org), limit: l, measured: now, bucket: bucket{tokens: float64(min(b.settings.FirstTokens, l.Burst)), at: now}}
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
	return a.size(rate, min(b.settings.FirstTokens, a.limit.Burst))
}

// ask asks the home on behalf of a request, unless it answered just now or
// does not answer at all.
func (b *Borrower) ask(now time.Time, a *account) (wait time.Duration, undecided bool) {
	if !a.asked.IsZero() {
		a.waiting++
		wait = b.settings.AskTimeout - now.Sub(a.asked)
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
	return b.settings.AskTimeout, true
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
	var lease, sentAt time.Time
	if s.Answers != 0 {
		d, ok := b.sent[s.Answers]
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
		if s.Answers != 0 {
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

// Tick lets time pass.
func (b *Borrower) Tick(now time.Time) {
	b.now = now
	if now.Before(b.nextReport) {
		return
	}
	b.nextReport = now.Add(b.settings.ReportInterval)
	turn := b.nextTurn()
	var first []*account
	for org, a := range b.accounts {
		a.measure(now)
		a.limit, _ = b.contracts(org)
		switch {
		case b.idle(now, a):
			b.retire(now, a)
		case !turn[a.home]:
		case b.due(now, a):
			b.enqueue(a)
		case !a.leased(now) && a.inFlight > 0:
			first = append(first, a)
		}
	}
	b.reportFirst(first)
	for seq, d := range b.sent {
		if now.Sub(d.at) >= b.settings.LeaseFor {
			delete(b.sent, seq)
		}
	}
}

// homesPerInterval is how many homes are told of changes per report interval,
// in turn, so that reports to the same home travel together.
const homesPerInterval = 4

// nextTurn returns the homes whose turn it is.
func (b *Borrower) nextTurn() map[entity.InstanceID]bool {
	members := b.zone.members
	turn := make(map[entity.InstanceID]bool, homesPerInterval)
	for range min(homesPerInterval, len(members)) {
		b.turn++
		turn[members[b.turn%len(members)].ID] = true
	}
	return turn
}

// reportFirst reports accounts that live on the base, longest unreported first.
func (b *Borrower) reportFirst(first []*account) {
	slices.SortFunc(first, func(x, y *account) int {
		return cmp.Or(x.reported.Compare(y.reported), cmp.Compare(x.org, y.org))
	})
	for _, a := range first[:min(len(first), b.settings.FirstReports)] {
		b.enqueue(a)
	}
}

func (b *Borrower) idle(now time.Time, a *account) bool {
	return a.inFlight == 0 && now.Sub(a.used) >= b.settings.IdleAfter
}

// changeWorthTelling is the relative change of demand that is acted on before
// the renewal is due.
const changeWorthTelling = 0.2

// due reports whether a leased account must be told of to its home.
func (b *Borrower) due(now time.Time, a *account) bool {
	if !a.leased(now) || now.Sub(a.reported) < b.settings.ReportInterval {
		return false
	}
	if now.Sub(a.renewed) >= b.settings.RenewAfter || a.spare() > a.peak {
		return true
	}
	want := b.want(a)
	lacks := a.demand > a.rate+b.base(a) && a.demand > a.told.Rate*(1+changeWorthTelling)
	return lacks || a.rate > 2*want+1
}

// retire gives the share of an idle account back, and forgets the account
// once its first allowance has grown back.
func (b *Borrower) retire(now time.Time, a *account) {
	if a.holds(now) {
		a.rate, a.concurrent, a.demand = 0, 0, 0
		b.enqueue(a)
		return
	}
	base := b.base(a)
	a.refill(now, base, b.size(a, base))
	if a.tokens >= b.size(a, base) && !a.leased(now) && !a.queued {
		delete(b.accounts, a.org)
	}
}

// Ready hands out what is to be sent and starts a new batch.
func (b *Borrower) Ready() Ready {
	r := Ready{Answered: b.answered}
	b.answered = nil
	if len(b.queue) == 0 && len(b.complete) == 0 {
		return r
	}
	for _, home := range b.complete {
		r.Messages = append(r.Messages, b.demandTo(home, b.held(home), true))
	}
	b.complete = nil
	r.Messages = append(r.Messages, b.queued()...)
	return r
}

// held returns the accounts that hold or use something of a home.
func (b *Borrower) held(home entity.InstanceID) []*account {
	var out []*account
	for _, a := range b.accounts {
		if (a.inFlight > 0 || a.holds(b.now)) && a.home == home {
			out = append(out, a)
		}
	}
	sortAccounts(out)
	return out
}

// queued groups the queue by home, in order of home and organisation.
func (b *Borrower) queued() []Outgoing {
	byHome := make(map[entity.InstanceID][]*account)
	var homes []entity.InstanceID
	for _, a := range b.queue {
		if !a.queued {
			continue
		}
		home := a.home
		if home == "" {
			a.queued = false
			continue
		}
		if len(byHome[home]) == 0 {
			homes = append(homes, home)
		}
		byHome[home] = append(byHome[home], a)
	}
	b.queue = nil
	slices.Sort(homes)
	var out []Outgoing
	for _, home := range homes {
		sortAccounts(byHome[home])
		out = append(out, b.demandTo(home, byHome[home], false))
	}
	return out
}

func sortAccounts(accounts []*account) {
	slices.SortFunc(accounts, func(x, y *account) int { return cmp.Compare(x.org, y.org) })
}

func (b *Borrower) demandTo(home entity.InstanceID, accounts []*account, complete bool) Outgoing {
	b.seq++
	d := &Demand{Seq: b.seq, Members: b.zone.digest, Complete: complete}
	for _, a := range accounts {
		d.Orgs = append(d.Orgs, b.report(a))
	}
	b.sent[d.Seq] = demandSent{to: home, at: b.now}
	return Outgoing{To: home, Demand: d}
}

// headroom is what a borrower asks for beyond the demand it measured, so that
// neither growth nor chance makes it ask again at once.
const headroom = 1.25

// want returns the rate to ask for.
func (b *Borrower) want(a *account) float64 {
	return roundRate(max(a.demand*headroom+math.Sqrt(a.demand)-b.base(a), 0))
}

// rateSteps is how many steps a rate of one request a second has in messages.
const rateSteps = 100

// roundRate cuts a rate to what messages carry.
func roundRate(r float64) float64 { return math.Floor(r*rateSteps) / rateSteps }

// tokensWanted is the number of requests that wait, and as many again as came
// since the last report, so that a burst needs few asks.
func (b *Borrower) tokensWanted(a *account) int {
	if a.waiting == 0 {
		return 0
	}
	return a.waiting + min(a.arrived, a.limit.Burst)
}

// report states the demand of an account.
func (b *Borrower) report(a *account) OrgDemand {
	a.queued = false
	a.reported = b.now
	d := OrgDemand{Org: a.org, Seen: a.seen, Waiting: b.tokensWanted(a), InFlight: a.inFlight}
	d.Spare = a.peak - a.inFlight
	d.Rate = b.want(a)
	if a.leased(b.now) {
		d.HoldRate, d.HoldConcurrent = a.rate, a.concurrent
	}
	a.told = d
	a.told.Waiting = a.waiting
	return d
}
