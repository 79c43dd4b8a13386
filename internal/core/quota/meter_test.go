package quota

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const org = entity.OrgID("org")

var (
	start = time.Unix(1_700_000_000, 0)
	limit = Limit{Rate: 1000, Burst: 2000}
)

func TestBucket(t *testing.T) {
	m := NewMeter(true)
	m.ApplyAccounts(start, nil, 1)
	steps := []struct {
		at      time.Duration
		cost    float64
		reserve float64
		ok      bool
	}{
		{0, 1500, 0, true},
		{0, 400, 200, true},               // 500 are left, more than the reserve
		{0, 50, 200, false},               // 100 are left, less than it
		{0, 5000, 0, true},                // one request may overdraw
		{time.Second, 1, 0, false},        // in debt
		{5 * time.Second, 1, 0, true},     // repaid
		{60 * time.Second, 2000, 0, true}, // never more than the burst
		{60 * time.Second, 1, 0, false},
	}
	for i, s := range steps {
		now := start.Add(s.at)
		m.ApplyAccounts(now, map[entity.OrgID]Account{org: {Level: m.Level(now, org, limit), RefillRate: limit.Rate, GroupUseRate: 1, Counted: m.Used()[org].Total}}, 1)
		ok, after := m.Charge(now, org, limit, s.cost, s.reserve)
		if ok != s.ok || (!ok && after <= 0) {
			t.Errorf("step %d: %v, come back in %v, want %v", i, ok, after, s.ok)
		}
	}
}

func TestRefund(t *testing.T) {
	m := NewMeter(true)
	m.Charge(start, org, limit, 1500, 0)
	m.Refund(start, org, 1500)
	if l := m.Level(start, org, limit); l != limit.Burst {
		t.Errorf("the bucket holds %v, want all of %v", l, limit.Burst)
	}
}

func TestLowestRanksAreGivenUpFirst(t *testing.T) {
	if a, b, c := limit.Reserve(0, true), limit.Reserve(1, true), limit.Reserve(7, true); a != 0 || b <= a || c <= b || c >= limit.Burst {
		t.Errorf("reserves %v, %v, %v", a, b, c)
	}
	if r := limit.Reserve(2, false); r != 0 {
		t.Errorf("a small request leaves %v", r)
	}
}

// An instance that hears nothing uses what it did before, and a little more.
func TestInstanceAlone(t *testing.T) {
	m := NewMeter(false)
	now := start
	told := func() {
		m.ApplyAccounts(now, map[entity.OrgID]Account{org: {Level: 500, RefillRate: limit.Rate, GroupUseRate: 1000, Counted: m.Used()[org].Total}}, 10)
	}
	for range 400 { // 100 a second, a tenth of the limit, for 20 s
		now = now.Add(50 * time.Millisecond)
		m.Charge(now, org, limit, 5, 0)
		told()
	}
	admitted := 0.0
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		if ok, _ := m.Charge(now, org, limit, 50, 0); ok {
			admitted += 50
		}
	}
	if rate := (admitted - 500) / 20; rate > 150 || rate < 50 {
		t.Errorf("alone it admits %.0f a second, before it was 100", rate)
	}
}

func TestNewInstanceBeginsNearEmpty(t *testing.T) {
	if l := NewMeter(false).Level(start, org, limit); l > limit.Burst/4 {
		t.Errorf("after a restart the bucket holds %v of %v: what was used before is not known", l, limit.Burst)
	}
}
