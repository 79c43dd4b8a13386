package endpointlimit

import (
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// heard is one step of a test: a response, or the statement of a peer.
type heard struct {
	at          time.Duration
	incarnation int64
	reading     Reading
	age         time.Duration // above 0 for a peer's statement
}

func limited(perSecond float64) Reading { return Reading{Limited: true, PerSecond: perSecond} }

func TestNewestStatementHolds(t *testing.T) {
	const s = time.Second
	for _, tt := range []struct {
		name  string
		steps []heard
		want  float64 // -1 for no limit
	}{
		{"stated", []heard{{s, 1, limited(2), 0}}, 2},
		{"never stated", []heard{{s, 1, Reading{}, 0}}, -1},
		{"zero", []heard{{s, 1, limited(0), 0}}, 0},
		{"raised", []heard{{s, 1, limited(2), 0}, {3 * s, 1, limited(5), 0}}, 5},
		{"taken back", []heard{{s, 1, limited(2), 0}, {3 * s, 1, Reading{}, 0}}, -1},
		{"unreadable", []heard{{s, 1, limited(2), 0}, {3 * s, 1, Reading{Unreadable: true}, 0}}, 2},
		{"lower of two at about the same time", []heard{{s, 1, limited(2), 0}, {s + 1, 1, limited(5), 0}}, 2},
		{"lower of two, second first", []heard{{s, 1, limited(5), 0}, {s + 1, 1, limited(2), 0}}, 2},
		{"taken back at about the same time", []heard{{s, 1, limited(2), 0}, {s + 1, 1, Reading{}, 0}}, 2},
		{"older statement of a peer", []heard{{5 * s, 1, limited(5), 0}, {5 * s, 1, limited(2), 2 * s}}, 5},
		{"newer statement of a peer", []heard{{s, 1, limited(5), 0}, {5 * s, 1, limited(8), s}}, 8},
		{"restarted endpoint", []heard{{s, 1, limited(2), 0}, {s, 2, Reading{}, 0}}, -1},
		{"response of an earlier incarnation", []heard{{s, 2, limited(2), 0}, {5 * s, 1, Reading{}, 0}}, 2},
	} {
		table := New()
		var last int64
		for _, h := range tt.steps {
			last = max(last, h.incarnation)
			if h.age > 0 {
				table.Merge(h.at, []Statement{{Endpoint: "e", Incarnation: h.incarnation, Limited: h.reading.Limited, PerSecond: h.reading.PerSecond, Age: h.age}})
				continue
			}
			table.Record(h.at, "e", h.incarnation, h.reading)
		}
		asked, ok := table.Asks("e", last)
		got := asked.PerSecond
		if !ok {
			got = -1
		}
		if got != tt.want {
			t.Errorf("%s: got a limit of %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Instances that hear different statements and exchange them hold the same limits, also if
// messages are late, lost for a while, or repeated.
func TestInstancesAgreeAfterAnExchange(t *testing.T) {
	for seed := range int64(300) {
		rnd := rand.New(rand.NewSource(seed))
		tables := make([]*Table, 2+rnd.Intn(4))
		for i := range tables {
			tables[i] = New()
		}
		now := time.Duration(0)
		for range 40 {
			now += time.Duration(rnd.Intn(400)) * time.Millisecond
			i, j := rnd.Intn(len(tables)), rnd.Intn(len(tables))
			id := entity.EndpointID(string(rune('a' + rnd.Intn(3))))
			switch rnd.Intn(3) {
			case 0:
				tables[i].Record(now, id, int64(1+rnd.Intn(2)), limited(float64(rnd.Intn(4))))
			case 1:
				tables[i].Record(now, id, int64(1+rnd.Intn(2)), Reading{})
			default:
				sent := tables[i].Since(now, 0)
				now += time.Duration(rnd.Intn(200)) * time.Millisecond
				tables[j].Merge(now, sent)
			}
		}
		for range 3 * len(tables) {
			for i := range tables {
				for j := range tables {
					tables[j].Merge(now, tables[i].Since(now, 0))
				}
			}
		}
		for i := range tables {
			if !reflect.DeepEqual(tables[i].Limits(), tables[0].Limits()) {
				t.Fatalf("seed %d: instances hold %v and %v", seed, tables[i].Limits(), tables[0].Limits())
			}
		}
	}
}

func TestOnlyChangesAreSent(t *testing.T) {
	table := New()
	table.Record(0, "a", 1, limited(1))
	table.Record(0, "b", 1, limited(1))
	version := table.Version()
	table.Record(time.Second, "a", 1, limited(1))
	if got := table.Since(time.Second, version); len(got) != 0 {
		t.Errorf("got %v to send after a repetition, want nothing", got)
	}
	table.Record(2*time.Second, "a", 1, limited(3))
	if got := table.Since(2*time.Second, version); len(got) != 1 || got[0].PerSecond != 3 {
		t.Errorf("got %v to send after a change, want the changed statement", got)
	}
	version = table.Version()
	table.Record(2*time.Minute, "b", 1, limited(1))
	if got := table.Since(2*time.Minute, version); len(got) != 1 {
		t.Errorf("got %v to send of a limit that is stated for 2 minutes, want it once more", got)
	}
}

func TestLimitThatIsNeverStatedAgainEnds(t *testing.T) {
	table := New()
	table.Record(0, "a", 1, limited(1))
	table.Expire(retention)
	if _, ok := table.Asks("a", 1); !ok {
		t.Errorf("the limit ended after %v", retention)
	}
	version := table.Version()
	table.Expire(retention + 1)
	if len(table.rows) != 0 || table.Version() == version {
		t.Errorf("the limit holds longer than %v", retention)
	}
}

func TestBrittlenessSpreadsAndEndsLikeALimit(t *testing.T) {
	first, second := New(), New()
	first.Record(0, "e", 1, Reading{Brittle: true})
	second.Merge(0, first.Since(0, 0))
	if asked, ok := second.Asks("e", 1); !ok || !asked.Brittle || asked.Limited {
		t.Errorf("got %+v, %v at another instance, want brittle and no limit", asked, ok)
	}
	if _, ok := second.Asks("e", 2); ok {
		t.Error("the next incarnation is brittle, want no statement about it")
	}
	version := first.Version()
	first.Record(2*OrderTolerance, "e", 1, Reading{})
	second.Merge(2*OrderTolerance, first.Since(2*OrderTolerance, version))
	if asked, ok := second.Asks("e", 1); ok {
		t.Errorf("got %+v after the statement was taken back, want nothing", asked)
	}
}
