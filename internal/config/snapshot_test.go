package config

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/standin/platformsvc"
)

const poolSpec = `{"kind":"engine","queue_per_endpoint":1,"max_body_bytes":1,"retry_budget":0}`

// reload sends a state through a snapshot.
func reload(t testing.TB, s State) State {
	t.Helper()
	var a Assembly
	for p, err := range s.Snapshot("s") {
		if err != nil {
			t.Fatal(err)
		}
		out, done, err := a.Add(p)
		if err != nil {
			t.Fatal(err)
		}
		if done {
			return out
		}
	}
	t.Fatal("snapshot has no last part")
	return State{}
}

// standings lists all that stands.
func standings(s State) []ObjectState {
	var out []ObjectState
	for o := range s.Objects() {
		out = append(out, o)
	}
	return out
}

func TestSnapshotCarriesTheWholeState(t *testing.T) {
	s := publish(t, State{}, parseFile(t, "small.json"))
	got := reload(t, s)
	if diff := cmp.Diff(standings(s), standings(got)); diff != "" {
		t.Error(diff)
	}
	if got.Revision() != s.Revision() || !got.Time().Equal(s.Time()) {
		t.Errorf("revision %d at %v", got.Revision(), got.Time())
	}
	if diff := cmp.Diff(s.AllEndpoints(), got.AllEndpoints()); diff != "" {
		t.Error(diff)
	}
}

func TestTombstoneExpiresAlikeWithAndWithoutSnapshot(t *testing.T) {
	create := Change{ID: "a", Kind: KindPool, Name: "p", Spec: []byte(poolSpec)}
	remove := Change{ID: "b", Kind: KindPool, Name: "p", BasedOn: 1, Delete: true}
	s, _ := State{}.Apply(recordOf(t, 0, create))
	s, _ = s.Apply(recordOf(t, 1, remove))
	if _, out := s.Apply(recordOf(t, 2, create)); out.Result != ResultLost {
		t.Fatalf("late copy of the creation: %+v", out)
	}
	late := recordOf(t, 2, Change{ID: "c", Kind: KindPool, Name: "p", Spec: []byte(poolSpec)})
	late.Time = start.Add(TombstoneTTL + 2*time.Second)
	for name, state := range map[string]State{"folded": s, "restored": reload(t, s)} {
		if _, out := state.Apply(late); out.Result != ResultApplied {
			t.Errorf("%s: %+v", name, out)
		}
	}
}

