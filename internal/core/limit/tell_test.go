package limit

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// pair is a home and the borrowers of its zone, whose messages arrive at once.
type pair struct {
	home      *Home
	borrowers map[entity.InstanceID]*Borrower
}

// exchange passes messages until nobody has one left.
func (p *pair) exchange(now time.Time, order []entity.InstanceID) {
	for more := true; more; {
		more = false
		for _, id := range order {
			for _, m := range p.borrowers[id].Ready().Messages {
				more = true
				if m.To == p.home.self {
					p.home.Step(now, id, *m.Demand)
				}
			}
		}
		for _, m := range p.home.Ready().Messages {
			more = true
			p.borrowers[m.To].Step(now, p.home.self, *m.Share)
		}
	}
}

// TestHomeAsksWhoHasNotTold has the members of a zone come up in an order that
// the borrower and the home see differently: what the borrower told under a
// view that the home never had says nothing. The home asks again, and lends
// long before a lease has run out.
func TestHomeAsksWhoHasNotTold(t *testing.T) {
	contracts := func(entity.OrgID) (Limit, bool) { return Limit{Rate: 1000, Burst: 1000, Concurrent: 300}, true }
	members := func(ids ...entity.InstanceID) (out []entity.Instance) {
		for _, id := range ids {
			out = append(out, entity.Instance{ID: id})
		}
		return out
	}
	all := []entity.InstanceID{"a", "b", "c"}
	view := Zone{Members: members(all...), FleetSize: len(all)}
	z := newZone(view)
	self := z.home(org)
	p := &pair{home: NewHome(DefaultSettings(), self, contracts), borrowers: make(map[entity.InstanceID]*Borrower)}
	now := time.Unix(1000, 0)
	p.home.SetZone(now, Zone{Members: members(self), FleetSize: 1})
	for _, id := range all {
		b := NewBorrower(DefaultSettings(), contracts)
		b.SetZone(now, Zone{Members: members(id, self), FleetSize: 2})
		p.borrowers[id] = b
	}
	p.exchange(now, all)
	p.home.SetZone(now, view)
	for _, id := range all {
		p.borrowers[id].SetZone(now, view)
	}
	p.exchange(now, all)
	asker := p.borrowers[all[0]]
	admitted := 0
	for range 40 { // two seconds of ticks
		now = now.Add(50 * time.Millisecond)
		for ok := true; ok && admitted < 20; {
			if ok, _, _ = asker.Take(now, org); ok {
				admitted++
			}
		}
		p.home.Tick(now)
		for _, id := range all {
			p.borrowers[id].Tick(now)
		}
		p.exchange(now, all)
	}
	if admitted < 20 {
		t.Fatalf("%d of 20 admitted within two seconds of a contract of 300", admitted)
	}
}
