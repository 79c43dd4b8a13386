package quota

import (
	"maps"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Reporter identifies who reports usage: a member of the zone, or another zone.
type Reporter struct {
	// Name is stable over restarts: a peer address or a zone.
	Name string
	// Process distinguishes the processes of one name: totals start at zero in
	// each.
	Process entity.InstanceID
	// Instances is the number of instances that the reporter stands for.
	Instances int
}

// reporterState is the state kept for a member or another zone.
type reporterState struct {
	Reporter
	lastReportAt time.Time
	timeout      time.Duration
	usage        map[entity.OrgID]*orgUsage
	// processes are those that have reported under the name. While the
	// coordinator of a zone moves, reports of two processes may alternate.
	processes map[entity.InstanceID]*process
}

// process is one process of a reporter. Its totals start at zero.
type process struct {
	lastReportAt time.Time
	totals       map[entity.OrgID]float64
	// lastReport is what a member's last report stated.
	lastReport map[entity.OrgID]Usage
}

// orgUsage is a reporter's use of one organisation's limit.
type orgUsage struct {
	rate rate
	// majorityRate is the rate while this side reached the majority of instances.
	// A minority side is limited by it, so that its allowance does not grow with
	// its use in the meantime.
	majorityRate float64
}

// recordReport records that a report has arrived and returns the states of its
// reporter and process, created if they are new. known reports whether the
// reporter existed before, first whether the process is new.
func recordReport(reporters map[string]*reporterState, now time.Time, p Reporter, timeout time.Duration) (state *reporterState, proc *process, known, first bool) {
	state = reporters[p.Name]
	known = state != nil
	if !known {
		state = &reporterState{usage: make(map[entity.OrgID]*orgUsage), processes: make(map[entity.InstanceID]*process)}
		reporters[p.Name] = state
	}
	state.Reporter, state.lastReportAt, state.timeout = p, now, timeout
	proc = state.processes[p.Process]
	first = proc == nil
	if first {
		proc = &process{totals: make(map[entity.OrgID]float64)}
		state.processes[p.Process] = proc
	}
	proc.lastReportAt = now
	maps.DeleteFunc(state.processes, func(_ entity.InstanceID, old *process) bool { return now.Sub(old.lastReportAt) > usageRetention })
	return state, proc, known, first
}

// usageOf returns the reporter's use of an organisation's limit, created if it is
// new.
func (p *reporterState) usageOf(now time.Time, org entity.OrgID) *orgUsage {
	use := p.usage[org]
	if use == nil {
		use = &orgUsage{rate: rate{at: now}}
		p.usage[org] = use
	}
	return use
}

// reach counts the instances that this side reaches, those it does not, and those that
// are expected to run although none of them has reported yet.
type reach struct{ reachable, unreachable, unheard int }

// reach returns the current counts, recomputed if changed is set or they are
// outdated.
func (l *Ledger) reach(now time.Time, changed bool) reach {
	if changed || l.lastReachAt.IsZero() || now.Sub(l.lastReachAt) >= recomputeInterval {
		r := countReach(l.members, now).plus(countReach(l.zones, now))
		r.unheard = max(0, l.expected-r.total())
		l.lastReach, l.lastReachAt = r, now
	}
	return l.lastReach
}

// countReach counts the reachable and unreachable instances of reporters.
func countReach(reporters map[string]*reporterState, now time.Time) (r reach) {
	for _, p := range reporters {
		overdue, expired := p.status(now)
		switch {
		case expired:
		case overdue:
			r.unreachable += p.Instances
		default:
			r.reachable += p.Instances
		}
	}
	return r
}

func (r reach) plus(o reach) reach {
	return reach{r.reachable + o.reachable, r.unreachable + o.unreachable, r.unheard + o.unheard}
}

// total returns the number of known and expected instances.
func (r reach) total() int { return r.reachable + r.unreachable + r.unheard }

// isMajority reports whether more instances are reachable than not.
func (r reach) isMajority() bool { return r.reachable > r.unreachable }

// fraction returns the fraction of the instances that are reachable. The others keep
// their fraction of the burst.
func (r reach) fraction() float64 {
	if r.reachable == r.total() {
		return 1
	}
	return float64(r.reachable) / float64(r.total())
}

// status reports whether the reporter's reports are overdue, and whether its
// usage has expired.
func (p *reporterState) status(now time.Time) (overdue, expired bool) {
	age := now.Sub(p.lastReportAt)
	return age > p.timeout, age > usageRetention
}

// majorityRate returns the reporter's rate while this side reached the majority.
func (p *reporterState) majorityRate(org entity.OrgID) float64 {
	if u := p.usage[org]; u != nil {
		return u.majorityRate
	}
	return 0
}

// useRate returns the reporter's rate, as of its last report if that is overdue.
func (p *reporterState) useRate(org entity.OrgID, now time.Time, overdue bool) float64 {
	u := p.usage[org]
	if u == nil {
		return 0
	}
	if !overdue {
		u.rate.decay(now)
	}
	return u.rate.value
}
