package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

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
	for _, a := range first[:min(len(first), b.settings.UnleasedReports)] {
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
	d := &Demand{Seq: b.seq, MembersDigest: b.zone.digest, Complete: complete}
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
	d := OrgDemand{Org: a.org, ShareSeq: a.seen, Waiting: b.tokensWanted(a), InFlight: a.inFlight}
	d.PeakExcess = a.peak - a.inFlight
	d.Rate = b.want(a)
	if a.leased(b.now) {
		d.HeldRate, d.HeldConcurrent = a.rate, a.concurrent
	}
	a.told = d
	a.told.Waiting = a.waiting
	return d
}
