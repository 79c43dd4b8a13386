package limit

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const org entity.OrgID = "acme"

func TestUnderTheLimitNothingIsRefused(t *testing.T) {
	f := newFleet(t, 1, 4, 4, map[entity.OrgID]Limit{org: {Rate: 200, Burst: 100, Concurrent: 200}})
	f.run(20 * time.Second)
	f.load(org, 100, 300*time.Millisecond, 60*time.Second, f.nodes)
	f.run(70 * time.Second)
	t.Logf("offered %d admitted %d refused %v messages %d", f.offered, len(f.admitted[org]), f.refused, f.messages)
	if got := len(f.admitted[org]); got < f.offered*995/1000 {
		t.Errorf("admitted %d of %d at half of the limit", got, f.offered)
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
		t.Errorf("admitted %d in 60 s", got)
	}
	if got < 60*100*9/10 {
		t.Errorf("admitted only %d in 60 s", got)
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
		t.Errorf("%d in flight", worst)
	}
	if sum/600 < 30 {
		t.Errorf("only %d in flight on average", sum/600)
	}
}
