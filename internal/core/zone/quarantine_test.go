package zone

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/quarantine"
)

const deadlyPart = entity.PartID("deadly")

// crash records at a member that an engine was lost with a request.
func (f *fleet) crash(m *member, engine int) {
	e, own := entity.EndpointID(fmt.Sprint("e", engine)), entity.PartID(fmt.Sprint("own", engine))
	m.quarantine.RecordLoss(f.now, quarantine.Loss{Endpoint: e, Parts: []entity.PartID{deadlyPart, own}})
	m.quarantine.RecordLoss(f.now, quarantine.Loss{Endpoint: e, Parts: []entity.PartID{own + "x"}, Answering: time.Second})
}

// knows reports whether a member keeps the deadly part away.
func (f *fleet) knows(m *member) bool {
	return m.quarantine.Decide(f.now, []entity.PartID{deadlyPart, "own"}).Refused != nil
}

// untilAllKnow returns after how long all members keep the deadly part away, up to
// most.
func (f *fleet) untilAllKnow(most time.Duration) time.Duration {
	for passed := time.Duration(0); ; passed += tick {
		all := true
		for _, m := range f.members {
			all = all && f.knows(m)
		}
		if all || passed >= most {
			return passed
		}
		f.advance(func(int) int { return 0 })
	}
}

// steps advances time.
func (f *fleet) steps(d time.Duration) {
	for range int(d / tick) {
		f.advance(func(int) int { return 0 })
	}
}

// Each of three members in three zones sees one crash: all members act on all three.
func TestQuarantineReachesAllMembers(t *testing.T) {
	for _, tt := range []struct {
		perZone int
		loss    float64
		most    time.Duration
	}{{5, 0, time.Second}, {50, 0, time.Second}, {5, 0.2, 3 * time.Second}} {
		f := newFleet(3, tt.perZone)
		f.loss = tt.loss
		f.steps(time.Second)
		for n := range 3 {
			f.crash(f.members[n*tt.perZone+n+1], n)
			f.steps(200 * time.Millisecond)
		}
		if got := f.untilAllKnow(tt.most); got >= tt.most {
			t.Errorf("%d members a zone, %.1f of the messages lost: not all know after %v", tt.perZone, tt.loss, tt.most)
		}
	}
}

// Records from both sides of a partition come together after it, and a restarted member
// gets them.
func TestQuarantineSurvivesPartitionAndRestart(t *testing.T) {
	const contact = 3 * time.Second
	f := newFleet(3, 5)
	for _, m := range f.members {
		m.partitioned = m.id.Zone == "z1"
	}
	f.steps(time.Second)
	f.crash(f.members[6], 0)
	f.steps(time.Second)
	f.crash(f.members[2], 1)
	f.steps(time.Second)
	f.crash(f.members[12], 2)
	f.steps(time.Second)
	for _, m := range f.members {
		m.partitioned = false
	}
	if got := f.untilAllKnow(contact); got >= contact {
		t.Errorf("not all know %v after the partition", contact)
	}
	again := f.members[7]
	again.quarantine, again.core = quarantine.New(), New(again.id, again)
	f.setCoordinators(3, 5)
	f.member("z1-0").core.SendFailed(again.id.ID) // the connection to the old process ends
	if got := f.untilAllKnow(contact); got >= contact {
		t.Errorf("a restarted member does not know after %v", contact)
	}
}

// Records go round once: without changes, messages carry none.
func TestQuarantineIsSentOnlyOnChange(t *testing.T) {
	f := newFleet(3, 5)
	for n := range 3 {
		f.crash(f.members[n], n)
		f.steps(time.Second)
	}
	f.steps(2 * time.Second)
	for range 100 {
		f.advance(func(int) int { return 0 })
		for _, d := range f.inFlight {
			if carriesRecords(d.msg) {
				t.Fatalf("%T from %s to %s carries records, want none without changes", d.msg, d.from, d.to)
			}
		}
	}
}

func carriesRecords(msg any) bool {
	switch m := msg.(type) {
	case Report:
		return m.Quarantine != nil
	case Bulletin:
		return m.Quarantine != nil
	case Exchange:
		return m.Quarantine != nil
	}
	return false
}
