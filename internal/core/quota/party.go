package quota

import (
	"maps"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Reporter is a member of the zone, or another zone.
type Reporter struct {
	// Name is what stays the same over restarts: a peer address or a zone.
	Name string
	// Process tells the runs of one name apart: totals begin anew with each.
	Process entity.InstanceID
	// Instances is how many instances it stands for.
	Instances int
}

// party is what is known of a member or of another zone.
type party struct {
	Reporter
	heardAt     time.Time
	silentAfter time.Duration
	used        map[entity.OrgID]*partyUse
	// processes are those that have spoken under the name. While the
	// coordinator of a zone moves, two of them may speak by turns.
	processes map[entity.InstanceID]*process
}

// process is one run of a party. It counts from zero.
type process struct {
	heardAt time.Time
	totals  map[entity.OrgID]float64
}

// partyUse is what a party uses of one organisation's limit.
type partyUse struct {
	rate rate
	// before is the rate while this side reached most instances: cut off, the
	// side must not grow by what is used meanwhile.
	before float64
}

// partyOf returns the row of a party and the process that speaks for it; known
// says whether another one spoke before, and first whether this one has not.
func partyOf(parties map[string]*party, now time.Time, p Reporter, silentAfter time.Duration) (row *party, of *process, known, first bool) {
	row = parties[p.Name]
	known = row != nil
	if !known {
		row = &party{used: make(map[entity.OrgID]*partyUse), processes: make(map[entity.InstanceID]*process)}
		parties[p.Name] = row
	}
	row.Reporter, row.heardAt, row.silentAfter = p, now, silentAfter
	of = row.processes[p.Process]
	first = of == nil
	if first {
		of = &process{totals: make(map[entity.OrgID]float64)}
		row.processes[p.Process] = of
	}
	of.heardAt = now
	maps.DeleteFunc(row.processes, func(_ entity.InstanceID, old *process) bool { return now.Sub(old.heardAt) > forgetAfter })
	return row, of, known, first
}

// useOf returns what the party uses of an organisation's limit.
func (p *party) useOf(now time.Time, org entity.OrgID) *partyUse {
	use := p.used[org]
	if use == nil {
		use = &partyUse{rate: rate{at: now}}
		p.used[org] = use
	}
	return use
}

// reach is how many instances this side reaches, and how many are cut off.
type reach struct{ reached, cut int }

// reach returns how many instances are in reach, counted anew where that is old.
func (l *Ledger) reach(now time.Time, changed bool) reach {
	if changed || l.countedAt.IsZero() || now.Sub(l.countedAt) >= recountInterval {
		l.counted, l.countedAt = l.count(now), now
	}
	return l.counted
}

// count counts the instances.
func (l *Ledger) count(now time.Time) (r reach) {
	for _, parties := range []map[string]*party{l.members, l.zones} {
		for _, p := range parties {
			silent, gone := p.silent(now)
			switch {
			case gone:
			case silent:
				r.cut += p.Instances
			default:
				r.reached += p.Instances
			}
		}
	}
	return r
}

// all is how many instances are known.
func (r reach) all() int { return r.reached + r.cut }

// most says that this side reaches more instances than are cut off.
func (r reach) most() bool { return r.reached > r.cut }

// part is the part of the instances that are in reach: those that are cut off
// have their part of the burst.
func (r reach) part() float64 {
	if r.cut == 0 {
		return 1
	}
	return float64(r.reached) / float64(r.all())
}

// silent says that the party has not reported for a while, gone that it is forgotten.
func (p *party) silent(now time.Time) (silent, gone bool) {
	age := now.Sub(p.heardAt)
	return age > p.silentAfter, age > forgetAfter
}

// before is the party's rate while this side reached most instances.
func (p *party) before(org entity.OrgID) float64 {
	if u := p.used[org]; u != nil {
		return u.before
	}
	return 0
}

// use is the party's rate, as of its last report where it is silent.
func (p *party) use(org entity.OrgID, now time.Time, silent bool) float64 {
	u := p.used[org]
	if u == nil {
		return 0
	}
	if !silent {
		u.rate.decay(now)
	}
	return u.rate.value
}
