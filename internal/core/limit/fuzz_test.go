package limit

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

func fuzzZone() Zone {
	return Zone{Members: []entity.Instance{{ID: "a"}, {ID: "b"}}, FleetSize: 2}
}

func fuzzContracts(entity.OrgID) (Limit, bool) {
	return Limit{Rate: 10, Burst: 5, Concurrent: 4}, true
}

// FuzzHome sends a home arbitrary demands: what it lends stays within the zone's part.
func FuzzHome(f *testing.F) {
	f.Add([]byte(`{"s":1,"m":3,"c":true,"o":[{"o":"x","r":5,"w":2,"f":1}]}`))
	f.Add([]byte(`{"s":1,"o":[{"o":"x","r":-5,"w":-2,"f":-1,"h":-9,"k":-9,"p":-1},{"o":"x","r":1e300}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Demand
		if json.Unmarshal(data, &d) != nil {
			return
		}
		h := NewHome(DefaultSettings(), "a", fuzzContracts)
		now := time.Unix(1000, 0)
		h.SetZone(now, fuzzZone())
		h.Tick(now)
		for range 30 {
			now = now.Add(time.Second)
			h.Tick(now)
			h.Step(now, "b", d)
		}
		for _, o := range h.Ready().Messages {
			for _, s := range o.Share.Orgs {
				if s.Rate < 0 || s.Rate > 10 || s.Concurrent < 0 || s.Concurrent > 4 || s.Tokens < 0 {
					t.Fatalf("lent %+v, want rate 0 to 10, concurrency 0 to 4 and no negative tokens", s)
				}
			}
		}
	})
}

// FuzzBorrower sends a borrower arbitrary shares: its count of requests in flight
// equals the number of requests admitted.
func FuzzBorrower(f *testing.F) {
	f.Add([]byte(`{"s":1,"a":1,"o":[{"o":"x","r":5,"t":3,"k":7}]}`))
	f.Add([]byte(`{"s":9,"a":1,"o":[{"o":"x","r":-5,"t":-3,"k":-7}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s Share
		if json.Unmarshal(data, &s) != nil {
			return
		}
		b := NewBorrower(DefaultSettings(), fuzzContracts)
		now := time.Unix(1000, 0)
		b.SetZone(now, fuzzZone())
		admitted := 0
		for range 10 {
			if ok, _, _ := b.Admit(now, "x"); ok {
				admitted++
			}
			b.Ready()
			b.Step(now, "a", s)
			b.Step(now, "b", s)
			now = now.Add(100 * time.Millisecond)
			b.Tick(now)
		}
		if got := b.InFlight("x"); got != admitted {
			t.Fatalf("got %d in flight, want %d", got, admitted)
		}
	})
}
