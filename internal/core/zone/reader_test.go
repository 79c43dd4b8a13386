package zone

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// A coordinator that the store refuses while it answers others gives up the role.
// If the store answers nobody, another coordinator would not help. The last
// answers to the instances are up to one read interval apart.
func TestCoordinatorRefusedByStore(t *testing.T) {
	const outage, read = 5 * time.Second, 900 * time.Millisecond
	tests := []struct {
		name        string
		own, others time.Duration // times of the last answers since the start
		want        bool
	}{
		{"all are answered", 2 * outage, 2 * outage, false},
		{"only the coordinator is refused", outage, 2 * outage, true},
		{"all are refused", outage - read, outage, false},
		{"others are refused", 2 * outage, outage, false},
		{"the coordinator was never answered", -time.Hour, 2 * outage, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, m := newCoordinator(1, map[entity.ZoneID]entity.InstanceID{"z1": "z1-0"})
			start := time.Unix(1_700_000_000, 0)
			at := Moment{Now: start, Boot: time.Hour}
			for d := time.Duration(0); d < 2*outage; d += 50 * time.Millisecond {
				at.Now, at.Boot = start.Add(d), time.Hour+d
				m.answered = start.Add(min(d, tt.own))
				c.HandleExchange(at, "z1-0", Exchange{Zone: "z1", ConfigVersion: 1, StoreAnswerAge: max(0, d-tt.others)})
				c.Tick(at)
			}
			if got := c.RefusedByStore(at.Now); got != tt.want {
				t.Errorf("got refused %v, want %v", got, tt.want)
			}
		})
	}
}

// If the coordinator cannot read the store, members start to read at different
// times, but early enough to learn within 2 s that an endpoint leaves.
func TestMembersStartReadingAtDifferentTimes(t *testing.T) {
	at := Moment{Now: time.Unix(1_700_000_000, 0), Boot: time.Hour}
	const members = 32
	reading := func(after time.Duration) (n int) {
		for i := range members {
			c, _ := newMemberOf(i)
			c.HandleBulletin(at, "z0-0", Bulletin{ReadAge: maxReadAge + time.Millisecond, ConfigVersion: 1, Instances: members})
			if c.ShouldReadStore(at.Now.Add(after)) {
				n++
			}
		}
		return n
	}
	if n := reading(maxReadDelay / 2); n < members/4 || n > members*3/4 {
		t.Errorf("got %d of %d members reading after half of the delay, want about half", n, members)
	}
	const known = 2 * time.Second
	if n := reading(known - maxReadAge - 2*ReportInterval); n != members {
		t.Errorf("got %d of %d members reading early enough to know within %v, want all", n, members, known)
	}
}

// When all instances start together, each reads the store once and then waits a second for
// its coordinator, also while it takes itself for it.
func TestStartedInstanceReadsTheStoreOnce(t *testing.T) {
	at := Moment{Now: time.Unix(1_700_000_000, 0), Boot: time.Hour}
	const members = 32
	starts := []struct {
		name string
		of   func(i int) (*Core, *member)
	}{
		{"member", newMemberOf},
		{"own coordinator", func(int) (*Core, *member) { return newCoordinator(1, nil) }},
	}
	for _, tt := range starts {
		t.Run(tt.name, func(t *testing.T) {
			for i := range members {
				c, m := tt.of(i)
				c.Tick(at)
				if !c.ShouldReadStore(at.Now) {
					t.Fatal("doesn't read at its start")
				}
				m.proved = at.Boot
				if c.ShouldReadStore(at.Now.Add(BulletinTimeout - time.Millisecond)) {
					t.Fatalf("reads again before its coordinator could have answered")
				}
				if !c.ShouldReadStore(at.Now.Add(BulletinTimeout + maxReadDelay)) {
					t.Fatalf("doesn't read although it has no coordinator")
				}
			}
		})
	}
}

// CONFIG: a coordinator that has just started answers for its zone from its first read for a second.
func TestStartedCoordinatorReadsOnceMembersReport(t *testing.T) {
	at := Moment{Now: time.Unix(1_700_000_000, 0), Boot: time.Hour}
	c, m := newCoordinator(1, nil)
	c.Tick(at)
	m.proved = at.Boot
	if c.ShouldReadStore(at.Now.Add(tick)) {
		t.Fatal("reads again although nobody reports to it")
	}
	c.HandleReport(at, "z0-1", Report{ConfigVersion: 1})
	if why := c.ReadReason(at.Now.Add(tick)); why != ReadAsCoordinator {
		t.Errorf("got reason %q to read once a member has reported, want %q", why, ReadAsCoordinator)
	}
}

