package config

import (
	"crypto/sha256"
	"os"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// start is the time of the first record in tests.
var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// parseFile parses a file of testdata that has no problems.
func parseFile(t testing.TB, name string) []Object {
	t.Helper()
	src, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	objects, problems := Parse(name, src)
	if len(problems) > 0 {
		t.Fatalf("%s: %v", name, problems)
	}
	return objects
}

// recordOf returns the record of a change at the offset.
func recordOf(t testing.TB, off platform.Offset, c Change) platform.Record {
	t.Helper()
	data, err := EncodeChange(c)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Record{Offset: off, Time: start.Add(time.Duration(off) * time.Second), Data: data}
}

// publish applies the objects as new changes, all of which must succeed.
func publish(t testing.TB, s State, objects []Object) State {
	t.Helper()
	for _, o := range Ordered(objects) {
		c := Change{
			ID: "c-" + string(o.Kind) + "-" + o.Name, Kind: o.Kind, Name: o.Name,
			BasedOn: s.ObjectState(o.Kind, o.Name).Revision, Operator: "ada", Delete: o.Delete, Spec: o.Spec,
		}
		var out Outcome
		s, out = s.Apply(recordOf(t, s.Next(), c))
		if out.Result != ResultApplied {
			t.Fatalf("%s %s: got %+v, want result %q", o.Kind, o.Name, out, ResultApplied)
		}
	}
	return s
}

func TestSmallFileIsValidAndApplies(t *testing.T) {
	objects := parseFile(t, "small.json")
	if ps := Validate(State{}, objects); len(ps) > 0 {
		t.Fatal(ps)
	}
	s := publish(t, State{}, objects)
	if s.Revision() != Revision(len(objects)) {
		t.Errorf("got revision %d, want %d", s.Revision(), len(objects))
	}
	c, ok := s.ContractByKeyHash(sha256.Sum256([]byte("test")))
	if !ok || c.Organisation != "bank" || c.MaxConcurrent != 40 {
		t.Errorf("got contract %+v, want that of bank with MaxConcurrent 40", c)
	}
	if tier, ok := s.Tier("patient"); !ok || tier != 2 {
		t.Errorf("got tier %d, found %v, want 2", tier, ok)
	}
	if eps := s.Endpoints("reports"); len(eps) != 1 || eps[0].ID != "engine-1" || eps[0].Kind != "engine" {
		t.Errorf("endpoints of pool reports: got %v, want the engine engine-1", eps)
	}
	if len(s.AllEndpoints()) != 2 {
		t.Errorf("all endpoints: got %v, want 2", s.AllEndpoints())
	}
}

func TestReadersDoNotAllocate(t *testing.T) {
	s := publish(t, State{}, parseFile(t, "small.json"))
	sum := sha256.Sum256([]byte("test"))
	n := testing.AllocsPerRun(100, func() {
		s.ContractByKeyHash(sum)
		s.Contract("bank")
		s.Pool("reports")
		s.Model("narrative")
		s.Endpoints("reports")
		s.Endpoint("engine-1")
		s.Tier("patient")
		s.Revision()
	})
	if n != 0 {
		t.Errorf("got %v allocations, want 0", n)
	}
}

func TestFirstValidChangeOnARevisionWins(t *testing.T) {
	s := publish(t, State{}, parseFile(t, "small.json"))
	seen := s.ObjectState(KindPool, "ledger")
	spec := []byte(`{"kind":"service","queue_per_endpoint":3,"max_body_bytes":1,"retry_budget":0}`)
	apply := func(c Change) Outcome {
		var out Outcome
		s, out = s.Apply(recordOf(t, s.Next(), c))
		return out
	}
	bad := apply(Change{ID: "bad", Kind: KindPool, Name: "ledger", BasedOn: seen.Revision, Spec: []byte(`{"kind":"service"}`)})
	if bad.Result != ResultInvalid || len(bad.Problems) != 2 {
		t.Errorf("invalid change: got %+v, want result %q with 2 problems", bad, ResultInvalid)
	}
	first := Change{ID: "first", Kind: KindPool, Name: "ledger", BasedOn: seen.Revision, Operator: "ada", Spec: spec}
	won := apply(first)
	if won.Result != ResultApplied {
		t.Errorf("first change: got %+v, want result %q", won, ResultApplied)
	}
	lost := apply(Change{ID: "second", Kind: KindPool, Name: "ledger", BasedOn: seen.Revision, Spec: spec})
	if lost.Result != ResultLost || lost.Current.ChangeID != "first" || lost.Current.Operator != "ada" {
		t.Errorf("second change: got %+v, want result %q to ada's change first", lost, ResultLost)
	}
	again := apply(first)
	if again.Result != ResultDuplicate || again.Current.Revision != won.Current.Revision {
		t.Errorf("first change again: got %+v, want result %q at revision %d", again, ResultDuplicate, won.Current.Revision)
	}
}

func TestApplyRejectsStaleRecordsAndGaps(t *testing.T) {
	s := publish(t, State{}, parseFile(t, "small.json"))
	for off, want := range map[platform.Offset]Result{0: ResultStale, s.Next() - 1: ResultStale, s.Next() + 1: ResultGap} {
		after, out := s.Apply(platform.Record{Offset: off, Data: []byte(`{}`)})
		if out.Result != want || after != s {
			t.Errorf("offset %d: got %q, state changed: %v, want %q and the same state", off, out.Result, after != s, want)
		}
	}
}

func TestChangesThatBreakReferencesAreInvalid(t *testing.T) {
	s := publish(t, State{}, parseFile(t, "small.json"))
	for name, c := range map[string]Change{
		"pool in use":       {Kind: KindPool, Name: "reports", Delete: true},
		"model in use":      {Kind: KindModel, Name: "narrative", Delete: true},
		"adapter in use":    {Kind: KindModel, Name: "narrative", Spec: []byte(`{"pool":"reports"}`)},
		"kind of a pool":    {Kind: KindPool, Name: "ledger", Spec: []byte(poolSpec)},
		"tier in use":       {Kind: KindDeployment, Name: DeploymentName, Spec: []byte(`{"tiers":["standard","patient"]}`)},
		"deployment":        {Kind: KindDeployment, Name: DeploymentName, Delete: true},
		"deletion of none":  {Kind: KindPool, Name: "none", Delete: true},
		"key of another":    {Kind: KindContract, Name: "thief", Spec: []byte(contractWithKey)},
		"other name inside": {Kind: KindPool, Name: "p", Spec: []byte(`{"name":"q","kind":"engine","queue_per_endpoint":1,"max_body_bytes":1}`)},
	} {
		c.ID, c.BasedOn = "x", s.ObjectState(c.Kind, c.Name).Revision
		if _, out := s.Apply(recordOf(t, s.Next(), c)); out.Result != ResultInvalid || len(out.Problems) == 0 {
			t.Errorf("%s: got %+v, want result %q with problems", name, out, ResultInvalid)
		}
	}
}

// contractWithKey is the spec of a contract with the key of contract bank in
// testdata/small.json.
const contractWithKey = `{"tiers":["urgent"],"requests_per_sec":1,"burst":1,"max_concurrent":1,` +
	`"key_hashes":["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}`

func TestKeyLookupComparesTheFullHash(t *testing.T) {
	s := publish(t, State{}, parseFile(t, "small.json"))
	sum := sha256.Sum256([]byte("test"))
	sum[len(sum)-1] ^= 1
	if c, ok := s.ContractByKeyHash(sum); ok {
		t.Errorf("a hash with a different last byte found the contract of %q", c.Organisation)
	}
}

func TestStateTimeNeverGoesBack(t *testing.T) {
	first := recordOf(t, 0, Change{})
	early := recordOf(t, 1, Change{})
	early.Time = first.Time.Add(-time.Hour)
	s, _ := State{}.Apply(first)
	s, _ = s.Apply(early)
	if !s.Time().Equal(first.Time) {
		t.Errorf("state's time: got %v, want %v", s.Time(), first.Time)
	}
}
