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

// naiveObject is what the naive fold knows of one object.
type naiveObject struct {
	revision Revision
	id       string
	pool     string // of a model
	queue    int    // of a pool
	deleted  bool
	at       time.Time
}

// naiveFold rebuilds all objects from the list of all records ever appended.
// It knows pools and models only, and decides each change by looking at
// everything.
func naiveFold(history []platform.Record) map[string]naiveObject {
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
	old, was := m[key]
	if was && old.deleted && rec.Time.Sub(old.at) > TombstoneTTL {
		old, was = naiveObject{}, false
	}
	if was && old.id == c.ID || c.BasedOn != old.revision {
		return
	}
	n := naiveObject{revision: Revision(rec.Offset + 1), id: c.ID, deleted: c.Delete, at: rec.Time}
	var spec struct {
		Pool  string `json:"pool"`
		Queue int    `json:"queue_per_endpoint"`
	}
	_ = json.Unmarshal(c.Spec, &spec)
	n.pool, n.queue = spec.Pool, spec.Queue
	if !naiveValid(m, c, n, was && !old.deleted) {
		return
	}
	m[key] = n
}

func naiveValid(m map[string]naiveObject, c Change, n naiveObject, stands bool) bool {
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
	return stands
}

// replica is one follower with the furthest that it has been.
type replica struct {
	f    *Follower
	seen platform.Offset
}

// foldModel is a log under faults with followers, operators and a keeper.
type foldModel struct {
	now      time.Time
	svc      *platformsvc.Service
	history  []platform.Record
	replicas []*replica
	keeper   *SnapshotScheduler
	ids      int
}

// newFoldModel returns a log of a day's retention with three followers.
func newFoldModel() *foldModel {
	m := &foldModel{now: start, keeper: &SnapshotScheduler{}}
	faults := platformsvc.Faults{RetainSec: (24 * time.Hour).Seconds()}
	m.svc = platformsvc.New(platformsvc.Options{Now: func() time.Time { return m.now }, Faults: &faults})
	for range 3 {
		m.replicas = append(m.replicas, &replica{f: NewFollower()})
	}
	return m
}

func (m *foldModel) clock() time.Time { return m.now }

// append adds a record, whether or not its answer is lost.
func (m *foldModel) append(data []byte) {
	_, err := m.svc.Append(context.Background(), Stream, data)
	if err != nil && !errors.Is(err, platform.ErrUnknownOutcome) {
		return
	}
	m.history = append(m.history, platform.Record{Offset: platform.Offset(len(m.history)), Time: m.now, Data: data})
}

// publish lets an operator change an object on top of what one replica shows.
func (m *foldModel) publish(t *rapid.T) {
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

// repeat appends an old record again, or garbage.
func (m *foldModel) repeat(t *rapid.T) {
	if len(m.history) == 0 {
		m.append([]byte("garbage"))
		return
	}
	m.append(rapid.SampledFrom(m.history).Draw(t, "record").Data)
}

// step lets one follower read.
func (m *foldModel) step(t *rapid.T) {
	r := rapid.SampledFrom(m.replicas).Draw(t, "replica")
	for range rapid.IntRange(1, 8).Draw(t, "steps") {
		_, _ = r.f.Step(context.Background(), m.svc, m.clock, 0)
		m.check(t)
	}
}

// restart replaces one follower, which may then take a peer's state.
func (m *foldModel) restart(t *rapid.T) {
	r := rapid.SampledFrom(m.replicas).Draw(t, "replica")
	r.f, r.seen = NewFollower(), 0
	if rapid.Bool().Draw(t, "from peer") {
		r.f.Restore(copyByParts(t, rapid.SampledFrom(m.replicas).Draw(t, "peer").f.State()))
	}
}

// peer offers a state to a follower, which may be older than its own.
func (m *foldModel) peer(t *rapid.T) {
	from := rapid.SampledFrom(m.replicas).Draw(t, "from")
	to := rapid.SampledFrom(m.replicas).Draw(t, "to")
	to.f.Restore(copyByParts(t, from.f.State()))
}

// copyByParts sends a state through the parts of a snapshot.
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
	t.Fatal("snapshot has no last part")
	return State{}
}

