package quota

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// isolatedAfter is how long a meter relies on the last accounts of the
	// coordinator.
	isolatedAfter = 800 * time.Millisecond
	// rateWindow is the time constant of the rate estimates.
	rateWindow = 2 * time.Second
	// headroomFraction is the fraction of a limit that all instances together may
	// use in addition to their recent use, divided equally among them.
	headroomFraction = 0.1
	// assumedInstances is used before the number of instances is known. It
	// exceeds the size of existing deployments.
	assumedInstances = 500
	// startPeriod is how long after the start of a process other instances are expected
	// that it has not heard of: all may have restarted, and find each other only then.
	startPeriod = 5 * time.Second
	// firstAccountsWait is the retry time for callers that are refused because
	// the coordinator's first accounts have not arrived: twice the interval at
	// which members report and get accounts in response, zone.ReportInterval.
	firstAccountsWait = 400 * time.Millisecond
	// staleAfter is the age of the coordinator's accounts from which on an
	// instance spends no more than its share of the bucket.
	staleAfter = 300 * time.Millisecond
	// handoverTime is how long a zone's members and other zones may take to
	// switch to a new coordinator: a few rounds of the membership protocol.
	handoverTime = 700 * time.Millisecond
	// urgentFraction is the fraction of a limit's burst whose use is reported at
	// once, and unreportedFraction the fraction that all instances together may use
	// before that: the more there are, the earlier each reports.
	urgentFraction     = 0.04
	unreportedFraction = 0.25
	// minRetryAfter and maxRetryAfter bound the retry times of refused callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Limit is an organisation's limit over all instances.
type Limit struct {
	// Rate is per second, Burst the most that may be used at once.
	Rate, Burst float64
	// Window, if set, is the time over which the limit is judged: no window of this length may
	// have more than Rate x Window + Burst, and what is within that is granted.
	Window time.Duration
}

// Usage is a member's report on one organisation.
type Usage struct {
	// Total is what was admitted since the member's start, Counted the part of it
	// that the coordinator had counted according to its last accounts.
	Total   float64 `json:"t"`
	Counted float64 `json:"c"`
}

// Account is the state of an organisation's bucket, sent by the coordinator to a
// member.
type Account struct {
	// Level is the content of the bucket; it may be negative.
	Level float64 `json:"l"`
	// RefillRate is the refill per second, GroupUseRate the use per second of all
	// reachable instances.
	RefillRate   float64 `json:"r"`
	GroupUseRate float64 `json:"g"`
	// Counted is the member's total up to which its use is deducted from Level, or
	// notReported: the coordinator has taken over, and the one before has counted all.
	Counted float64 `json:"c"`
	// Used is all that the ledger has counted of a limit with a window, from all instances: what
	// members need to know of the past when one of them becomes the coordinator. 0 otherwise.
	Used float64 `json:"u,omitempty"`
}

// notReported is Account.Counted of an organisation that the member has not reported to
// this coordinator.
const notReported = -1

// Meter admits the requests of one instance.
type Meter struct {
	startedAt      time.Time
	accounts       map[entity.OrgID]*meterAccount
	lastAccountsAt time.Time
	instances      int
	// listed is the number of instances that are registered, assumedInstances before it
	// is known.
	listed int
	// firstStart is set if nothing was used before this instance started.
	firstStart bool
}

// NewMeter returns a meter of a process that starts now. firstStart states that nothing was
// used before, so that buckets start full.
func NewMeter(now time.Time, firstStart bool) *Meter {
	return &Meter{startedAt: now, accounts: make(map[entity.OrgID]*meterAccount), instances: assumedInstances, listed: assumedInstances, firstStart: firstStart}
}

// SetListedInstances sets the number of registered instances, including some that may not
// run any more.
func (m *Meter) SetListedInstances(n int) { m.listed = max(1, n) }

// starting reports whether all instances may have restarted a moment ago, each with a
// view of a few others.
func (m *Meter) starting(now time.Time) bool {
	return !m.firstStart && now.Sub(m.startedAt) < startPeriod
}

// ExpectedInstances returns the number of instances among which the limits are divided
// although this one has not heard of them yet, 0 if there is no such number.
func (m *Meter) ExpectedInstances(now time.Time) int {
	if !m.starting(now) {
		return 0
	}
	return m.listed
}

// firstShare returns the fraction of a limit that an instance may use on its own after a
// restart. All instances may have restarted, and know only a few others at first.
func (m *Meter) firstShare() float64 { return 1 / float64(max(m.instances, m.listed)) }

// Charge admits a request of the given cost, or returns when to retry. The level
// must hold half of the cost beyond the reserve, which is kept for higher ranks.
// Without that, a large request would overdraw the bucket by all of its cost, and the
// small ones after it would be refused although they are within the limit; with all
// of the cost required, large requests would be refused as long as small ones come.
// After a restart no overdraft is allowed until the coordinator's first accounts
// arrive: if all instances restarted, each would admit one such request.
func (m *Meter) Charge(now time.Time, org entity.OrgID, l Limit, cost, reserve float64) (ok bool, retryAfter time.Duration) {
	a := m.account(now, org, l)
	a.refill(now, m.isolated(now), m.instances)
	if m.AwaitsFirstAccounts() && a.level < cost {
		return false, firstAccountsWait
	}
	required := m.required(now, a, cost, reserve)
	if a.spendable(now.Sub(m.lastAccountsAt), m.isolated(now)) < required {
		return false, a.retryAfter(required)
	}
	a.spend(now, cost)
	return true, 0
}

