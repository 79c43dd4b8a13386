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

// reload returns a copy of the state, restored from a snapshot.
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
	t.Fatal("the snapshot has no last part")
	return State{}
}

// objectStates lists the objects in force.
func objectStates(s State) []ObjectState {
	var out []ObjectState
	for o := range s.Objects() {
		out = append(out, o)
	}
	return out
}

func TestSnapshotRestoresTheCompleteState(t *testing.T) {
	s := publish(t, State{}, parseFile(t, "small.json"))
	got := reload(t, s)
	if diff := cmp.Diff(objectStates(s), objectStates(got)); diff != "" {
		t.Error(diff)
	}
	if got.Revision() != s.Revision() || !got.Time().Equal(s.Time()) {
		t.Errorf("got revision %d at %v, want %d at %v", got.Revision(), got.Time(), s.Revision(), s.Time())
	}
	if diff := cmp.Diff(s.AllEndpoints(), got.AllEndpoints()); diff != "" {
		t.Error(diff)
	}
}

// TestTombstoneExpiresAlikeWithAndWithoutSnapshot checks that a change of an object
// with an expired tombstone has the same result in a state restored from a snapshot
// as in one that applied all records; otherwise instances would disagree about the
// configuration.
func TestTombstoneExpiresAlikeWithAndWithoutSnapshot(t *testing.T) {
	create := Change{ID: "a", Kind: KindPool, Name: "p", Spec: []byte(poolSpec)}
	remove := Change{ID: "b", Kind: KindPool, Name: "p", BasedOn: 1, Delete: true}
	s, _ := State{}.Apply(recordOf(t, 0, create))
	s, _ = s.Apply(recordOf(t, 1, remove))
	if _, out := s.Apply(recordOf(t, 2, create)); out.Result != ResultLost {
		t.Fatalf("late copy of the creation: got %+v, want result %q", out, ResultLost)
	}
	late := recordOf(t, 2, Change{ID: "c", Kind: KindPool, Name: "p", Spec: []byte(poolSpec)})
	late.Time = start.Add(TombstoneTTL + 2*time.Second)
	for name, state := range map[string]State{"applied": s, "restored": reload(t, s)} {
		if _, out := state.Apply(late); out.Result != ResultApplied {
			t.Errorf("%s: got %+v, want result %q", name, out, ResultApplied)
		}
	}
}