func TestFollowerPassesOverAnUnfinishedSnapshot(t *testing.T) {
	ctx := context.Background()
	svc := platformsvc.New(platformsvc.Options{Faults: &platformsvc.Faults{RetainRecords: 3}})
	s := publish(t, State{}, parseFile(t, "small.json"))
	for i := range s.Next() {
		if _, err := svc.Append(ctx, Stream, fmt.Appendf(nil, `{"n":%d}`, i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := AppendSnapshot(ctx, svc, s, "whole"); err != nil {
		t.Fatal(err)
	}
	torn, _ := EncodeSnapshotPart(SnapshotPart{ID: "torn", Next: s.Next() + 1})
	if _, err := svc.Append(ctx, SnapshotStream, torn); err != nil {
		t.Fatal(err)
	}
	f := NewFollower()
	if _, err := f.Sync(ctx, svc, time.Now); err != nil {
		t.Fatal(err)
	}
	if f.State().Revision() != s.Revision() || !f.CaughtUp() {
		t.Errorf("revision %d, want %d", f.State().Revision(), s.Revision())
	}
}

func TestFollowerSaysThatChangesAreLost(t *testing.T) {
	ctx := context.Background()
	svc := platformsvc.New(platformsvc.Options{Faults: &platformsvc.Faults{RetainRecords: 1}})
	for range 3 {
		if _, err := svc.Append(ctx, Stream, []byte(`{}`)); err != nil {
			t.Fatal(err)
		}
	}
	f := NewFollower()
	if _, err := f.Sync(ctx, svc, time.Now); !errors.Is(err, ErrChangesLost) || !f.ChangesLost() || f.CaughtUp() {
		t.Fatalf("lost %v, caught up %v, error %v", f.ChangesLost(), f.CaughtUp(), err)
	}
	peer := State{&tables{next: 3, objects: emptyTables.objects, keys: emptyTables.keys}}
	f.Restore(peer)
	if _, err := f.Sync(ctx, svc, time.Now); err != nil || f.ChangesLost() || !f.CaughtUp() {
		t.Fatalf("after a peer's state: lost %v, caught up %v, error %v", f.ChangesLost(), f.CaughtUp(), err)
	}
}

func TestKeeperAsksForSnapshotsInTime(t *testing.T) {
	const retention = 24 * time.Hour
	k := &SnapshotScheduler{}
	s := State{&tables{next: 10, objects: emptyTables.objects, keys: emptyTables.keys}}
	if k.NeedsSnapshot(start, retention, s) {
		t.Error("due before the stream was read")
	}
	k.HandleRead(platform.ReadResult{}) // bounds of the stream
	k.HandleRead(platform.ReadResult{}) // nothing after them
	if !k.NeedsSnapshot(start, retention, s) {
		t.Error("not due although there is none")
	}
	part, _ := EncodeSnapshotPart(SnapshotPart{ID: "s", Next: 10, Last: true})
	k.HandleRead(platform.ReadResult{Records: []platform.Record{{Time: start, Data: part}}, Next: 1})
	if k.NeedsSnapshot(start.Add(retention/2-1), retention, s) {
		t.Error("due too early")
	}
	if !k.NeedsSnapshot(start.Add(retention/2), retention, s) {
		t.Error("not due after half the retention")
	}
	k.Stagger = 1
	if k.NeedsSnapshot(start.Add(retention*3/4-1), retention, s) || !k.NeedsSnapshot(start.Add(retention*3/4), retention, s) {
		t.Error("not staggered")
	}
	k.Stagger = 0
	s.t.next += SnapshotEvery
	if !k.NeedsSnapshot(start, retention, s) {
		t.Error("not due after many records")
	}
}

// countingLog counts the records that are read of each stream.
type countingLog struct {
	*platformsvc.Service
	read map[platform.Stream]int
}

func (l countingLog) Read(ctx context.Context, s platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.ReadResult, error) {
	res, err := l.Service.Read(ctx, s, from, limit, wait)
	l.read[s] += len(res.Records)
	return res, err
}

func TestKeeperAndFollowerReadOnlyTheNewestSnapshot(t *testing.T) {
	ctx := context.Background()
	log := countingLog{platformsvc.New(platformsvc.Options{Faults: &platformsvc.Faults{}}), make(map[platform.Stream]int)}
	s := manyContracts(t, 1500)
	parts := 0
	for range s.Snapshot("count") {
		parts++
	}
	for i := range 5 {
		if err := AppendSnapshot(ctx, log, s, fmt.Sprintf("s%d", i)); err != nil {
			t.Fatal(err)
		}
	}
	f := NewFollower()
	if _, err := f.Sync(ctx, log, time.Now); err != nil || f.State().Next() != s.Next() {
		t.Fatalf("at %d: %v", f.State().Next(), err)
	}
	if n := log.read[SnapshotStream]; n > parts+2 {
		t.Errorf("the follower read %d records for %d parts", n, parts)
	}
	log.read[SnapshotStream] = 0
	k := &SnapshotScheduler{}
	for !k.Synced() {
		ask := k.NextRead()
		res, err := log.Read(ctx, ask.Stream, ask.From, ask.Limit, 0)
		if err != nil {
			t.Fatal(err)
		}
		k.HandleRead(res)
	}
	if n := log.read[SnapshotStream]; n > 2 || k.NeedsSnapshot(time.Now(), time.Hour, s) {
		t.Errorf("the keeper read %d records", n)
	}
}

func TestPartsAskedForOneByOneAreTheSnapshot(t *testing.T) {
	s := manyContracts(t, 2000)
	var after Cursor
	i := 0
	for want, err := range s.Snapshot("s") {
		if err != nil {
			t.Fatal(err)
		}
		got, err := s.Part("s", i, after)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("part %d: %s", i, diff)
		}
		after = got.End
		i++
	}
	if i < 3 {
		t.Errorf("%d parts only", i)
	}
}

func TestStartWithTheLogOutSettlesForPeers(t *testing.T) {
	newest := publish(t, State{}, parseFile(t, "small.json"))
	f := NewFollower()
	f.CatchUpWithPeers(0)
	if f.CaughtUp() {
		t.Error("caught up with peers that know nothing")
	}
	old, _ := State{}.Apply(recordOf(t, 0, Change{}))
	f.Restore(old)
	f.CatchUpWithPeers(newest.Revision())
	if f.CaughtUp() {
		t.Error("caught up with an old state")
	}
	f.Restore(newest)
	f.CatchUpWithPeers(newest.Revision())
	if !f.CaughtUp() || !f.ConfirmedAt().IsZero() {
		t.Error("not caught up with the newest state, or confirmed by the log")
	}
	f.Restore(old)
	if f.State().Revision() != newest.Revision() {
		t.Error("went back to an older state")
	}
}

func TestFollowerIsCaughtUpOnlyAtTheEnd(t *testing.T) {
	ctx := context.Background()
	svc := platformsvc.New(platformsvc.Options{Faults: &platformsvc.Faults{}})
	for range followLimit + 1 {
		if _, err := svc.Append(ctx, Stream, []byte(`{}`)); err != nil {
			t.Fatal(err)
		}
	}
	f := NewFollower()
	for f.State().Next() < followLimit {
		if _, err := f.Step(ctx, svc, time.Now, 0); err != nil {
			t.Fatal(err)
		}
	}
	if f.CaughtUp() {
		t.Error("caught up one record before the end")
	}
	if _, err := f.Step(ctx, svc, time.Now, 0); err != nil || !f.CaughtUp() {
		t.Errorf("not caught up at the end: %v", err)
	}
}