// CONFIG: an instance that knows of a newer version waits for its coordinator, or for its own reads, to bring it.
func TestInstanceThatLacksAVersionReadsItItself(t *testing.T) {
	at := Moment{Now: time.Unix(1_700_000_000, 0), Boot: time.Hour}
	for _, of := range []func() (*Core, *member){
		func() (*Core, *member) { return newMemberOf(0) },
		func() (*Core, *member) { return newCoordinator(1, nil) },
	} {
		c, m := of()
		c.HandleReport(at, "z0-9", Report{ConfigVersion: 1, NewestVersion: 3})
		early, due := at.Now.Add(catchUpAfter-tick), at.Now.Add(catchUpAfter+maxReadDelay+tick)
		if c.ReadReason(early) == ReadLagging || c.ReadReason(due) != ReadLagging {
			t.Errorf("%s: got reasons %q before and %q after, want only the second to be %q", m.id.ID, c.ReadReason(early), c.ReadReason(due), ReadLagging)
		}
		m.apply(due, &catalog.Config{Version: 2}) // progress
		if why := c.ReadReason(due); why == ReadLagging {
			t.Errorf("%s: reads at once although it has just got a newer version", m.id.ID)
		}
		m.apply(due, &catalog.Config{Version: 3})
		if why := c.ReadReason(due.Add(time.Minute)); why == ReadLagging {
			t.Errorf("%s: still reads although it has the newest version", m.id.ID)
		}
	}
}

// outage is a zone whose coordinator can no longer read the store.
type outage struct {
	*fleet
	lastRead time.Time // of the coordinator
	answers  bool      // whether the store answers members
	reads    map[entity.InstanceID]time.Time
}

func newOutage(members int, answers bool) *outage {
	f := newFleet(1, members)
	o := &outage{fleet: f, answers: answers, reads: make(map[entity.InstanceID]time.Time)}
	for i, m := range f.members {
		m.core.SetReadRank(i)
		m.readAge = func(now time.Time) time.Duration { return now.Sub(o.lastRead) }
	}
	o.lastRead = f.now
	for range int(time.Second / tick) { // all have bulletins
		o.lastRead = f.now
		f.members[0].answered = f.now
		f.step(1)
	}
	return o
}

// step advances time by a tick and returns how many members read the store in it.
func (o *outage) step() (reading int) {
	o.fleet.step(1)
	for _, m := range o.members[1:] {
		if !m.core.ShouldReadStore(o.now) {
			continue
		}
		reading++
		if _, known := o.reads[m.id.ID]; !known {
			o.reads[m.id.ID] = o.now
		}
		if o.answers {
			m.answered = o.now
		}
	}
	return reading
}

// While the store answers nobody, a few members of a zone try at a time, whatever its size.
func TestFewMembersTryAStoreThatIsOut(t *testing.T) {
	o := newOutage(48, false)
	most, tried := 0, 0
	for range int(10 * time.Second / tick) {
		n := o.step()
		most, tried = max(most, n), tried+n
	}
	if most > 2*triedFirst || tried == 0 {
		t.Errorf("up to %d members tried at once, want some, and at most %d", most, 2*triedFirst)
	}
	if len(o.reads) < 20 {
		t.Errorf("%d of 47 members tried within 10 s, want them to take turns", len(o.reads))
	}
}

// If the store refuses only the coordinator, all members read within the 2 s in which
// they must learn that an endpoint leaves.
func TestAllMembersReadIfTheStoreRefusesTheCoordinator(t *testing.T) {
	for _, members := range []int{3, 5, 9, 48, 120} {
		o := newOutage(members, true)
		for o.now.Sub(o.lastRead) < 2*time.Second-100*time.Millisecond { // the read itself takes time
			o.step()
		}
		if len(o.reads) != members-1 {
			t.Errorf("%d members: %d read within 1.9 s, want all but the coordinator", members, len(o.reads))
		}
	}
}
