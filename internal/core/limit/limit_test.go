package limit

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const org entity.OrgID = "acme"

func TestUnderTheLimitAlmostNothingIsRefused(t *testing.T) {
	f := newFleet(t, 1, 4, 4, map[entity.OrgID]Limit{org: {Rate: 200, Burst: 100, Concurrent: 200}})
	f.run(20 * time.Second)
	f.load(org, 100, 300*time.Millisecond, 60*time.Second, f.nodes)
	f.run(70 * time.Second)
	t.Logf("offered %d admitted %d refused %v messages %d", f.offered, len(f.admitted[org]), f.refused, f.messages)
	if got := len(f.admitted[org]); got < f.offered*995/1000 {
		t.Errorf("admitted %d of %d requests offered at half of the limit, want at least 99.5%%", got, f.offered)
	}
}

func TestOverTheLimitTheContractHolds(t *testing.T) {
	f := newFleet(t, 2, 4, 4, map[entity.OrgID]Limit{org: {Rate: 100, Burst: 50, Concurrent: 1000}})
	f.run(20 * time.Second)
	f.load(org, 300, 100*time.Millisecond, 60*time.Second, f.nodes)
	f.run(60 * time.Second)
	got := len(f.admitted[org])
	t.Logf("offered %d admitted %d refused %v messages %d", f.offered, got, f.refused, f.messages)
	if got > 60*100+50+16 {
		t.Errorf("admitted %d in 60 s, want at most 6066", got)
	}
	if got < 60*100*9/10 {
		t.Errorf("admitted %d in 60 s, want at least 5400", got)
	}
}

func TestConcurrencyHolds(t *testing.T) {
	f := newFleet(t, 3, 2, 4, map[entity.OrgID]Limit{org: {Rate: 1000, Burst: 1000, Concurrent: 40}})
	f.run(20 * time.Second)
	f.load(org, 100, time.Second, 60*time.Second, f.nodes)
	worst, sum := 0, 0
	for range 600 {
		f.run(tickEvery)
		worst = max(worst, f.inFlight(org))
		sum += f.inFlight(org)
	}
	t.Logf("worst %d mean %d offered %d admitted %d refused %v messages %d", worst, sum/600, f.offered, len(f.admitted[org]), f.refused, f.messages)
	if worst > 40+1+8 {
		t.Errorf("got %d in flight, want at most 49", worst)
	}
	if sum/600 < 30 {
		t.Errorf("got %d in flight on average, want at least 30", sum/600)
	}
}

// A contract allows fewer concurrent requests than there are instances, and
// every instance is offered far more. Once the borrowers have reported, they may
// no longer use their unleased allowances in addition to the contract.
func TestSmallContractHoldsOnceReported(t *testing.T) {
	f := newFleet(t, 4, 4, 4, map[entity.OrgID]Limit{org: {Rate: 1000, Burst: 1000, Concurrent: 8}})
	f.run(30 * time.Second)
	f.load(org, 100, 500*time.Millisecond, 60*time.Second, f.nodes)
	f.run(10 * time.Second)
	worst := 0
	for range 450 {
		f.run(tickEvery)
		worst = max(worst, f.inFlight(org))
	}
	if worst > 8+3 {
		t.Errorf("got %d in flight, want at most 11", worst)
	}
	if worst < 8 {
		t.Errorf("got at most %d in flight, want at least 8", worst)
	}
}

// All traffic of an organisation arrives at one instance: that instance gets
// all that its zone may lend, and its own base.
func TestOneInstanceTakesAllTraffic(t *testing.T) {
	f := newFleet(t, 5, 1, 4, map[entity.OrgID]Limit{org: {Rate: 100, Burst: 10, Concurrent: 1000}})
	f.run(30 * time.Second)
	f.load(org, 300, 10*time.Millisecond, 60*time.Second, f.nodes[:1])
	f.run(60 * time.Second)
	want := 60 * 100 * (DefaultSettings().BaseFraction/4 + 1 - DefaultSettings().BaseFraction)
	if got := float64(len(f.admitted[org])); got < 0.9*want || got > want+2*10+3*4 {
		t.Errorf("admitted %.0f, want about %.0f", got, want)
	}
}

// When the demand moves from one instance to another, the share follows within
// 10 s.
func TestShareFollowsDemand(t *testing.T) {
	f := newFleet(t, 6, 1, 4, map[entity.OrgID]Limit{org: {Rate: 100, Burst: 10, Concurrent: 1000}})
	f.run(30 * time.Second)
	f.load(org, 100, 10*time.Millisecond, 20*time.Second, f.nodes[:1])
	f.run(20 * time.Second)
	f.load(org, 100, 10*time.Millisecond, 20*time.Second, f.nodes[1:2])
	f.run(10 * time.Second)
	before := len(f.admitted[org])
	f.run(10 * time.Second)
	if got := len(f.admitted[org]) - before; got < 10*55 {
		t.Errorf("admitted %d in the last 10 s, want at least 550", got)
	}
}

