package quota

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// memberTimeout is the time without a report after which a member counts as
	// unreachable, zoneTimeout the same for a zone.
	memberTimeout = 600 * time.Millisecond
	zoneTimeout   = 700 * time.Millisecond
	// usageRetention is how long the last known use of an unreachable reporter is
	// deducted.
	usageRetention = 30 * time.Second
	// recomputeInterval is how long sums over all reporters are reused. Otherwise
	// they would be computed for each organisation in each report.
	recomputeInterval = 20 * time.Millisecond
)

// Ledger keeps the token buckets of the organisations at a coordinator.
type Ledger struct {
	limits  map[entity.OrgID]Limit
	buckets map[entity.OrgID]*bucket
	members map[string]*reporterState
	zones   map[string]*reporterState
	// expected is the number of instances that may run, heard of or not, 0 if unknown.
	expected int
	// lastReach is the count of reachable instances as of lastReachAt.
	lastReach   reach
	lastReachAt time.Time
	// initialLevel returns the level of a bucket that is created.
	initialLevel func(now time.Time, org entity.OrgID, l Limit) float64
	// past returns what is known of the use of a limit before this ledger, nil if nothing.
	past func(now time.Time, org entity.OrgID) *UseWindow
}

// bucket is the token bucket of one organisation.
type bucket struct {
	level float64
	at    time.Time
	// window is what was used of a limit with a window, nil for others, and used what was
	// used since the ledger was created.
	window *UseWindow
	used   float64
	// zoneTotal is what the zone's members have used since the ledger was
	// created.
	zoneTotal float64
	// reportedTotal is the zoneTotal that was last sent to other zones.
	reportedTotal float64
	// flow is cached as of flowAt; it was computed for flowReach.
	flow      flow
	flowAt    time.Time
	flowReach reach
}

// flow holds rates per second: what this side may use of a limit, and what its
// instances do use.
type flow struct{ refill, groupUse float64 }

// NewLedger returns an empty ledger. It calls initialLevel for the level of each
// bucket that it creates.
func NewLedger(initialLevel func(now time.Time, org entity.OrgID, l Limit) float64) *Ledger {
	return &Ledger{
		limits: make(map[entity.OrgID]Limit), buckets: make(map[entity.OrgID]*bucket),
		members: make(map[string]*reporterState), zones: make(map[string]*reporterState), initialLevel: initialLevel,
	}
}

// SetPast sets the function that returns what was used of a limit with a window before this
// ledger, nil if that is not known: then the limit grants nothing beyond its rate and burst until
// the ledger has counted for a whole window.
func (l *Ledger) SetPast(past func(now time.Time, org entity.OrgID) *UseWindow) { l.past = past }

// SetLimits replaces the limits of all organisations.
func (l *Ledger) SetLimits(limits map[entity.OrgID]Limit) { l.limits = limits }

// SetExpectedInstances sets the number of instances that may run, also those that this
// ledger has not heard of; 0 if there are no such.
func (l *Ledger) SetExpectedInstances(n int) { l.expected = n }

// HandleMemberReport processes a member's report. For an organisation that the
// process has not reported to this ledger before, Usage.Counted is the part of
// the total that an earlier coordinator has already counted.
func (l *Ledger) HandleMemberReport(now time.Time, p Reporter, used map[entity.OrgID]Usage) {
	m, proc, _, first := recordReport(l.members, now, p, memberTimeout)
	proc.lastReport = used
	r := l.reach(now, first)
	for org, u := range used {
		b := l.bucket(now, org, r)
		if b == nil {
			continue
		}
		counted, known := proc.totals[org]
		if !known {
			counted = u.Counted
		}
		proc.totals[org] = u.Total
		b.deduct(now, m.usageOf(now, org), u.Total-counted, r)
		b.zoneTotal += u.Total - counted
	}
}

// HandleZoneReport processes the report of another zone's coordinator: what its
// zone has used since its ledger was created. For a new ledger of a known zone,
// all of that is new. For a zone that was not known before, the part that is new
// is unknown, and the first total only serves as the baseline. So it does while instances
// are expected that have not been heard of: the zone used its own share of the limit, of
// which this ledger had no part.
func (l *Ledger) HandleZoneReport(now time.Time, p Reporter, used map[entity.OrgID]float64) {
	z, proc, known, first := recordReport(l.zones, now, p, zoneTimeout)
	r := l.reach(now, first)
	for org, total := range used {
		b := l.bucket(now, org, r)
		if b == nil {
			continue
		}
		if first && (!known || r.unheard > 0) {
			proc.totals[org] = total
		}
		b.deduct(now, z.usageOf(now, org), total-proc.totals[org], r)
		proc.totals[org] = total
	}
}

// deduct takes from the bucket what a reporter has used since its last report.
// The reporter's rate is recorded as majorityRate while this side reaches the
// majority of instances.
func (b *bucket) deduct(now time.Time, use *orgUsage, amount float64, r reach) {
	b.level -= amount
	b.used += amount
	if b.window != nil {
		b.window.add(now, amount)
	}
	use.rate.add(now, amount)
	if r.isMajority() {
		use.majorityRate = use.rate.value
	}
}

