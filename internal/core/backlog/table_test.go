package backlog

import (
	"math/rand"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

var start = time.Unix(1_700_000_000, 0)

// slowExchange opens an exchange that holds n bytes beside its overhead and has been slow since a time.
func slowExchange(t *testing.T, table *Table, org entity.OrgID, n int64, since time.Time) *Exchange {
	t.Helper()
	e := table.Open(org)
	if _, ok := table.Grow(since, e, n); !ok {
		t.Fatalf("no room for %d bytes beside %d", n, table.Held())
	}
	table.SetSlow(e, since)
	return e
}

// The load: one organisation's callers have all stopped reading, one caller of another organisation
// reads slowly and holds more than each of them.
func TestOrganisationThatHoldsTheMostGivesFirst(t *testing.T) {
	table := New(1600<<10 + 11*SlowOverhead)
	other := slowExchange(t, table, "other", 200<<10, start)
	var crowd []*Exchange
	for i := range 10 {
		crowd = append(crowd, slowExchange(t, table, "crowd", 140<<10, start.Add(time.Duration(-i)*time.Second)))
	}
	letGo, ok := table.Grow(start.Add(MinSlow), table.Open("third"), 100<<10)
	if !ok || len(letGo) != 2 {
		t.Fatalf("got %d callers to let go, ok %v, want 2 and true: 100 KB and a sixteenth of the limit are needed", len(letGo), ok)
	}
	if letGo[0] != crowd[9] || letGo[1] != crowd[8] {
		t.Error("of callers that hold the same, the one that has been slow for longest must be let go first")
	}
	if other.letGo {
		t.Error("the caller of another organisation was let go, want those of the one that holds the most")
	}
}

// A slow caller's own answer makes no room at the cost of an organisation that holds less.
func TestSlowCallerDoesNotDisplaceAnotherOrganisation(t *testing.T) {
	table := New(100 + 2*SlowOverhead)
	other := slowExchange(t, table, "other", 30, start.Add(-time.Minute))
	growing := slowExchange(t, table, "crowd", 70, start)
	if letGo, ok := table.Grow(start.Add(MinSlow), growing, 10); ok || len(letGo) > 0 {
		t.Errorf("got %d callers let go, ok %v, want none and false", len(letGo), ok)
	}
	if _, ok := table.Grow(start.Add(MinSlow+ChoiceInterval), other, 10); !ok || !growing.letGo {
		t.Error("the organisation that holds less must get room from the one that holds more")
	}
}

func TestLargestIsLetGoFirst(t *testing.T) {
	table := New(100 + 2*SlowOverhead)
	slowExchange(t, table, "org", 30, start.Add(-time.Minute))
	large := slowExchange(t, table, "org", 70, start)
	letGo, ok := table.Grow(start.Add(MinSlow), table.Open("org"), 10)
	if !ok || len(letGo) != 1 || letGo[0] != large {
		t.Errorf("got %v, ok %v, want the exchange that holds the most", letGo, ok)
	}
}

// Nobody loses an answer in vain, for a short pause, or while reading.
func TestOnlySlowCallersThatMakeRoomAreLetGo(t *testing.T) {
	const limit = 100 + SlowOverhead
	tests := []struct {
		name  string
		setup func(*Table)
		need  int64
	}{
		{"not enough room", func(table *Table) { slowExchange(t, table, "org", 50, start.Add(-time.Minute)) }, limit + 1},
		{"short pause", func(table *Table) { slowExchange(t, table, "org", limit-SlowOverhead, start) }, 1},
		{"reads again", func(table *Table) {
			table.SetReading(slowExchange(t, table, "org", limit, start.Add(-time.Minute)))
		}, 1},
	}
	for _, tt := range tests {
		table := New(limit)
		tt.setup(table)
		if letGo, ok := table.Grow(start.Add(MinSlow/2), table.Open("org"), tt.need); ok || len(letGo) > 0 {
			t.Errorf("%s: got %d callers let go, ok %v, want none and false", tt.name, len(letGo), ok)
		}
	}
}

// The load: more callers stop reading at once than there is memory for what each takes beside its answer.
func TestCrowdThatHoldsNoAnswersIsLetGo(t *testing.T) {
	const fits = 32
	table := New(fits * SlowOverhead)
	for range 2 * fits {
		table.SetSlow(table.Open("crowd"), start)
	}
	left := 2 * fits
	for i := 0; table.total > table.limit; i++ {
		letGo := table.Relieve(start.Add(time.Duration(i) * ChoiceInterval))
		if len(letGo) == 0 {
			t.Fatalf("nobody is let go while %d bytes are held and %d may be", table.total, table.limit)
		}
		for _, e := range letGo {
			table.Close(e)
		}
		left -= len(letGo)
	}
	if left < fits-fits/spareDivisor-1 {
		t.Errorf("%d callers are left, want nearly the %d for which there is room", left, fits)
	}
}

// Whatever happens, the sum without callers being let go stays under the limit, but for the overhead
// of slow callers; nobody is let go twice, and nothing is left when all exchanges have ended.
func TestSumStaysUnderTheLimit(t *testing.T) {
	const limit = 20 * SlowOverhead
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		table := New(limit)
		var open []*Exchange
		gone := make(map[*Exchange]bool)
		for step := range 400 {
			now := start.Add(time.Duration(step) * 50 * time.Millisecond)
			if len(open) == 0 || rng.Intn(4) == 0 {
				open = append(open, table.Open(entity.OrgID(rune('a'+rng.Intn(3)))))
			}
			e := open[rng.Intn(len(open))]
			check := func(letGo []*Exchange, slowFor time.Duration) {
				for _, victim := range letGo {
					if gone[victim] || victim.slowSince.IsZero() || victim.SlowFor(now) < slowFor {
						t.Fatalf("seed %d: let a caller go twice, or one that was not slow", seed)
					}
					gone[victim] = true
				}
			}
			check(table.Relieve(now), 0)
			switch rng.Intn(5) {
			case 0:
				table.SetSlow(e, now)
			case 1:
				table.SetReading(e)
			case 2:
				table.Shrink(e, rng.Int63n(SlowOverhead))
			default:
				letGo, _ := table.Grow(now, e, rng.Int63n(4*SlowOverhead))
				check(letGo, MinSlow)
			}
			for victim := range gone {
				table.Close(victim)
			}
			if over := table.total - table.leaving - limit; over > int64(table.Slow())*SlowOverhead || table.leaving != 0 {
				t.Fatalf("seed %d: %d bytes held, %d of them leaving, limit %d", seed, table.total, table.leaving, table.limit)
			}
		}
		for _, e := range open {
			table.Close(e)
		}
		if table.total != 0 || table.leaving != 0 || table.Slow() != 0 {
			t.Fatalf("seed %d: %d bytes, %d leaving and %d slow left after all have ended, want 0", seed, table.total, table.leaving, table.Slow())
		}
	}
}