// TestFollowerSkipsAnIncompleteSnapshot checks that a follower uses the newest
// complete snapshot if a later one lacks its last part, as after a failed append.
func TestFollowerSkipsAnIncompleteSnapshot(t *testing.T) {
	ctx := context.Background()
	svc := platformsvc.New(platformsvc.Options{Faults: &platformsvc.Faults{RetainRecords: 3}})
	s := publish(t, State{}, parseFile(t, "small.json"))
	for i := range s.Next() {
		if _, err := svc.Append(ctx, Stream, fmt.Appendf(nil, `{"n":%d}`, i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := AppendSnapshot(ctx, svc, s, "complete"); err != nil {
		t.Fatal(err)
	}
	incomplete, _ := EncodeSnapshotPart(SnapshotPart{ID: "incomplete", Next: s.Next() + 1})
	if _, err := svc.Append(ctx, SnapshotStream, incomplete); err != nil {
		t.Fatal(err)
	}
	f := NewFollower()
	if _, err := f.Sync(ctx, svc, time.Now); err != nil {
		t.Fatal(err)
	}
	if f.State().Revision() != s.Revision() || !f.CaughtUp() {
		t.Errorf("got revision %d, caught up %v, want %d, true", f.State().Revision(), f.CaughtUp(), s.Revision())
	}
}

// TestFollowerReportsLostChanges checks that a follower of a log that dropped
// changes before any snapshot was appended does not count as caught up until it
// has restored a peer's state.
func TestFollowerReportsLostChanges(t *testing.T) {
	ctx := context.Background()
	svc := platformsvc.New(platformsvc.Options{Faults: &platformsvc.Faults{RetainRecords: 1}})
	for range 3 {
		if _, err := svc.Append(ctx, Stream, []byte(`{}`)); err != nil {
			t.Fatal(err)
		}
	}
	f := NewFollower()
	if _, err := f.Sync(ctx, svc, time.Now); !errors.Is(err, ErrChangesLost) || !f.ChangesLost() || f.CaughtUp() {
		t.Fatalf("got changes lost %v, caught up %v, error %v, want true, false, %v", f.ChangesLost(), f.CaughtUp(), err, ErrChangesLost)
	}
	peer := State{&tables{next: 3, objects: emptyTables.objects, keys: emptyTables.keys}}
	f.Restore(peer)
	if _, err := f.Sync(ctx, svc, time.Now); err != nil || f.ChangesLost() || !f.CaughtUp() {
		t.Fatalf("after a peer's state: got changes lost %v, caught up %v, error %v, want false, true, none", f.ChangesLost(), f.CaughtUp(), err)
	}
}

func TestSnapshotSchedulerDueTimes(t *testing.T) {
	const retention = 24 * time.Hour
	sch := &SnapshotScheduler{}
	s := State{&tables{next: 10, objects: emptyTables.objects, keys: emptyTables.keys}}
	if sch.NeedsSnapshot(start, retention, s) {
		t.Error("a snapshot is due before SnapshotStream was read")
	}
	sch.HandleRead(platform.ReadResult{}) // the bounds of the empty stream
	sch.HandleRead(platform.ReadResult{}) // no new records
	if !sch.NeedsSnapshot(start, retention, s) {
		t.Error("no snapshot is due although SnapshotStream holds none")
	}
	part, _ := EncodeSnapshotPart(SnapshotPart{ID: "s", Next: 10, Last: true})
	sch.HandleRead(platform.ReadResult{Records: []platform.Record{{Time: start, Data: part}}, Next: 1})
	if sch.NeedsSnapshot(start.Add(retention/2-1), retention, s) {
		t.Error("a snapshot is due before half the retention has passed")
	}
	if !sch.NeedsSnapshot(start.Add(retention/2), retention, s) {
		t.Error("no snapshot is due after half the retention")
	}
	sch.Stagger = 1
	if sch.NeedsSnapshot(start.Add(retention*3/4-1), retention, s) || !sch.NeedsSnapshot(start.Add(retention*3/4), retention, s) {
		t.Error("with Stagger 1 snapshots do not become due at exactly three quarters of the retention")
	}
	sch.Stagger = 0
	s.t.next += SnapshotEvery
	if !sch.NeedsSnapshot(start, retention, s) {
		t.Error("no snapshot is due after SnapshotEvery records")
	}
}

// countingLog counts the records that are read from each stream.
type countingLog struct {
	*platformsvc.Service
	read map[platform.Stream]int
}

func (l countingLog) Read(ctx context.Context, s platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.ReadResult, error) {
	res, err := l.Service.Read(ctx, s, from, limit, wait)
	l.read[s] += len(res.Records)
	return res, err
}

func TestSchedulerAndFollowerReadOnlyTheNewestSnapshot(t *testing.T) {
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
		t.Fatalf("got next offset %d, error %v, want %d", f.State().Next(), err, s.Next())
	}
	if n := log.read[SnapshotStream]; n > parts+2 {
		t.Errorf("the follower read %d records, want at most %d", n, parts+2)
	}
	log.read[SnapshotStream] = 0
	sch := &SnapshotScheduler{}
	for !sch.Synced() {
		next := sch.NextRead()
		res, err := log.Read(ctx, next.Stream, next.From, next.Limit, 0)
		if err != nil {
			t.Fatal(err)
		}
		sch.HandleRead(res)
	}
	if n := log.read[SnapshotStream]; n > 2 || sch.NeedsSnapshot(time.Now(), time.Hour, s) {
		t.Errorf("the scheduler read %d records, want at most 2 and no snapshot due", n)
	}
}

func TestSinglePartsEqualTheSnapshot(t *testing.T) {
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
		t.Errorf("got %d parts, want at least 3", i)
	}
}

// TestFollowerCatchesUpWithPeersDuringAnOutage starts a follower while the log is
// out: it may count as caught up only with the newest revision of any peer.
func TestFollowerCatchesUpWithPeersDuringAnOutage(t *testing.T) {
	newest := publish(t, State{}, parseFile(t, "small.json"))
	f := NewFollower()
	f.CatchUpWithPeers(0)
	if f.CaughtUp() {
		t.Error("caught up with peers that have no state")
	}
	old, _ := State{}.Apply(recordOf(t, 0, Change{}))
	f.Restore(old)
	f.CatchUpWithPeers(newest.Revision())
	if f.CaughtUp() {
		t.Error("caught up with a state older than a peer's")
	}
	f.Restore(newest)
	f.CatchUpWithPeers(newest.Revision())
	if !f.CaughtUp() || !f.ConfirmedAt().IsZero() {
		t.Error("not caught up with the newest state of the peers, or confirmed without a read of the log")
	}
	f.Restore(old)
	if f.State().Revision() != newest.Revision() {
		t.Error("the follower went back to an older state")
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
		t.Error("caught up one record before the end of the log")
	}
	if _, err := f.Step(ctx, svc, time.Now, 0); err != nil || !f.CaughtUp() {
		t.Errorf("at the end of the log: got caught up %v, error %v, want true", f.CaughtUp(), err)
	}
}
