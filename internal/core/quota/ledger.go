package quota

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// memberSilentAfter is when a member counts as cut off, zoneSilentAfter
	// when a zone does.
	memberSilentAfter = 600 * time.Millisecond
	zoneSilentAfter   = 700 * time.Millisecond
	// forgetAfter is how long what a silent party used before is still deducted.
	forgetAfter = 30 * time.Second
	// recountInterval is how long sums over all parties stand, which would else
	// be worked out for each organisation in each report.
	recountInterval = 20 * time.Millisecond
)

// Ledger keeps the buckets of the organisations at a coordinator.
type Ledger struct {
	limits  map[entity.OrgID]Limit
	buckets map[entity.OrgID]*bucket
	members map[string]*party
	zones   map[string]*party
	// counted is how many instances are in reach, as of countedAt.
	counted   reach
	countedAt time.Time
	// seed is asked for the level of a bucket that is opened.
	seed func(now time.Time, org entity.OrgID, l Limit) float64
}

// bucket is one organisation's.
type bucket struct {
	level float64
	at    time.Time
	// zoneTotal is what the zone's members have used since the ledger was opened.
	zoneTotal float64
	// told is the total that other zones were told last.
	told float64
	// flow is what comes in and is used, as of flowAt and of that reach.
	flow   flow
	flowAt time.Time
	flowOf reach
}

// flow is what this side may use of a limit per second, and what it does use.
type flow struct{ in, group float64 }

// NewLedger returns a ledger without entries.
func NewLedger(seed func(now time.Time, org entity.OrgID, l Limit) float64) *Ledger {
	return &Ledger{
		limits: make(map[entity.OrgID]Limit), buckets: make(map[entity.OrgID]*bucket),
		members: make(map[string]*party), zones: make(map[string]*party), seed: seed,
	}
}

// SetLimits replaces the limits.
func (l *Ledger) SetLimits(limits map[entity.OrgID]Limit) { l.limits = limits }

// HandleMemberReport takes in a member's report. Of an organisation that its process has
// not named before, the member says what was counted elsewhere.
func (l *Ledger) HandleMemberReport(now time.Time, p Reporter, used map[entity.OrgID]Usage) {
	m, of, _, first := partyOf(l.members, now, p, memberSilentAfter)
	r := l.reach(now, first)
	for org, u := range used {
		b := l.bucket(now, org, r)
		if b == nil {
			continue
		}
		counted, known := of.totals[org]
		if !known {
			counted = u.Counted
		}
		of.totals[org] = u.Total
		b.take(now, m.useOf(now, org), u.Total-counted, r)
		b.zoneTotal += u.Total - counted
	}
}

// HandleZoneReport takes in what the coordinator of another zone reports: what its zone
// has used since that ledger was opened. That is all new where another ledger of
// the zone was known before, and unknown where none was.
func (l *Ledger) HandleZoneReport(now time.Time, p Reporter, used map[entity.OrgID]float64) {
	z, of, known, first := partyOf(l.zones, now, p, zoneSilentAfter)
	r := l.reach(now, first)
	for org, total := range used {
		b := l.bucket(now, org, r)
		if b == nil {
			continue
		}
		if first && !known {
			of.totals[org] = total
		}
		b.take(now, z.useOf(now, org), total-of.totals[org], r)
		of.totals[org] = total
	}
}

// take takes from the bucket what a party has used since its last report. The
// party's rate is remembered while this side reaches most instances.
func (b *bucket) take(now time.Time, use *partyUse, amount float64, r reach) {
	b.level -= amount
	use.rate.add(now, amount)
	if r.most() {
		use.before = use.rate.value
	}
}

// lowPart is the part of its burst below which a bucket is told to all members.
const lowPart = 0.5

// Accounts returns what a member is told: of the organisations that it has
// reported, and of those whose buckets are low.
func (l *Ledger) Accounts(now time.Time, member string) map[entity.OrgID]Account {
	m := l.members[member]
	if m == nil {
		return nil
	}
	r := l.reach(now, false)
	totals := m.processes[m.Process].totals
	out := make(map[entity.OrgID]Account, len(totals))
	for org := range l.buckets {
		b := l.bucket(now, org, r)
		if b == nil {
			continue
		}
		counted, known := totals[org]
		if !known && b.level >= lowPart*l.limits[org].Burst {
			continue
		}
		f := l.flowOf(now, org, b, r)
		out[org] = Account{Level: b.level, RefillRate: f.in, GroupUseRate: f.group, Counted: counted}
	}
	return out
}

// ZoneTotals returns what the zone has used, for other zones.
func (l *Ledger) ZoneTotals() map[entity.OrgID]float64 {
	out := make(map[entity.OrgID]float64, len(l.buckets))
	for org, b := range l.buckets {
		b.told = b.zoneTotal
		out[org] = b.zoneTotal
	}
	return out
}

// Urgent says that enough was used since then to tell other zones at once.
func (l *Ledger) Urgent() bool {
	for org, b := range l.buckets {
		if b.zoneTotal-b.told > urgentPart*l.limits[org].Burst {
			return true
		}
	}
	return false
}

// Instances returns how many instances are known, in reach or not.
func (l *Ledger) Instances(now time.Time) int {
	return l.reach(now, false).all()
}

// bucket returns an organisation's bucket, filled up to now; nil without a limit.
func (l *Ledger) bucket(now time.Time, org entity.OrgID, r reach) *bucket {
	limit, ok := l.limits[org]
	if !ok {
		return nil
	}
	b := l.buckets[org]
	if b == nil {
		b = &bucket{level: l.seed(now, org, limit), at: now}
		l.buckets[org] = b
	}
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.level += l.flowOf(now, org, b, r).in * d
		b.at = now
	}
	b.level = min(b.level, limit.Burst*r.part())
	return b
}

// flowOf returns an organisation's flow, worked out anew where it is old.
func (l *Ledger) flowOf(now time.Time, org entity.OrgID, b *bucket, r reach) flow {
	if b.flowAt.IsZero() || b.flowOf != r || now.Sub(b.flowAt) >= recountInterval {
		b.flow, b.flowAt, b.flowOf = l.inflow(now, org, r), now, r
	}
	return b.flow
}

// inflow works out an organisation's flow.
func (l *Ledger) inflow(now time.Time, org entity.OrgID, r reach) flow {
	limit := l.limits[org]
	floor := floorPart * limit.Rate / float64(max(1, r.all()))
	var groupUse, cutUse, before float64
	for _, parties := range []map[string]*party{l.members, l.zones} {
		for _, p := range parties {
			silent, gone := p.silent(now)
			part := floor * float64(p.Instances)
			use := p.use(org, now, silent) + part
			switch {
			case gone:
			case silent:
				cutUse += use
			default:
				groupUse += use
				before += p.before(org) + part
			}
		}
	}
	switch {
	case r.cut == 0:
		return flow{in: limit.Rate, group: groupUse}
	case r.most():
		return flow{in: max(0, limit.Rate-cutUse), group: groupUse}
	}
	return flow{in: min(limit.Rate, before), group: groupUse}
}