// lowLevelFraction is the fraction of its burst below which a bucket is reported
// to all members.
const lowLevelFraction = 0.75

// Accounts returns what is sent to a member: the accounts of the organisations in its
// last report, and of those whose buckets are low.
func (l *Ledger) Accounts(now time.Time, member string) map[entity.OrgID]Account {
	m := l.members[member]
	if m == nil {
		return nil
	}
	r := l.reach(now, false)
	proc := m.processes[m.Process]
	out := make(map[entity.OrgID]Account, len(proc.lastReport))
	for org := range l.buckets {
		b := l.bucket(now, org, r)
		if b == nil {
			continue
		}
		_, reported := proc.lastReport[org]
		if !reported && b.level >= lowLevelFraction*l.limits[org].Burst {
			continue
		}
		counted, known := proc.totals[org]
		if !known {
			counted = notReported
		}
		f := l.currentFlow(now, org, b, r)
		out[org] = Account{Level: b.level, RefillRate: f.refill + b.extra(now, l.limits[org], r), GroupUseRate: f.groupUse, Counted: counted, Used: b.statedUse()}
	}
	return out
}

// ZoneTotals returns what the zone has used, to be sent to other zones.
func (l *Ledger) ZoneTotals() map[entity.OrgID]float64 {
	out := make(map[entity.OrgID]float64, len(l.buckets))
	for org, b := range l.buckets {
		b.reportedTotal = b.zoneTotal
		out[org] = b.zoneTotal
	}
	return out
}

// Urgent reports whether enough was used since the last call of ZoneTotals to
// notify other zones at once.
func (l *Ledger) Urgent() bool {
	for org, b := range l.buckets {
		if b.zoneTotal-b.reportedTotal > urgentFraction*l.limits[org].Burst {
			return true
		}
	}
	return false
}

// Members returns the number of members that have reported, reachable or not.
func (l *Ledger) Members(now time.Time) int {
	return countReach(l.members, now).total()
}

// Instances returns the number of instances that are known or expected, reachable or not.
func (l *Ledger) Instances(now time.Time) int {
	return l.reach(now, false).total()
}

// bucket returns an organisation's bucket, refilled up to now, or nil if the
// organisation has no limit.
func (l *Ledger) bucket(now time.Time, org entity.OrgID, r reach) *bucket {
	limit, ok := l.limits[org]
	if !ok {
		return nil
	}
	b := l.buckets[org]
	if b == nil {
		b = &bucket{level: l.initialLevel(now, org, limit), at: now}
		l.buckets[org] = b
	}
	l.updateWindow(now, org, b, limit)
	if d := now.Sub(b.at).Seconds(); d > 0 {
		refill := l.currentFlow(now, org, b, r).refill
		b.level += (refill + b.extra(now, limit, r)) * d
		b.chargeOthers(now, limit, refill, d)
		b.at = now
	}
	b.level = min(b.level, limit.Burst*r.fraction(), b.room(now, limit))
	return b
}

// currentFlow returns an organisation's flow, recomputed if the cached one is
// outdated.
func (l *Ledger) currentFlow(now time.Time, org entity.OrgID, b *bucket, r reach) flow {
	if b.flowAt.IsZero() || b.flowReach != r || now.Sub(b.flowAt) >= recomputeInterval {
		b.flow, b.flowAt, b.flowReach = l.computeFlow(now, org, r), now, r
	}
	return b.flow
}

// computeFlow computes an organisation's flow. If all instances are reachable,
// the refill rate is the whole limit. Otherwise the majority side deducts what
// the unreachable instances last used, and a minority side refills at the rate
// that its instances had while it was part of a majority. While there are instances
// that have not been heard of, which may each have a ledger of its own, the refill
// rate is this side's share of the limit. Each instance's use includes its share of
// the headroom.
func (l *Ledger) computeFlow(now time.Time, org entity.OrgID, r reach) flow {
	limit := l.limits[org]
	headroom := headroomFraction * limit.Rate / float64(max(1, r.total()))
	var groupUse, unreachableUse, majorityUse float64
	for _, reporters := range []map[string]*reporterState{l.members, l.zones} {
		for _, p := range reporters {
			overdue, expired := p.status(now)
			share := headroom * float64(p.Instances)
			use := p.useRate(org, now, overdue) + share
			switch {
			case expired:
			case overdue:
				unreachableUse += use
			default:
				groupUse += use
				majorityUse += p.majorityRate(org) + share
			}
		}
	}
	switch {
	case r.unheard > 0:
		return flow{refill: limit.Rate * r.fraction(), groupUse: groupUse}
	case r.unreachable == 0:
		return flow{refill: limit.Rate, groupUse: groupUse}
	case r.isMajority():
		return flow{refill: max(0, limit.Rate-unreachableUse), groupUse: groupUse}
	}
	return flow{refill: min(limit.Rate, majorityUse), groupUse: groupUse}
}
