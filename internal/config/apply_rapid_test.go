package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/standin/platformsvc"
)

// naiveObject is the state of one object in the reference implementation.
type naiveObject struct {
	revision Revision
	id       string
	pool     string // of a model
	queue    int    // of a pool
	deleted  bool
	at       time.Time
}

// naiveState is the reference implementation of Apply. It rebuilds all objects
// from all records ever appended, without indexes or snapshots. It supports
// pools and models only.
func naiveState(history []platform.Record) map[string]naiveObject {
	m := make(map[string]naiveObject)
	for _, rec := range history {
		var env struct {
			Change *Change `json:"change"`
		}
		if json.Unmarshal(rec.Data, &env) != nil || env.Change == nil {
			continue
		}
		naiveApply(m, rec, *env.Change)
	}
	return m
}

func naiveApply(m map[string]naiveObject, rec platform.Record, c Change) {
	key := string(c.Kind) + "/" + c.Name
	old, found := m[key]
	if found && old.deleted && rec.Time.Sub(old.at) > TombstoneTTL {
		old, found = naiveObject{}, false
	}
	if found && old.id == c.ID || c.BasedOn != old.revision {
		return
	}
	n := naiveObject{revision: Revision(rec.Offset + 1), id: c.ID, deleted: c.Delete, at: rec.Time}
	var spec struct {
		Pool  string `json:"pool"`
		Queue int    `json:"queue_per_endpoint"`
	}
	_ = json.Unmarshal(c.Spec, &spec)
	n.pool, n.queue = spec.Pool, spec.Queue
	if !naiveValid(m, c, n, found && !old.deleted) {
		return
	}
	m[key] = n
}

func naiveValid(m map[string]naiveObject, c Change, n naiveObject, exists bool) bool {
	if c.Kind == KindPool && !c.Delete {
		return n.queue > 0
	}
	if c.Kind == KindModel && !c.Delete {
		p, ok := m["pool/"+n.pool]
		return ok && !p.deleted
	}
	for key, o := range m {
		if c.Kind == KindPool && key[:5] == "model" && !o.deleted && o.pool == c.Name {
			return false
		}
	}
	return exists
}

// replica is a follower and the highest offset that its state has reached.
type replica struct {
	f         *Follower
	maxOffset platform.Offset
}

// applyModel is the system under test: a simulated log with faults, followers,
// operators that publish changes, and a snapshot scheduler.
type applyModel struct {
	now       time.Time
	svc       *platformsvc.Service
	history   []platform.Record
	replicas  []*replica
	scheduler *SnapshotScheduler
	ids       int
}

// newApplyModel returns a model with a log retention of 24 hours and three followers.
func newApplyModel() *applyModel {
	m := &applyModel{now: start, scheduler: &SnapshotScheduler{}}
	faults := platformsvc.Faults{RetainSec: (24 * time.Hour).Seconds()}
	m.svc = platformsvc.New(platformsvc.Options{Now: func() time.Time { return m.now }, Faults: &faults})
	for range 3 {
		m.replicas = append(m.replicas, &replica{f: NewFollower()})
	}
	return m
}

func (m *applyModel) clock() time.Time { return m.now }

// append appends a record. It adds it to the history also if the response is lost.
func (m *applyModel) append(data []byte) {
	_, err := m.svc.Append(context.Background(), Stream, data)
	if err != nil && !errors.Is(err, platform.ErrUnknownOutcome) {
		return
	}
	m.history = append(m.history, platform.Record{Offset: platform.Offset(len(m.history)), Time: m.now, Data: data})
}

// publish publishes a change of an object, based on the revision that one replica
// shows.
func (m *applyModel) publish(t *rapid.T) {
	view := rapid.SampledFrom(m.replicas).Draw(t, "view").f.State()
	c := Change{Kind: KindPool, Name: rapid.SampledFrom([]string{"p1", "p2"}).Draw(t, "pool")}
	queue := rapid.IntRange(0, 5).Draw(t, "queue")
	c.Spec = fmt.Appendf(nil, `{"kind":"engine","queue_per_endpoint":%d,"max_body_bytes":10,"retry_budget":0}`, queue)
	if rapid.Bool().Draw(t, "model") {
		c.Spec = fmt.Appendf(nil, `{"pool":%q}`, c.Name)
		c.Kind, c.Name = KindModel, rapid.SampledFrom([]string{"m1", "m2"}).Draw(t, "name")
	}
	if c.Delete = rapid.IntRange(0, 3).Draw(t, "delete") == 0; c.Delete {
		c.Spec = nil
	}
	m.ids++
	c.ID = fmt.Sprintf("c%d", m.ids)
	c.BasedOn = view.ObjectState(c.Kind, c.Name).Revision
	data, err := EncodeChange(c)
	if err != nil {
		t.Fatal(err)
	}
	m.append(data)
}

// repeat appends an old record again, or an invalid one if there is none.
func (m *applyModel) repeat(t *rapid.T) {
	if len(m.history) == 0 {
		m.append([]byte("garbage"))
		return
	}
	m.append(rapid.SampledFrom(m.history).Draw(t, "record").Data)
}

// step makes one follower read 1 to 8 times.
func (m *applyModel) step(t *rapid.T) {
	r := rapid.SampledFrom(m.replicas).Draw(t, "replica")
	for range rapid.IntRange(1, 8).Draw(t, "steps") {
		_, _ = r.f.Step(context.Background(), m.svc, m.clock, 0)
		m.check(t)
	}
}

