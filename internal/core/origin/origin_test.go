package origin

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func TestLaterDispatchHolds(t *testing.T) {
	table := NewTable()
	s := Stream{Pool: "p", Request: "r"}
	table.Add(start, []Record{{Stream: s, Version: "v2", Dispatch: 2}})
	table.Add(start, []Record{{Stream: s, Version: "v1", Dispatch: 1}})
	if r, ok := table.Find(s); !ok || r.Version != "v2" {
		t.Errorf("got %+v, %v, want the record of the second dispatch", r, ok)
	}
	if _, ok := table.Find(Stream{Pool: "other", Request: "r"}); ok {
		t.Error("found a record for a request of another pool")
	}
	table.Expire(start.Add(Retention + time.Second))
	if _, ok := table.Find(s); ok {
		t.Error("a record outlasts Retention")
	}
}

func TestOnlyStreamsOfTheBaseNeedNoRecord(t *testing.T) {
	table := NewTable()
	if !table.NeedsRecord("p", "v1") {
		t.Error("without a base, a stream needs no record")
	}
	table.SetBases([]Base{{Pool: "p", Version: "v1", Revision: 1}})
	for version, want := range map[string]bool{"v1": false, "v2": true, "": true} {
		if got := table.NeedsRecord("p", version); got != want {
			t.Errorf("version %q needs a record: %v, want %v", version, got, want)
		}
	}
	if !table.OnlyBase("p") {
		t.Error("a stream without a record may be of another version than the base")
	}
	table.Add(start, []Record{{Stream: Stream{Pool: "p", Request: "r"}, Version: "v2"}})
	if table.OnlyBase("p") {
		t.Error("only the base is said to have begun streams, want no")
	}
	table.SetBases([]Base{{Pool: "p", Version: "v2", Revision: 3}, {Pool: "p", Version: "", Revision: 2}})
	if b, _ := table.Base("p"); b.Version != "v2" {
		t.Errorf("got base %+v, want that of the highest revision", b)
	}
}

// The base follows a release only when nothing of the old version is left to be taken up, and the
// pool has no base in between.
func TestBaseFollowsAReleaseLate(t *testing.T) {
	c := NewChooser(start, true)
	at := func(after time.Duration, versions map[string]int, current Base) (Base, bool) {
		return c.Next(start.Add(after), "p", versions, current, current.Revision > 0, Log{})
	}
	old := map[string]int{"v1": 6}
	both := map[string]int{"v1": 1, "v2": 5}
	released := map[string]int{"v2": 6}
	first, ok := at(0, old, Base{})
	if !ok || first.Version != "v1" {
		t.Fatalf("got base %+v, %v at the first start, want v1", first, ok)
	}
	if b, ok := at(time.Minute, both, first); ok {
		t.Errorf("got base %+v while both versions serve, want none", b)
	}
	if b, ok := at(2*time.Minute-time.Second, released, first); ok {
		t.Errorf("got base %+v while streams of v1 may be taken up, want none", b)
	}
	closed, ok := at(2*time.Minute+time.Second, released, first)
	if !ok || closed.Version != "" || closed.Revision <= first.Revision {
		t.Fatalf("got base %+v, %v after the release, want no version", closed, ok)
	}
	if b, ok := at(2*time.Minute+20*time.Second, released, closed); ok {
		t.Errorf("got base %+v while instances may go by the old one, want none", b)
	}
	next, ok := at(2*time.Minute+time.Second+closedFor+time.Second, released, closed)
	if !ok || next.Version != "v2" {
		// the first look at the closed pool is where the time begins
		next, ok = at(3*time.Minute+closedFor, released, closed)
	}
	if !ok || next.Version != "v2" || next.Revision <= closed.Revision {
		t.Errorf("got base %+v, %v at last, want v2", next, ok)
	}
}

func TestUnknownPastGetsABaseLate(t *testing.T) {
	c := NewChooser(start, false)
	c.Observe(start, 0)
	versions := map[string]int{"v1": 2}
	if b, ok := c.Next(start.Add(Retention), "p", versions, Base{}, false, Log{}); ok {
		t.Errorf("got base %+v while streams of an unknown past may be taken up, want none", b)
	}
	if b, ok := c.Next(start.Add(Retention+time.Second), "p", versions, Base{}, false, Log{}); !ok || b.Version != "v1" {
		t.Errorf("got base %+v, %v, want v1", b, ok)
	}
}

// After a replacement of the log, records may be missing: until the base is confirmed, a stream without
// a record may have begun at any version.
func TestBaseOfAnEarlierEraProvesNothing(t *testing.T) {
	table := NewTable()
	table.SetBases([]Base{{Pool: "p", Version: "v1", Revision: 4, Era: 2}})
	if v, ok := table.Confirmed("p"); !ok || v != "v1" {
		t.Fatalf("got base %q, %v in its own era, want v1", v, ok)
	}
	table.SetEra(3)
	if v, ok := table.Confirmed("p"); ok {
		t.Errorf("got confirmed base %q in a later era, want none", v)
	}
	if !table.NeedsRecord("p", "v1") || table.OnlyBase("p") || !table.Unconfirmed() {
		t.Error("in a later era a stream of the base needs no record, or streams of other versions are ruled out")
	}
	table.SetBases([]Base{{Pool: "p", Version: "v1", Revision: 3, Era: 3}})
	if v, ok := table.Confirmed("p"); !ok || v != "v1" || table.NeedsRecord("p", "v1") || table.Unconfirmed() {
		t.Errorf("got base %q, %v once it was stated in the later era, want v1", v, ok)
	}
	table.SetBases([]Base{{Pool: "p", Version: "v2", Revision: 9, Era: 2}})
	if v, _ := table.Confirmed("p"); v != "v1" {
		t.Errorf("got base %q after a late statement of the earlier era, want v1", v)
	}
}

// A base is confirmed once the log lacks no record, or none that can still be asked for.
func TestBaseIsConfirmedOnceNothingIsMissing(t *testing.T) {
	versions := map[string]int{"v1": 2, "v2": 3}
	stated := Base{Pool: "p", Version: "v1", Revision: 4}
	tests := []struct {
		name   string
		first  bool // the first start of the deployment
		after  time.Duration
		log    Log
		stated bool
		want   bool
	}{
		{"same era", false, time.Hour, Log{Era: 0, Whole: true}, true, false},
		{"later era, records missing", false, time.Second, Log{Era: 1}, true, false},
		{"later era, whole", false, time.Second, Log{Era: 1, Whole: true}, true, true},
		{"later era, records no longer needed", false, Retention + 2*time.Second, Log{Era: 1}, true, true},
		{"first start, later era", true, time.Second, Log{Era: 1}, true, false},
		{"never stated, later era, whole", false, time.Second, Log{Era: 1, Whole: true}, false, false},
	}
	for _, tt := range tests {
		c := NewChooser(start.Add(-time.Hour), tt.first)
		c.Observe(start.Add(-time.Hour), 0)
		c.Observe(start, tt.log.Era)
		got, ok := c.Next(start.Add(tt.after), "p", versions, stated, tt.stated, tt.log)
		if ok != tt.want || ok && (got.Version != "v1" || got.Era != tt.log.Era || got.Revision <= stated.Revision) {
			t.Errorf("%s: got base %+v, %v, want %v", tt.name, got, ok, tt.want)
		}
	}
}
