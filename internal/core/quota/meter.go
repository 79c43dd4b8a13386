package quota

import (
	"math"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// aloneAfter is how long a meter goes on with what it was told last.
	aloneAfter = 800 * time.Millisecond
	// rateWindow is the time constant of the measured rates.
	rateWindow = 2 * time.Second
	// floorPart is the part of a limit that all instances together may use
	// beside what they have used lately, divided by their number.
	floorPart = 0.1
	// unknownInstances is assumed before the number of instances is known: more
	// than the deployments of today have.
	unknownInstances = 500
	// firstWordWithin is when callers are told to come back before the first
	// word of a coordinator: two of its bulletins.
	firstWordWithin = 400 * time.Millisecond
	// staleAfter is the age of the coordinator's word from which on an instance
	// spends no more than its share of the bucket.
	staleAfter = 300 * time.Millisecond
	// handoverTime is how long a zone's members and other zones may take to turn
	// to a new coordinator, some rounds of membership.
	handoverTime = 700 * time.Millisecond
	// urgentPart is the part of a limit's burst that is reported at once.
	urgentPart = 0.04
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Limit is an organisation's limit over all instances.
type Limit struct {
	// Rate is per second, Burst at once.
	Rate, Burst float64
}

// Usage is what a member reports.
type Usage struct {
	// Total is what was admitted since its start, Counted the part of it that
	// the coordinator was last known to have counted.
	Total   float64 `json:"t"`
	Counted float64 `json:"c"`
}

// Account is what the coordinator tells a member.
type Account struct {
	// Level is what the bucket holds; it may be below zero.
	Level float64 `json:"l"`
	// RefillRate is what comes in per second, GroupRate what all together use.
	RefillRate   float64 `json:"r"`
	GroupUseRate float64 `json:"g"`
	// Counted is the member's total that the level contains.
	Counted float64 `json:"c"`
}

// Meter admits the requests of one instance.
type Meter struct {
	accounts  map[entity.OrgID]*meterAccount
	heardAt   time.Time
	instances int
	// firstStart says that nothing was used before.
	firstStart bool
}

// meterAccount is one organisation at one instance.
type meterAccount struct {
	limit Limit
	total float64 // admitted since the start
	// level is this instance's copy of the bucket, as of at.
	level   float64
	at      time.Time
	told    Account
	rate    rate
	counted float64
	// before is this instance's rate when the coordinator spoke last: alone, it
	// must not grow by what is used meanwhile.
	before float64
	// reported is the total that was reported last.
	reported float64
	// spent is what was admitted since the coordinator's last word.
	spent float64
}

// NewMeter returns a meter that was told nothing yet.
func NewMeter(firstStart bool) *Meter {
	return &Meter{accounts: make(map[entity.OrgID]*meterAccount), instances: unknownInstances, firstStart: firstStart}
}

// Charge admits a request of the given cost, or says when to come back. The
// bucket must hold more than the reserve that is kept for higher ranks. One
// request may take it below zero, or those larger than what it holds would
// never be admitted. Before the first word of a coordinator none may: when all
// instances start anew, each would admit one.
func (m *Meter) Charge(now time.Time, org entity.OrgID, l Limit, cost, reserve float64) (ok bool, retryAfter time.Duration) {
	a := m.account(now, org, l)
	a.refill(now, m.alone(now), m.instances)
	if m.uninformed() && a.level < cost {
		return false, firstWordWithin
	}
	if a.spendable(now.Sub(m.heardAt), m.alone(now)) <= reserve {
		return false, a.wait(reserve)
	}
	a.spend(now, cost)
	return true, 0
}

const (
	// reservePart is the part of the burst that each rank leaves to the one above.
	reservePart = 0.1
	// reservedRanks is how many ranks leave something.
	reservedRanks = 2
)

// Reserve is what a request of a rank leaves in the bucket: an organisation
// over its limit gives up its lowest ranks first. Requests that name no tokens
// are small and leave nothing.
func (l Limit) Reserve(rank int, namesTokens bool) float64 {
	if !namesTokens {
		return 0
	}
	return float64(min(max(rank, 0), reservedRanks)) * reservePart * l.Burst
}

// Refund takes back the charge of a request that did not run.
func (m *Meter) Refund(now time.Time, org entity.OrgID, cost float64) {
	if a := m.accounts[org]; a != nil {
		a.spend(now, -cost)
	}
}

// Used returns what is to be reported.
func (m *Meter) Used() map[entity.OrgID]Usage {
	out := make(map[entity.OrgID]Usage, len(m.accounts))
	for org, a := range m.accounts {
		a.reported = a.total
		out[org] = Usage{Total: a.total, Counted: a.counted}
	}
	return out
}

// Urgent says that enough was admitted since the last report to tell at once.
func (m *Meter) Urgent() bool {
	for _, a := range m.accounts {
		if a.total-a.reported > urgentPart*a.limit.Burst {
			return true
		}
	}
	return false
}

// Level returns what this instance takes the bucket to hold.
func (m *Meter) Level(now time.Time, org entity.OrgID, l Limit) float64 {
	a := m.account(now, org, l)
	a.refill(now, m.alone(now), m.instances)
	return a.level
}

// HandoverLevel is what the bucket of a new coordinator begins with: its copy, less
// what the others use until it hears from all of them.
func (m *Meter) HandoverLevel(now time.Time, org entity.OrgID, l Limit) float64 {
	level := m.Level(now, org, l)
	return level - m.accounts[org].told.GroupUseRate*handoverTime.Seconds()
}

// ApplyAccounts takes in the coordinator's word. Of organisations that it does not
// speak of, much is left.
func (m *Meter) ApplyAccounts(now time.Time, accounts map[entity.OrgID]Account, instances int) {
	first := m.uninformed()
	m.heardAt = now
	m.instances = max(1, instances)
	for org, told := range accounts {
		a := m.accounts[org]
		if a == nil {
			a = &meterAccount{rate: rate{at: now}}
			m.accounts[org] = a
		}
		a.adopt(now, told)
	}
	if !first {
		return
	}
	for org, a := range m.accounts {
		if _, told := accounts[org]; !told {
			a.level = a.limit.Burst / float64(m.instances)
		}
	}
}

// adopt takes in the coordinator's word on one organisation.
func (a *meterAccount) adopt(now time.Time, told Account) {
	a.told, a.counted, a.at = told, told.Counted, now
	a.rate.decay(now)
	a.before = a.rate.value
	a.spent = a.total - told.Counted
	a.level = told.Level - a.spent
}

// uninformed says that the instance has started anew, among others that may
// have used all, and no coordinator has told it what is left.
func (m *Meter) uninformed() bool { return m.heardAt.IsZero() && !m.firstStart }

func (m *Meter) alone(now time.Time) bool {
	return m.heardAt.IsZero() || now.Sub(m.heardAt) > aloneAfter
}

func (m *Meter) account(now time.Time, org entity.OrgID, l Limit) *meterAccount {
	a := m.accounts[org]
	if a == nil {
		a = &meterAccount{at: now}
		switch {
		case m.firstStart:
			a.level = l.Burst
		case !m.uninformed():
			a.level = l.Burst / float64(m.instances)
		}
		a.rate.at = now
		a.told = Account{RefillRate: l.Rate}
		m.accounts[org] = a
	}
	a.limit = l
	a.level = min(a.level, l.Burst)
	return a
}

// refill adds what came in since the last call. An instance that is alone
// adds no more than it used to use, and saves up no more than its part.
func (a *meterAccount) refill(now time.Time, alone bool, instances int) {
	d := now.Sub(a.at).Seconds()
	if d <= 0 {
		return
	}
	a.at = now
	in, most := min(a.told.RefillRate, a.limit.Rate), a.limit.Burst
	if alone {
		in = min(in, a.before+floorPart*a.limit.Rate/float64(instances))
		most *= a.shareBefore(instances)
	}
	a.level = min(a.level+in*d, most)
}

// shareBefore is the part of the bucket that an instance has which is alone:
// what it used of all before, or else an equal part. The whole burst may be
// used by each of those that are cut off, and by the others once more.
func (a *meterAccount) shareBefore(instances int) float64 {
	equal := 1 / float64(instances)
	if a.told.GroupUseRate <= 0 {
		return equal
	}
	return min(1, max(equal, a.before/a.told.GroupUseRate))
}

// share is this instance's part of what all use.
func (a *meterAccount) share() float64 {
	if a.told.GroupUseRate <= 0 {
		return 1
	}
	return min(1, a.rate.value/a.told.GroupUseRate)
}

// spendable is what this instance may admit now, above zero for one more
// request. With an old word it leaves the others their share.
func (a *meterAccount) spendable(age time.Duration, alone bool) float64 {
	if alone || age < staleAfter || a.level <= 0 {
		return a.level
	}
	return (a.level+a.spent)*a.share() - a.spent
}

func (a *meterAccount) spend(now time.Time, cost float64) {
	a.total += cost
	a.level -= cost
	a.spent += cost
	a.rate.add(now, cost)
}

// wait is when the bucket holds more than the reserve again.
func (a *meterAccount) wait(reserve float64) time.Duration {
	if a.limit.Rate <= 0 {
		return maxRetryAfter
	}
	d := time.Duration((reserve - a.level) / a.limit.Rate * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// rate measures use per second, the latest weighing most.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.decay(now)
	r.value = max(0, r.value+amount/rateWindow.Seconds())
}

func (r *rate) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		r.value *= math.Exp(-d.Seconds() / rateWindow.Seconds())
		r.at = now
	}
}
