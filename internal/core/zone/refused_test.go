package zone

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// A coordinator that the store refuses while it answers others gives the role
// up. Where the store answers nobody, another one could do no better; the last
// answers to each are up to a read apart.
func TestCoordinatorThatTheStoreRefuses(t *testing.T) {
	const outage, read = 5 * time.Second, 900 * time.Millisecond
	tests := []struct {
		name        string
		own, others time.Duration // the last answers, from the start
		want        bool
	}{
		{"all are answered", 2 * outage, 2 * outage, false},
		{"it alone is refused", outage, 2 * outage, true},
		{"all are refused", outage - read, outage, false},
		{"others are refused", 2 * outage, outage, false},
		{"it was never answered", -time.Hour, 2 * outage, true},
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
				t.Errorf("refused %v, want %v", got, tt.want)
			}
		})
	}
}

// Members whose coordinator can't read begin to read one after the other, and
// soon enough to learn within 2 s that an endpoint leaves.
func TestMembersBeginToReadInTurn(t *testing.T) {
	at := Moment{Now: time.Unix(1_700_000_000, 0), Boot: time.Hour}
	const members = 32
	reading := func(after time.Duration) (n int) {
		for i := range members {
			c, _ := newMemberOf(i)
			c.HandleBulletin(at, "z0-0", Bulletin{ReadAge: readStale + time.Millisecond, ConfigVersion: 1})
			if c.ShouldReadStore(at.Now.Add(after)) {
				n++
			}
		}
		return n
	}
	if n := reading(readSpread / 2); n < members/4 || n > members*3/4 {
		t.Errorf("%d of %d members read after half of the time", n, members)
	}
	const known = 2 * time.Second
	if n := reading(known - readStale - 2*ReportInterval); n != members {
		t.Errorf("%d of %d members read in time to know within %v", n, members, known)
	}
}
