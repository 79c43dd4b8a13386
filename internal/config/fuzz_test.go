package config

import (
	"os"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// FuzzParse passes arbitrary files to the parser and the validator. Objects that
// both accept must apply without a problem.
func FuzzParse(f *testing.F) {
	small, err := os.ReadFile("testdata/small.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(small)
	f.Add([]byte(`{"kind":"pool","name":"p","delete":true}`))
	f.Add([]byte("[{\"kind\":\"contract\", // c\n\"name\":\"\xff\",\"spec\":{\"tiers\":[null]}}]"))
	f.Fuzz(func(t *testing.T, src []byte) {
		objects, problems := Parse("f", src)
		for _, p := range problems {
			if p.Reason == "" || p.File != "f" {
				t.Fatalf("problem without reason or file: %+v", p)
			}
		}
		if len(problems) == 0 && len(Validate(State{}, objects)) == 0 {
			publish(t, State{}, objects)
		}
	})
}

// FuzzApply applies arbitrary records. Apply must not panic, must advance the state
// by exactly one record, and must give the same result for the same record. If the
// change was applied, the same change in the next record must be a duplicate.
func FuzzApply(f *testing.F) {
	data, err := EncodeChange(Change{ID: "c", Kind: KindPool, Name: "p", Spec: []byte(poolSpec)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"change":{"id":"x","kind":"deployment","name":"default","delete":true}}`))
	f.Add([]byte(`{"change":null,"snapshot":{"part":-1}}`))
	var base State
	for _, o := range Ordered(parseFile(f, "small.json")) {
		c := Change{ID: o.Name, Kind: o.Kind, Name: o.Name, Spec: o.Spec}
		base, _ = base.Apply(recordOf(f, base.Next(), c))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		rec := platform.Record{Offset: base.Next(), Time: start, Data: data}
		s, out := base.Apply(rec)
		again, same := base.Apply(rec)
		if s.Next() != base.Next()+1 || again.Next() != s.Next() || out.Result != same.Result {
			t.Fatalf("the same record at offset %d gave %+v at next offset %d, then %+v at %d", rec.Offset, out, s.Next(), same, again.Next())
		}
		if _, twice := s.Apply(platform.Record{Offset: s.Next(), Time: start, Data: data}); out.Result == ResultApplied && twice.Result != ResultDuplicate {
			t.Fatalf("the same change in the next record: got %+v, want result %q", twice, ResultDuplicate)
		}
	})
}

// FuzzSnapshot passes arbitrary records of SnapshotStream to a follower and to a
// snapshot scheduler. They must not panic, and a snapshot alone must not make the
// follower count as caught up.
func FuzzSnapshot(f *testing.F) {
	s := publish(f, State{}, parseFile(f, "small.json"))
	for p, err := range s.Snapshot("s") {
		if err != nil {
			f.Fatal(err)
		}
		data, _ := EncodeSnapshotPart(p)
		f.Add(data)
	}
	f.Add([]byte(`{"snapshot":{"id":"s","next":3,"part":5,"begin":-7,"last":true,"data":"AAAA"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		fl := NewFollower()
		res := platform.ReadResult{Records: []platform.Record{{Data: data}}, Next: 1}
		for range 8 {
			if fl.NextRead().Stream == Stream {
				break
			}
			fl.HandleRead(time.Time{}, res)
		}
		if fl.State().Next() < 0 || fl.CaughtUp() {
			t.Fatalf("got next offset %d, caught up %v, want at least 0, false", fl.State().Next(), fl.CaughtUp())
		}
		var sch SnapshotScheduler
		sch.HandleRead(res)
	})
}
