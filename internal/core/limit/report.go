package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Tick advances time to now: once per report interval it selects the accounts to
// be reported and releases idle ones.
func (b *Borrower) Tick(now time.Time) {
	b.now = now
	if now.Before(b.nextReport) {
		return
	}
	b.nextReport = now.Add(b.settings.ReportInterval)
	turn := b.homesInTurn()
	var unleased []*account
	for org, a := range b.accounts {
		a.measure(now)
		a.limit, _ = b.contracts(org)
		switch {
		case b.idle(now, a):
			b.releaseIdle(now, a)
		case !turn[a.home]:
		case b.reportDue(now, a):
			b.enqueue(a)
		case !a.leased(now) && a.inFlight > 0:
			unleased = append(unleased, a)
		}
	}
	b.reportUnleased(unleased)
	for seq, d := range b.sent {
		if now.Sub(d.at) >= b.settings.LeaseFor {
			delete(b.sent, seq)
		}
	}
}

// homesPerInterval is how many homes are sent changes per report interval, in
// turn, so that reports to the same home share one message.
const homesPerInterval = 4

// homesInTurn returns the homes whose turn it is in this report interval.
func (b *Borrower) homesInTurn() map[entity.InstanceID]bool {
	members := b.zone.members
	turn := make(map[entity.InstanceID]bool, homesPerInterval)
	for range min(homesPerInterval, len(members)) {
		b.turns++
		turn[members[b.turns%len(members)].ID] = true
	}
	return turn
}

// reportUnleased queues up to UnleasedReports accounts that have no share, the
// longest unreported first.
func (b *Borrower) reportUnleased(unleased []*account) {
	slices.SortFunc(unleased, func(x, y *account) int {
		return cmp.Or(x.reportedAt.Compare(y.reportedAt), cmp.Compare(x.org, y.org))
	})
	for _, a := range unleased[:min(len(unleased), b.settings.UnleasedReports)] {
		b.enqueue(a)
	}
}

func (b *Borrower) idle(now time.Time, a *account) bool {
	return a.inFlight == 0 && now.Sub(a.usedAt) >= b.settings.IdleAfter
}

// significantChange is the relative change of demand, or excess over a fair
// share, that is acted on before the renewal is due.
const significantChange = 0.2

// reportDue reports whether a leased account must be reported to its home: for
// renewal, because it leaves much of its share unused, or because its demand
// has outgrown the share.
func (b *Borrower) reportDue(now time.Time, a *account) bool {
	if !a.leased(now) || now.Sub(a.reportedAt) < b.settings.ReportInterval {
		return false
	}
	if now.Sub(a.renewedAt) >= b.settings.RenewAfter || a.unusedConcurrent() > a.peak {
		return true
	}
	wanted := b.wantedRate(a)
	lacks := a.demand > a.rate+b.base(a) && a.demand > a.lastReport.Rate*(1+significantChange)
	return lacks || a.rate > 2*wanted+1
}

// releaseIdle releases the share of an idle account, and deletes the account
// once its bucket is full again.
func (b *Borrower) releaseIdle(now time.Time, a *account) {
	if a.holdsShare(now) {
		a.rate, a.concurrent, a.demand = 0, 0, 0
		b.enqueue(a)
		return
	}
	base := b.base(a)
	a.refill(now, base, b.bucketSize(a, base))
	if a.tokens >= b.bucketSize(a, base) && !a.leased(now) && !a.queued {
		delete(b.accounts, a.org)
	}
}

// Ready returns the demands to be sent and the organisations answered since the
// last call.
func (b *Borrower) Ready() Ready {
	r := Ready{Answered: b.answered}
	b.answered = nil
	if len(b.queue) == 0 && len(b.completeFor) == 0 {
		return r
	}
	for _, home := range b.completeFor {
		r.Messages = append(r.Messages, b.demandTo(home, b.accountsOf(home), true))
	}
	b.completeFor = nil
	r.Messages = append(r.Messages, b.queuedDemands()...)
	return r
}

// accountsOf returns the accounts of a home that hold a share or have requests
// in flight, by organisation.
func (b *Borrower) accountsOf(home entity.InstanceID) []*account {
	var out []*account
	for _, a := range b.accounts {
		if (a.inFlight > 0 || a.holdsShare(b.now)) && a.home == home {
			out = append(out, a)
		}
	}
	sortAccounts(out)
	return out
}

// queuedDemands empties the queue into one demand per home, ordered by home and
// organisation.
func (b *Borrower) queuedDemands() []Outgoing {
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
	b.sent[d.Seq] = sentDemand{to: home, at: b.now}
	return Outgoing{To: home, Demand: d}
}

// headroom is the factor by which a borrower asks for more than the demand it
// measured, so that neither growth nor random variation makes it ask again at
// once.
const headroom = 1.25

// wantedRate returns the rate to ask for, beyond the base.
func (b *Borrower) wantedRate(a *account) float64 {
	return roundRate(max(a.demand*headroom+math.Sqrt(a.demand)-b.base(a), 0))
}

// rateSteps is the resolution of rates in messages: the steps per request per second.
const rateSteps = 100

// roundRate rounds a rate down to the resolution of messages.
func roundRate(r float64) float64 { return math.Floor(r*rateSteps) / rateSteps }

// wantedTokens returns 0 if no request waits, otherwise the number of requests that
// wait plus the number decided in this report interval, the latter up to the burst,
// so that a burst needs few demands.
func (b *Borrower) wantedTokens(a *account) int {
	if a.waiting == 0 {
		return 0
	}
	return a.waiting + min(a.arrived, a.limit.Burst)
}

// report returns the demand of an account and records it as sent.
func (b *Borrower) report(a *account) OrgDemand {
	a.queued = false
	a.reportedAt = b.now
	d := OrgDemand{Org: a.org, ShareSeq: a.shareSeq, Waiting: b.wantedTokens(a), InFlight: a.inFlight}
	d.PeakExcess = a.peak - a.inFlight
	d.Rate = b.wantedRate(a)
	if a.leased(b.now) {
		d.HeldRate, d.HeldConcurrent = a.rate, a.concurrent
	}
	a.lastReport = d
	a.lastReport.Waiting = a.waiting
	return d
}