// While the home of an organisation is isolated, the borrowers keep using the shares
// of their last leases.
func TestLastShareHoldsWhileHomeIsIsolated(t *testing.T) {
	f := newFleet(t, 7, 1, 4, map[entity.OrgID]Limit{org: {Rate: 100, Burst: 10, Concurrent: 1000}})
	f.run(30 * time.Second)
	f.load(org, 80, 10*time.Millisecond, 40*time.Second, f.nodes)
	f.run(20 * time.Second)
	home := f.homeOf(org, "z0")
	f.cut = func(a, b *testNode) bool { return a == home || b == home }
	before := len(f.admitted[org])
	f.run(10 * time.Second)
	if got := len(f.admitted[org]) - before; got < 10*80*85/100 {
		t.Errorf("admitted %d of about 800 requests while the home was isolated, want at least 680", got)
	}
}

func TestIdleOrganisationCostsNothing(t *testing.T) {
	f := newFleet(t, 8, 2, 4, map[entity.OrgID]Limit{org: {Rate: 1000, Burst: 100, Concurrent: 100}})
	f.run(30 * time.Second)
	f.load(org, 200, 100*time.Millisecond, 10*time.Second, f.nodes)
	f.run(70 * time.Second)
	before := f.messages
	f.run(60 * time.Second)
	if f.messages != before {
		t.Errorf("got %d messages for an idle organisation, want none", f.messages-before)
	}
	for _, n := range f.nodes {
		if len(n.borrower.accounts) != 0 || n.home.Loans() != 0 {
			t.Errorf("%s has %d accounts and %d loans, want none", n.self.ID, len(n.borrower.accounts), n.home.Loans())
		}
	}
}

func TestUnknownOrganisation(t *testing.T) {
	b := NewBorrower(DefaultSettings(), func(entity.OrgID) (Limit, bool) { return Limit{}, false })
	b.SetZone(time.Unix(1, 0), Zone{Members: []entity.Instance{{ID: "a"}}, FleetSize: 1})
	if ok, reason, _ := b.Admit(time.Unix(1, 0), "nobody"); ok || reason != verdict.ReasonUnauthenticated {
		t.Errorf("got %v, reason %s; want false, reason unauthenticated", ok, reason)
	}
}

// After a gap between ticks another instance may have lent the same shares. The
// home lends nothing more until the leases of that time have expired.
func TestHomeLendsNothingNewAfterFreeze(t *testing.T) {
	members := []entity.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	contracts := func(entity.OrgID) (Limit, bool) { return Limit{Rate: 90, Burst: 9, Concurrent: 9}, true }
	now := time.Unix(1000, 0)
	z := newZone(Zone{Members: members, FleetSize: 3})
	h := NewHome(DefaultSettings(), z.home(org), contracts)
	h.SetZone(now, Zone{Members: members, FleetSize: 3})
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(tickEvery)
			h.Tick(now)
		}
	}
	demand := func(seq uint64) OrgShare {
		h.Step(now, "c", Demand{Seq: seq, MembersDigest: z.digest, Orgs: []OrgDemand{{Org: org, Waiting: 1, Rate: 5}}})
		out := h.Ready().Messages
		if len(out) == 0 {
			t.Fatal("got no share in answer to a demand")
		}
		return out[len(out)-1].Share.Orgs[0]
	}
	run(DefaultSettings().LeaseFor)
	if s := demand(1); s.Concurrent == 0 || s.Tokens == 0 {
		t.Fatalf("a settled home lent %+v, want concurrency and tokens", s)
	}
	now = now.Add(5 * time.Second)
	if s := demand(2); s.Concurrent != 0 || s.Tokens != 0 || s.Rate != 0 {
		t.Errorf("lent %+v right after a freeze, want nothing", s)
	}
	run(DefaultSettings().LeaseFor)
	if s := demand(3); s.Concurrent == 0 {
		t.Errorf("lent %+v a full lease after a freeze, want some concurrency", s)
	}
}

// Members that join may hold shares that a home on another side of a partition
// lent. The home lends nothing before they have reported them.
func TestMemberThatJoinsMayHoldShares(t *testing.T) {
	contracts := func(entity.OrgID) (Limit, bool) { return Limit{Rate: 90, Burst: 9, Concurrent: 9}, true }
	all := Zone{Members: []entity.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}}, FleetSize: 3}
	z := newZone(all)
	self := z.home(org)
	now := time.Unix(1000, 0)
	h := NewHome(DefaultSettings(), self, contracts)
	h.SetZone(now, Zone{Members: []entity.Instance{{ID: self}}, FleetSize: 3})
	for range 300 {
		now = now.Add(tickEvery)
		h.Tick(now)
	}
	h.SetZone(now, all)
	demand := func(seq uint64) OrgShare {
		h.Step(now, self, Demand{Seq: seq, MembersDigest: z.digest, Orgs: []OrgDemand{{Org: org, Waiting: 9}}})
		out := h.Ready().Messages
		return out[len(out)-1].Share.Orgs[0]
	}
	if s := demand(1); s.Concurrent != 0 {
		t.Errorf("lent %+v before the others reported their shares, want no concurrency", s)
	}
	for _, m := range all.Members {
		if m.ID == self {
			continue
		}
		held := []OrgDemand{{Org: org, InFlight: 2, HeldConcurrent: 3}}
		h.Step(now, m.ID, Demand{Seq: 1, MembersDigest: z.digest, Complete: true, Orgs: held})
	}
	if s := demand(2); s.Concurrent == 0 || s.Concurrent > 9-2*3 {
		t.Errorf("lent %+v while others hold 6 of 9, want 1 to 3 concurrent", s)
	}
}

