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

// statements plays a Chooser's statements about one pool.
type statements struct {
	t       *testing.T
	chooser *Chooser
	current Base
	now     time.Duration
}

// play advances the time in steps, with endpoints of some versions, until a statement is made or a length of time
// has passed. It returns when the statement was made.
func (s *statements) play(length time.Duration, versions map[string]Presence) (at time.Duration, made bool) {
	s.t.Helper()
	const step = 500 * time.Millisecond
	for end := s.now + length; s.now < end; s.now += step {
		b, ok := s.chooser.Next(start.Add(s.now), "p", versions, s.current, s.current.Revision > 0, Log{})
		if !ok {
			continue
		}
		if b.Revision <= s.current.Revision {
			s.t.Fatalf("got revision %d after %d", b.Revision, s.current.Revision)
		}
		s.current = b
		return s.now, true
	}
	return 0, false
}

// The base is taken away soon after its last endpoint has left, so that the log says so; the next version is
// announced, and becomes the base only when nothing of any other version is left to be taken up.
func TestBaseFollowsAReleaseLate(t *testing.T) {
	s := &statements{t: t, chooser: NewChooser(start, true)}
	old, both, released := map[string]Presence{"v1": {Endpoints: 6}}, map[string]Presence{"v1": {Endpoints: 1}, "v2": {Endpoints: 5}}, map[string]Presence{"v2": {Endpoints: 6}}
	if s.play(time.Second, old); s.current.Version != "v1" {
		t.Fatalf("got base %+v at the first start, want v1", s.current)
	}
	if _, made := s.play(2*time.Minute, both); made {
		t.Errorf("got base %+v while both versions serve, want none", s.current)
	}
	if _, made := s.play(goneFor-time.Second, released); made {
		t.Errorf("got base %+v while endpoints of v1 may come back, want none", s.current)
	}
	if s.play(2*time.Second, released); s.current.Version != "" || s.current.Next != "" {
		t.Fatalf("got base %+v after the release, want none and none announced", s.current)
	}
	closed := s.now
	if at, made := s.play(time.Hour, released); !made || s.current.Version != "" || s.current.Next != "v2" || at-closed < StatementLifetime {
		t.Fatalf("got base %+v after %v, want v2 announced after %v", s.current, at-closed, StatementLifetime)
	}
	announced := s.now
	if at, made := s.play(time.Hour, released); !made || s.current.Version != "v2" || at-announced < StatementLifetime+Retention {
		t.Fatalf("got base %+v after %v, want v2 after %v", s.current, at-announced, StatementLifetime+Retention)
	}
}

// A pool whose base has no endpoint keeps it as long as no other version serves: its streams can be taken up only
// at endpoints that come back.
func TestBaseStaysWhileNoOtherVersionServes(t *testing.T) {
	s := &statements{t: t, chooser: NewChooser(start, true)}
	s.play(time.Second, map[string]Presence{"v1": {Endpoints: 6}})
	if _, made := s.play(10*time.Minute, nil); made {
		t.Errorf("got base %+v without endpoints, want none", s.current)
	}
}

// Endpoints that have said that they will stop don't come back: the base is taken away with the last of them.
func TestBaseIsTakenAwayWithTheLastEndpointThatLeaves(t *testing.T) {
	s := &statements{t: t, chooser: NewChooser(start, true)}
	s.play(time.Second, map[string]Presence{"v1": {Endpoints: 2}})
	leaving := map[string]Presence{"v1": {Endpoints: 2, Leaving: 2}, "v2": {Endpoints: 2}}
	if _, made := s.play(time.Minute, leaving); made {
		t.Fatalf("got base %+v while streams of v1 are served, want none", s.current)
	}
	if s.play(time.Second, map[string]Presence{"v2": {Endpoints: 2}}); s.current.Version != "" {
		t.Errorf("got base %+v once the last endpoint has left, want none", s.current)
	}
}

// An announced version that leaves does not become the base, however long ago it was announced: streams that
// began at another one meanwhile may have lost their records.
func TestAnnouncedVersionThatLeavesIsNotTheBase(t *testing.T) {
	s := &statements{t: t, chooser: NewChooser(start, true)}
	s.play(time.Second, map[string]Presence{"v1": {Endpoints: 6}})
	s.play(time.Minute, map[string]Presence{"v2": {Endpoints: 6}})
	if s.play(time.Minute, map[string]Presence{"v2": {Endpoints: 6}}); s.current.Next != "v2" {
		t.Fatalf("got base %+v, want v2 announced", s.current)
	}
	if s.play(time.Minute, map[string]Presence{"v1": {Endpoints: 6}}); s.current.Next != "" || s.current.Version != "" {
		t.Fatalf("got base %+v after the announced version has left, want none and none announced", s.current)
	}
	if s.play(time.Hour, map[string]Presence{"v1": {Endpoints: 6}}); s.current.Next != "v1" {
		t.Fatalf("got base %+v, want v1 announced", s.current)
	}
}

// What a missing record proves rests on the log alone, as all instances may be killed: only streams of the base
// or of the announced version may be sent before the log has their records, or all while there is no base.
func TestStreamsThatAMissingRecordWouldMisplaceNeedTheLog(t *testing.T) {
	tests := []struct {
		name    string
		base    Base
		version string
		stale   bool
		want    bool
	}{
		{"base", Base{Version: "v1"}, "v1", false, false},
		{"base, stale", Base{Version: "v1"}, "v1", true, false},
		{"other than the base", Base{Version: "v1"}, "v2", false, true},
		{"unreadable version", Base{Version: "v1"}, "", false, true},
		{"no base", Base{}, "v2", false, false},
		{"no base, unreadable version", Base{}, "", false, false},
		{"no base, stale", Base{}, "v2", true, true},
		{"announced", Base{Next: "v2"}, "v2", false, false},
		{"announced, stale", Base{Next: "v2"}, "v2", true, true},
		{"other than the announced", Base{Next: "v2"}, "v1", false, true},
		{"unreadable beside an announced one", Base{Next: "v2"}, "", false, true},
	}
	for _, tt := range tests {
		table := NewTable()
		tt.base.Pool, tt.base.Revision = "p", 1
		table.SetBases([]Base{tt.base})
		if got := table.NeedsLog("p", tt.version, !tt.stale); got != tt.want {
			t.Errorf("%s: needs the log %v, want %v", tt.name, got, tt.want)
		}
	}
	if !NewTable().NeedsLog("p", "v1", true) {
		t.Error("without a statement, a stream may be sent before the log has its record")
	}
}

func TestUnknownPastGetsABaseLate(t *testing.T) {
	c := NewChooser(start, false)
	c.Observe(start, 0)
	versions := map[string]Presence{"v1": {Endpoints: 2}}
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
	versions := map[string]Presence{"v1": {Endpoints: 2}, "v2": {Endpoints: 3}}
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