// restart replaces one follower by a new one, which may restore a peer's state.
func (m *applyModel) restart(t *rapid.T) {
	r := rapid.SampledFrom(m.replicas).Draw(t, "replica")
	r.f, r.maxOffset = NewFollower(), 0
	if rapid.Bool().Draw(t, "from peer") {
		r.f.Restore(copyByParts(t, rapid.SampledFrom(m.replicas).Draw(t, "peer").f.State()))
	}
}

// restorePeerState restores a peer's state, which may be older, into a follower.
func (m *applyModel) restorePeerState(t *rapid.T) {
	from := rapid.SampledFrom(m.replicas).Draw(t, "from")
	to := rapid.SampledFrom(m.replicas).Draw(t, "to")
	to.f.Restore(copyByParts(t, from.f.State()))
}

// copyByParts returns a copy of the state, made through the parts of a snapshot.
func copyByParts(t *rapid.T, s State) State {
	var a Assembly
	for p, err := range s.Snapshot("peer") {
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

// runScheduler does the work of a holder of the snapshot lease: it appends a snapshot
// when one is due, and at times earlier.
func (m *applyModel) runScheduler(t *rapid.T) {
	s := rapid.SampledFrom(m.replicas).Draw(t, "holder").f.State()
	for range 4 {
		next := m.scheduler.NextRead()
		res, err := m.svc.Read(context.Background(), next.Stream, next.From, next.Limit, 0)
		switch {
		case errors.Is(err, platform.ErrTruncated):
			m.scheduler.HandleTruncated(res)
		case err == nil:
			m.scheduler.HandleRead(res)
		}
	}
	if m.scheduler.NeedsSnapshot(m.now, 24*time.Hour, s) || rapid.IntRange(0, 3).Draw(t, "eager") == 0 {
		m.ids++
		_ = AppendSnapshot(context.Background(), m.svc, s, fmt.Sprintf("s%d", m.ids))
	}
}

// setFaults sets or clears an outage of the log and the loss of append responses.
func (m *applyModel) setFaults(t *rapid.T) {
	f := m.svc.Faults()
	f.LogOutage = rapid.SampledFrom([]platformsvc.Outage{"", "", platformsvc.OutageRefuse}).Draw(t, "outage")
	f.LoseAppendResponses = rapid.IntRange(0, 1).Draw(t, "lost")
	m.svc.SetFaults(f)
}

// advanceTime advances the time, at times by more than the log's retention or by
// TombstoneTTL.
func (m *applyModel) advanceTime(t *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{time.Minute, 5 * time.Hour, 30 * time.Hour, TombstoneTTL}).Draw(t, "d")
	m.now = m.now.Add(d)
}

// check compares every replica with the reference state after the same number of
// records, and checks that no replica has returned to an earlier offset.
func (m *applyModel) check(t *rapid.T) {
	for i, r := range m.replicas {
		s := r.f.State()
		if s.Next() < r.maxOffset {
			t.Fatalf("replica %d went back from offset %d to %d", i, r.maxOffset, s.Next())
		}
		r.maxOffset = s.Next()
		compare(t, s, naiveState(m.history[:s.Next()]))
	}
}

// compare compares a state with the reference state.
func compare(t *rapid.T, s State, want map[string]naiveObject) {
	objects := make(map[string]ObjectState)
	for o := range s.Objects() {
		objects[string(o.Kind)+"/"+o.Name] = o
	}
	live := 0
	for key, n := range want {
		if n.deleted {
			compareTombstone(t, s, key, n)
			continue
		}
		live++
		if o, ok := objects[key]; !ok || o.Revision != n.revision || o.ChangeID != n.id {
			t.Fatalf("%s at revision %d: got %+v, want %+v", key, s.Revision(), o, n)
		}
	}
	if len(objects) != live {
		t.Fatalf("revision %d: got %d objects, want %d", s.Revision(), len(objects), live)
	}
}

// compareTombstone checks that a deleted object keeps its revision until its
// tombstone expires.
func compareTombstone(t *rapid.T, s State, key string, n naiveObject) {
	kind, name, _ := strings.Cut(key, "/")
	want := n.revision
	if s.Time().Sub(n.at) > TombstoneTTL {
		want = 0
	}
	if got := s.ObjectState(Kind(kind), name).Revision; got != want {
		t.Fatalf("deleted %s at revision %d: got object revision %d, want %d", key, s.Revision(), got, want)
	}
}

// TestApplyAgreesWithReference checks that followers that start, restart, read
// snapshots and restore peers' states at any time hold the same objects as the
// reference implementation, also while the log is out, loses append responses
// or drops records.
func TestApplyAgreesWithReference(t *testing.T) {
	synced := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newApplyModel()
		t.Repeat(map[string]func(*rapid.T){
			"publish": m.publish,
			"repeat":  m.repeat,
			"step":    m.step,
			"restart": m.restart,
			"peer":    m.restorePeerState,
			"keep":    m.runScheduler,
			"faults":  m.setFaults,
			"pass":    m.advanceTime,
			"":        m.check,
		})
		m.svc.SetFaults(platformsvc.Faults{})
		for _, r := range m.replicas {
			if _, err := r.f.Sync(context.Background(), m.svc, m.clock); err == nil {
				synced++
				if int(r.f.State().Next()) != len(m.history) {
					t.Fatalf("synced to offset %d, want %d", r.f.State().Next(), len(m.history))
				}
			}
		}
		m.check(t)
	})
	if synced == 0 {
		t.Error("no replica ever caught up")
	}
}