// keep lets a holder of the housekeeping lease do its work.
func (m *foldModel) keep(t *rapid.T) {
	s := rapid.SampledFrom(m.replicas).Draw(t, "holder").f.State()
	for range 4 {
		ask := m.keeper.NextRead()
		res, err := m.svc.Read(context.Background(), ask.Stream, ask.From, ask.Limit, 0)
		switch {
		case errors.Is(err, platform.ErrTruncated):
			m.keeper.HandleTruncated(res)
		case err == nil:
			m.keeper.HandleRead(res)
		}
	}
	if m.keeper.NeedsSnapshot(m.now, 24*time.Hour, s) || rapid.IntRange(0, 3).Draw(t, "eager") == 0 {
		m.ids++
		_ = AppendSnapshot(context.Background(), m.svc, s, fmt.Sprintf("s%d", m.ids))
	}
}

// faults turns on an outage, a lost answer, or nothing.
func (m *foldModel) faults(t *rapid.T) {
	f := m.svc.Faults()
	f.LogOutage = rapid.SampledFrom([]platformsvc.Outage{"", "", platformsvc.OutageRefuse}).Draw(t, "outage")
	f.LoseAppendAnswers = rapid.IntRange(0, 1).Draw(t, "lost")
	m.svc.SetFaults(f)
}

// pass lets time pass, at times more than the log's retention or the
// tombstones' keep.
func (m *foldModel) pass(t *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{time.Minute, 5 * time.Hour, 30 * time.Hour, TombstoneTTL}).Draw(t, "d")
	m.now = m.now.Add(d)
}

// check compares every replica with the naive fold of as many records.
func (m *foldModel) check(t *rapid.T) {
	for i, r := range m.replicas {
		s := r.f.State()
		if s.Next() < r.seen {
			t.Fatalf("replica %d went back from %d to %d", i, r.seen, s.Next())
		}
		r.seen = s.Next()
		compare(t, s, naiveFold(m.history[:s.Next()]))
	}
}

// compare checks a state against what the naive fold says.
func compare(t *rapid.T, s State, want map[string]naiveObject) {
	standing := make(map[string]ObjectState)
	for o := range s.Objects() {
		standing[string(o.Kind)+"/"+o.Name] = o
	}
	live := 0
	for key, n := range want {
		if n.deleted {
			compareTombstone(t, s, key, n)
			continue
		}
		live++
		if o, ok := standing[key]; !ok || o.Revision != n.revision || o.ChangeID != n.id {
			t.Fatalf("%s at revision %d: got %+v, want %+v", key, s.Revision(), o, n)
		}
	}
	if len(standing) != live {
		t.Fatalf("at revision %d: %d objects stand, want %d", s.Revision(), len(standing), live)
	}
}

// compareTombstone checks that a deleted object is remembered, and only as
// long as it should be.
func compareTombstone(t *rapid.T, s State, key string, n naiveObject) {
	kind, name, _ := strings.Cut(key, "/")
	want := n.revision
	if s.Time().Sub(n.at) > TombstoneTTL {
		want = 0
	}
	if got := s.ObjectState(Kind(kind), name).Revision; got != want {
		t.Fatalf("deleted %s at revision %d: based on %d, want %d", key, s.Revision(), got, want)
	}
}

func TestFoldAgreesWithNaiveFold(t *testing.T) {
	synced := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newFoldModel()
		t.Repeat(map[string]func(*rapid.T){
			"publish": m.publish,
			"repeat":  m.repeat,
			"step":    m.step,
			"restart": m.restart,
			"peer":    m.peer,
			"keep":    m.keep,
			"faults":  m.faults,
			"pass":    m.pass,
			"":        m.check,
		})
		m.svc.SetFaults(platformsvc.Faults{})
		for _, r := range m.replicas {
			if _, err := r.f.Sync(context.Background(), m.svc, m.clock); err == nil {
				synced++
				if int(r.f.State().Next()) != len(m.history) {
					t.Fatalf("synced to %d of %d", r.f.State().Next(), len(m.history))
				}
			}
		}
		m.check(t)
	})
	if synced == 0 {
		t.Error("no replica ever caught up")
	}
}
