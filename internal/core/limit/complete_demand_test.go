package limit

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// lendingZone is one home and the borrowers of its zone. Messages arrive at once.
type lendingZone struct {
	home      *Home
	borrowers map[entity.InstanceID]*Borrower
}

// exchange delivers messages until no more are sent.
func (z *lendingZone) exchange(now time.Time, order []entity.InstanceID) {
	for more := true; more; {
		more = false
		for _, id := range order {
			for _, m := range z.borrowers[id].Ready().Messages {
				more = true
				if m.To == z.home.self {
					z.home.Step(now, id, *m.Demand)
				}
			}
		}
		for _, m := range z.home.Ready().Messages {
			more = true
			z.borrowers[m.To].Step(now, z.home.self, *m.Share)
		}
	}
}

// When the members of a zone start in an order that the borrowers and the home
// see differently, the borrowers send complete demands under a view that the
// home never has, so it can't use them. The home must request new ones, and lend
// long before a lease has expired.
func TestHomeRequestsMissingReports(t *testing.T) {
	contracts := func(entity.OrgID) (Limit, bool) { return Limit{Rate: 1000, Burst: 1000, Concurrent: 300}, true }
	members := func(ids ...entity.InstanceID) (out []entity.Instance) {
		for _, id := range ids {
			out = append(out, entity.Instance{ID: id})
		}
		return out
	}
	all := []entity.InstanceID{"a", "b", "c"}
	view := Zone{Members: members(all...), FleetSize: len(all)}
	memberView := newZone(view)
	self := memberView.home(org)
	z := &lendingZone{home: NewHome(DefaultSettings(), self, contracts), borrowers: make(map[entity.InstanceID]*Borrower)}
	now := time.Unix(1000, 0)
	z.home.SetZone(now, Zone{Members: members(self), FleetSize: 1})
	for _, id := range all {
		b := NewBorrower(DefaultSettings(), contracts)
		b.SetZone(now, Zone{Members: members(id, self), FleetSize: 2})
		z.borrowers[id] = b
	}
	z.exchange(now, all)
	z.home.SetZone(now, view)
	for _, id := range all {
		z.borrowers[id].SetZone(now, view)
	}
	z.exchange(now, all)
	borrower := z.borrowers[all[0]]
	admitted := 0
	for range 40 { // two seconds of ticks
		now = now.Add(50 * time.Millisecond)
		for ok := true; ok && admitted < 20; {
			if ok, _, _ = borrower.Admit(now, org); ok {
				admitted++
			}
		}
		z.home.Tick(now)
		for _, id := range all {
			z.borrowers[id].Tick(now)
		}
		z.exchange(now, all)
	}
	if admitted < 20 {
		t.Fatalf("admitted %d requests within two seconds, want 20 of a contract of 300", admitted)
	}
}