// required returns the level that a request of the given cost needs.
func (m *Meter) required(now time.Time, a *meterAccount, cost, reserve float64) float64 {
	return reserve + min(cost/2, a.maxRequired(m.isolated(now), m.instances))
}

const (
	// reserveFraction is the fraction of the burst that each rank reserves for
	// the one above.
	reserveFraction = 0.1
	// reservedRanks is the number of ranks that reserve something.
	reservedRanks = 2
)

// Reserve returns the level that a request of a rank must leave in the bucket, so
// that the lowest ranks of an organisation over its limit are refused first.
// Requests that state no number of tokens are small and reserve nothing.
func (l Limit) Reserve(rank int, statesTokens bool) float64 {
	if !statesTokens {
		return 0
	}
	return float64(min(max(rank, 0), reservedRanks)) * reserveFraction * l.Burst
}

// Refund reverses the charge of a request that did not run.
func (m *Meter) Refund(now time.Time, org entity.OrgID, cost float64) {
	if a := m.accounts[org]; a != nil {
		a.spend(now, -cost)
	}
}

// Used returns the usage to report, and marks it as reported. What the coordinator has
// counted is omitted: reports state totals, so that a lost report or account is made up for
// by the next one.
func (m *Meter) Used() map[entity.OrgID]Usage {
	out := make(map[entity.OrgID]Usage)
	for org, a := range m.accounts {
		a.reported = a.total
		if a.total != a.counted || !a.answered {
			out[org] = Usage{Total: a.total, Counted: a.counted}
		}
	}
	return out
}

// LedgerChanged tells the meter that the next accounts come from another ledger, which may
// know nothing of its organisations: all are reported once more, and until the ledger has
// answered, its silence says nothing about them.
func (m *Meter) LedgerChanged() {
	for _, a := range m.accounts {
		a.answered, a.usedKnown = false, false
	}
}

// Urgent reports whether enough was admitted since the last report to report at
// once.
func (m *Meter) Urgent() bool {
	fraction := min(urgentFraction, unreportedFraction/float64(m.instances))
	for _, a := range m.accounts {
		if a.total-a.reported > fraction*a.limit.Burst {
			return true
		}
	}
	return false
}

// Level returns this instance's estimate of the bucket's level.
func (m *Meter) Level(now time.Time, org entity.OrgID, l Limit) float64 {
	a := m.account(now, org, l)
	a.refill(now, m.isolated(now), m.instances)
	return a.level
}

// HandoverLevel returns the initial level of a bucket at a new coordinator: the
// local estimate, less what the other instances use until their reports reach the
// new coordinator.
func (m *Meter) HandoverLevel(now time.Time, org entity.OrgID, l Limit) float64 {
	level := m.Level(now, org, l)
	return level - m.accounts[org].received.GroupUseRate*handoverTime.Seconds()
}

// HandoverWindow returns what this instance knows of the use within the limit's window, for the
// bucket of a new coordinator; nil if nothing.
func (m *Meter) HandoverWindow(now time.Time, org entity.OrgID) *UseWindow {
	a := m.accounts[org]
	if a == nil || a.window == nil {
		return nil
	}
	w := *a.window
	w.add(now, a.received.GroupUseRate*handoverTime.Seconds())
	return &w
}

// ApplyAccounts processes the coordinator's accounts. Organisations that they omit have at
// least lowLevelFraction of their burst left, and nothing of their use was reported that is
// not counted yet; if these are the first accounts after a restart, the meter starts with an
// equal share of the burst.
func (m *Meter) ApplyAccounts(now time.Time, accounts map[entity.OrgID]Account, instances int) {
	first := m.AwaitsFirstAccounts()
	m.lastAccountsAt = now
	m.instances = max(1, instances)
	for org, account := range accounts {
		a := m.accounts[org]
		if a == nil {
			a = &meterAccount{rate: rate{at: now}}
			m.accounts[org] = a
		}
		a.apply(now, account)
	}
	for org, a := range m.accounts {
		if _, stated := accounts[org]; stated {
			continue
		}
		if first {
			a.level = m.firstShare() * a.limit.Burst
			continue
		}
		a.applyOmitted(now)
	}
}

// AwaitsFirstAccounts reports whether the instance has restarted, so that other
// instances may have used up the limits, and has not yet received a coordinator's
// accounts.
func (m *Meter) AwaitsFirstAccounts() bool { return m.lastAccountsAt.IsZero() && !m.firstStart }

func (m *Meter) isolated(now time.Time) bool {
	return m.lastAccountsAt.IsZero() || now.Sub(m.lastAccountsAt) > isolatedAfter
}

// account returns the state of an organisation with the limit in force, created if it is
// new.
func (m *Meter) account(now time.Time, org entity.OrgID, l Limit) *meterAccount {
	a := m.accounts[org]
	if a == nil {
		a = m.newAccount(now, l)
		m.accounts[org] = a
	}
	a.limit = l
	a.level = min(a.level, l.Burst)
	return a
}

// newAccount returns the state of an organisation that this instance has not used before.
// Once the coordinator's accounts come, they would state a bucket that is low.
func (m *Meter) newAccount(now time.Time, l Limit) *meterAccount {
	a := &meterAccount{at: now, rate: rate{at: now}, received: Account{RefillRate: l.Rate}}
	switch {
	case m.firstStart:
		a.level = l.Burst
	case m.starting(now):
		a.received.RefillRate *= m.firstShare()
		if !m.AwaitsFirstAccounts() {
			a.level = m.firstShare() * l.Burst
		}
	case m.isolated(now):
		a.level = m.firstShare() * l.Burst
	default:
		a.level = lowLevelFraction * l.Burst
	}
	return a
}