func TestNewHomeLendsSoonAfterThePlannedLeave(t *testing.T) {
	f := newFleet(t, 9, 1, 4, map[entity.OrgID]Limit{org: {Rate: 1000, Burst: 100, Concurrent: 100}})
	f.run(30 * time.Second)
	f.load(org, 20, 100*time.Millisecond, 40*time.Second, f.nodes[:1])
	f.run(10 * time.Second)
	old := f.homeOf(org, "z0")
	old.self.Leaving = true
	f.spreadViews()
	f.run(f.viewDelay + 2*time.Second)
	if h := f.homeOf(org, "z0"); h == old || !h.home.settled(f.now) {
		t.Errorf("home %s: want a new and settled home %v after the old one began to leave", h.self.ID, f.viewDelay+2*time.Second)
	}
}

func TestAdmitBeforeTheFirstViewIsBounded(t *testing.T) {
	b := NewBorrower(DefaultSettings(), func(entity.OrgID) (Limit, bool) { return Limit{Rate: 10, Burst: 10, Concurrent: 10}, true })
	now, admitted := time.Unix(1000, 0), 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if ok, _, _ := b.Admit(now, org); ok {
			admitted++
			b.Done(now, org)
		}
	}
	if admitted == 0 || admitted > 10+10 {
		t.Errorf("admitted %d in a second, want 1 to 20", admitted)
	}
}

// settledHome returns a function that sends a demand to a settled home in a zone
// of three, which has a concurrency of 9 to lend, and returns its answer.
func settledHome() (demand func(from entity.InstanceID, d OrgDemand) *Share) {
	members := []entity.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	contracts := func(entity.OrgID) (Limit, bool) { return Limit{Rate: 90, Burst: 9, Concurrent: 9}, true }
	z := newZone(Zone{Members: members, FleetSize: 3})
	now := time.Unix(1000, 0)
	h := NewHome(DefaultSettings(), z.home(org), contracts)
	h.SetZone(now, Zone{Members: members, FleetSize: 3})
	for range 300 {
		now = now.Add(tickEvery)
		h.Tick(now)
	}
	seq := uint64(0)
	return func(from entity.InstanceID, d OrgDemand) *Share {
		seq++
		d.Org = org
		h.Step(now, from, Demand{Seq: seq, MembersDigest: z.digest, Orgs: []OrgDemand{d}})
		for _, o := range h.Ready().Messages {
			if o.To == from && o.Share.DemandSeq == seq {
				return o.Share
			}
		}
		return nil
	}
}

func TestShareInTransitIsNotLentTwice(t *testing.T) {
	for name, crossing := range map[string]OrgDemand{
		"report":  {InFlight: 1, HeldConcurrent: 1},
		"release": {},
	} {
		t.Run(name, func(t *testing.T) {
			demand := settledHome()
			lent := demand("b", OrgDemand{Waiting: 6, InFlight: 1}).Orgs[0].Concurrent
			if lent < 7 {
				t.Fatalf("lent %d, want at least 7", lent)
			}
			// Sent before the share arrived, so ShareSeq is older than the share.
			demand("b", crossing)
			if got := demand("c", OrgDemand{Waiting: 9}).Orgs[0].Concurrent; got > 9-lent {
				t.Errorf("lent %d and then %d, want at most 9 together", lent, got)
			}
		})
	}
}

func TestShareOfAnotherHomeIsIgnored(t *testing.T) {
	members := []entity.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	now := time.Unix(1000, 0)
	b := NewBorrower(DefaultSettings(), func(entity.OrgID) (Limit, bool) { return Limit{Rate: 90, Burst: 9, Concurrent: 9}, true })
	b.SetZone(now, Zone{Members: members, FleetSize: 3})
	b.Ready()
	for range 3 {
		b.Admit(now, org)
	}
	sent := b.Ready().Messages[0]
	b.Step(now, sent.To, Share{Seq: 1, DemandSeq: sent.Demand.Seq, Orgs: []OrgShare{{Org: org, Rate: 10, Tokens: 5, Concurrent: 8}}})
	for _, m := range members {
		if m.ID != sent.To {
			b.Step(now, m.ID, Share{Seq: 9, Orgs: []OrgShare{{Org: org}}})
			b.Step(now, m.ID, Share{Seq: 9, DemandSeq: sent.Demand.Seq, Orgs: []OrgShare{{Org: org, Concurrent: 99}}})
		}
	}
	if a := b.accounts[org]; a.concurrent != 8 || a.rate != 10 {
		t.Errorf("got concurrency %d and rate %.0f, want 8 and 10", a.concurrent, a.rate)
	}
}
