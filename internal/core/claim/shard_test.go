package claim

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/stream"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// only returns the one decision there is.
func only(t *testing.T, ds []Decision) Decision {
	t.Helper()
	if len(ds) != 1 {
		t.Fatalf("%d decisions: %+v", len(ds), ds)
	}
	return ds[0]
}

func caughtUp(t *testing.T, l *streamRecords) *Shard {
	t.Helper()
	s := testShard(t, "a")
	drive(start, s, l)
	return s
}

// takeBatch returns the batch that is due, and answers the read beside it.
func takeBatch(t *testing.T, now time.Time, s *Shard, l streamRecords) Batch {
	t.Helper()
	r := s.Ready()
	if r.Read != nil {
		s.ApplyRecords(now, l[r.Read.From:], 0, platform.Offset(len(l)))
	}
	if len(r.Appends) != 1 {
		t.Fatalf("%+v", r)
	}
	return r.Appends[0]
}

func TestRefusesUntilTheStreamWasRead(t *testing.T) {
	s := testShard(t, "a")
	s.Propose(start, propose("r1"))
	d := only(t, s.Ready().Decisions)
	if d.Verdict != verdict.NotRun || d.Reason != verdict.ReasonNotReady || d.RetryAfter == 0 {
		t.Errorf("%+v", d)
	}
}

func TestRefusesAtOnceWhileTheLogIsDown(t *testing.T) {
	s := caughtUp(t, &streamRecords{})
	for range stream.DownAfter {
		s.ReadFailed(start, platform.ErrUnavailable)
	}
	s.Propose(start, propose("r1"))
	d := only(t, s.Ready().Decisions)
	if d.Verdict != verdict.NotRun || d.Reason != verdict.ReasonLogUnavailable || d.RetryAfter == 0 {
		t.Errorf("%+v", d)
	}
}

func TestFailedAppendRefusesItsProposals(t *testing.T) {
	s := caughtUp(t, &streamRecords{})
	s.Propose(start, propose("r1"))
	now := start
	for range stream.DownAfter {
		s.AppendResult(now, takeBatch(t, now, s, nil).ID, AppendFailed, 0)
		now = now.Add(DefaultAppendBackoff)
		s.Tick(now)
	}
	if d := only(t, s.Ready().Decisions); d.Verdict != verdict.NotRun || d.Reason != verdict.ReasonLogUnavailable {
		t.Errorf("%+v", d)
	}
}

// An append whose answer was lost is decided by reading, not appended again.
func TestLostAnswerIsSettledByReading(t *testing.T) {
	var l streamRecords
	s := caughtUp(t, &l)
	s.Propose(start, propose("r1"))
	b := takeBatch(t, start, s, l)
	l.append(start, b.Data)
	s.AppendResult(start, b.ID, AppendUnknown, 0)
	if d := only(t, drive(start, s, &l)); !d.Won {
		t.Errorf("%+v", d)
	}
	if len(l) != 1 {
		t.Errorf("%d records", len(l))
	}
}

// A batch that a later read doesn't show is appended again under its id, and
// both copies together count once.
func TestMissingBatchIsRepeatedHarmlessly(t *testing.T) {
	var l streamRecords
	s := caughtUp(t, &l)
	s.Propose(start, propose("r1"))
	first := takeBatch(t, start, s, l)
	s.AppendResult(start, first.ID, AppendUnknown, 0)
	now := start.Add(time.Second)
	s.Tick(now)
	if r := s.Ready(); r.Read == nil || len(r.Appends) != 0 {
		t.Fatalf("appends again before it has read: %+v", r)
	}
	s.ApplyRecords(now, nil, 0, 0)
	if again := takeBatch(t, now, s, l); again.ID != first.ID || !bytes.Equal(again.Data, first.Data) {
		t.Fatalf("%+v", again)
	}
	l.append(now, first.Data)
	l.append(now, first.Data)
	s.AppendResult(now, first.ID, AppendDone, 1)
	s.ApplyRecords(now, l, 0, 2)
	if d := only(t, s.Ready().Decisions); !d.Won {
		t.Errorf("%+v", d)
	}
}

// A proposal that was refused while its claim was on its way holds its key
// once the claim lands; its entry instance hears of it and frees the key.
func TestClaimThatLandsLateIsHandedBack(t *testing.T) {
	var l streamRecords
	s := caughtUp(t, &l)
	ticket := NewTicket(start)
	s.Propose(start, propose("r1"))
	b := s.Ready().Appends[0]
	now := start.Add(DefaultDecisionTimeout)
	s.Tick(now)
	if d := only(t, s.Ready().Decisions); d.Verdict != verdict.NotRun || ticket.HandleDecision(d) != TicketAnswer {
		t.Fatalf("%+v", d)
	}
	l.append(now, b.Data)
	now = now.Add(DefaultReadTimeout)
	s.Tick(now)
	now = now.Add(DefaultReadBackoff)
	s.Tick(now)
	d := only(t, drive(now, s, &l))
	if !d.Won || ticket.HandleDecision(d) != TicketSettle || ticket.Dispatch(now) {
		t.Fatalf("%+v", d)
	}
	s.Settle(now, Outcome{Request: "r1", Org: "org", Key: testKey, From: "entry", Verdict: verdict.NotRun})
	drive(now, s, &l)
	s.Propose(now, propose("r2"))
	if d := only(t, drive(now, s, &l)); !d.Won || d.Request != "r2" {
		t.Errorf("%+v", d)
	}
}

func TestKeyReusedWithAnotherBody(t *testing.T) {
	var l streamRecords
	s := caughtUp(t, &l)
	s.Propose(start, propose("r1"))
	drive(start, s, &l)
	p := propose("r2")
	p.BodyHash = HashBody([]byte("another"))
	s.Propose(start, p)
	if d := only(t, drive(start, s, &l)); d.Verdict != verdict.NotRun || d.Reason != verdict.ReasonKeyReused {
		t.Errorf("%+v", d)
	}
}

func TestClaimantThatDiedMayHaveRun(t *testing.T) {
	var l streamRecords
	s := caughtUp(t, &l)
	s.Propose(start, propose("r1"))
	drive(start, s, &l)
	s.Propose(start.Add(DefaultDispatchWithin+DefaultMaxRunTime+time.Second), propose("r2"))
	d := only(t, s.Ready().Decisions)
	if d.Verdict != verdict.MayHaveRun || d.Reason != verdict.ReasonConnectionLost || d.RetryAfter != 0 {
		t.Errorf("%+v", d)
	}
}

func TestTimedKeyIsRefusedOnceItsWindowIsOver(t *testing.T) {
	id, err := ulid.New(ulid.Timestamp(start), bytes.NewReader(make([]byte, 16)))
	if err != nil {
		t.Fatal(err)
	}
	p := Proposal{Request: "r1", Org: "org", Key: id.String(), From: "entry"}
	s, err := New(Settings{Instance: "a"}, ShardOf(p.Org, p.Key))
	if err != nil {
		t.Fatal(err)
	}
	var l streamRecords
	drive(start, s, &l)
	s.Propose(start.Add(DefaultWindow), p)
	if d := only(t, drive(start.Add(DefaultWindow), s, &l)); d.Verdict != verdict.MayHaveRun || d.Reason != verdict.ReasonKeyExpired {
		t.Errorf("late: %+v", d)
	}
	// The home's clock is behind: the log's time decides.
	behind := start.Add(time.Minute)
	s.Propose(behind, p)
	b := takeBatch(t, behind, s, l)
	l.append(start.Add(DefaultWindow), b.Data)
	s.AppendResult(behind, b.ID, AppendDone, 0)
	if d := only(t, drive(behind, s, &l)); d.Won || d.Reason != verdict.ReasonKeyExpired {
		t.Errorf("by the log's time: %+v", d)
	}
}

func TestKeyTime(t *testing.T) {
	id := ulid.MustNew(ulid.Timestamp(start), bytes.NewReader(make([]byte, 16))).String()
	for key, want := range map[string]bool{
		id:                           true,
		strings.ToLower(id):          true,
		"payout-17":                  false,
		"20260302000000000000000017": false, // reads as a ULID of a far time
	} {
		if at, timed := KeyTime(key); timed != want || (timed && !at.Equal(start)) {
			t.Errorf("%s: %v %v", key, at, timed)
		}
	}
}

// A home whose clock runs ahead takes a key for free too early: the claim
// itself says from which log time on it counts.
func TestLogTimeDecidesWhenAKeyIsFree(t *testing.T) {
	var l streamRecords
	s := caughtUp(t, &l)
	s.Propose(start, propose("r1"))
	drive(start, s, &l)
	ahead := start.Add(s.set.keyHoldTime() + time.Second)
	s.Propose(ahead, propose("r2"))
	b := takeBatch(t, ahead, s, l)
	l.append(start.Add(s.set.keyHoldTime()-time.Second), b.Data)
	s.AppendResult(ahead, b.ID, AppendDone, 1)
	if d := only(t, drive(ahead, s, &l)); d.Won || d.Holder != "r1" {
		t.Errorf("%+v", d)
	}
	ahead = ahead.Add(2 * time.Second)
	s.Propose(ahead, propose("r3"))
	b = takeBatch(t, ahead, s, l)
	l.append(start.Add(s.set.keyHoldTime()), b.Data)
	s.AppendResult(ahead, b.ID, AppendDone, 2)
	if d := only(t, drive(ahead, s, &l)); !d.Won {
		t.Errorf("%+v", d)
	}
}

// A claim that waits for its append is looked at again before it leaves.
func TestClaimIsNotSentForAKeyThatWasTakenMeanwhile(t *testing.T) {
	var l streamRecords
	budget := NewBudget(1, 1)
	s, err := New(Settings{Instance: "a", Budget: budget}, ShardOf("org", testKey))
	if err != nil {
		t.Fatal(err)
	}
	drive(start, s, &l)
	budget.take(start, ShardCount)
	s.Propose(start, propose("r1"))
	r := s.Ready()
	if len(r.Decisions) != 0 || len(r.Appends) != 0 || r.Read == nil {
		t.Fatalf("%+v", r)
	}
	s.ApplyRecords(start, nil, 0, 0)
	other := caughtUp(t, &l)
	other.Propose(start, propose("r2"))
	drive(start, other, &l)
	later := start.Add(time.Millisecond) // the budget still says no
	s.Tick(later)
	s.Ready()
	s.ApplyRecords(later, l, 0, 1)
	if d := only(t, drive(later.Add(time.Second), s, &l)); d.Won || d.Holder != "r2" || len(l) != 1 {
		t.Errorf("%+v with %d records", d, len(l))
	}
}

// A claim whose basis lies before the start of the reading takes its key
// without being known to win; only a run shows who did.
func TestUnsureHolderIsNotFreed(t *testing.T) {
	tb := newTable(5, time.Hour, 1)
	claim := entry{Op: opClaim, Key: Hash{1}, Request: "r1", Basis: 2, Window: 10000, EndsIn: 1}
	tb.fold(5, start, []entry{claim, {Op: opSettle, Key: Hash{1}, Request: "r1", Verdict: verdict.NotRun}})
	if h := tb.get(Hash{1}); h == nil || !h.unconfirmed {
		t.Fatalf("%+v", h)
	}
	tb.fold(6, start, []entry{{Op: opSettle, Key: Hash{1}, Request: "r0", Verdict: verdict.Ran, Status: 201}})
	if h := tb.get(Hash{1}); h == nil || h.request != "r0" || h.verdict != verdict.Ran {
		t.Errorf("%+v", h)
	}
}

// Retention that overtakes the reader makes the home refuse until it has read
// what is left.
func TestTruncationMakesTheHomeUnready(t *testing.T) {
	s := caughtUp(t, &streamRecords{})
	s.ApplyRecords(start, nil, 7, 9)
	s.Propose(start, propose("r1"))
	if d := only(t, s.Ready().Decisions); d.Reason != verdict.ReasonNotReady {
		t.Errorf("%+v", d)
	}
	rec := encode("x/1/1", []entry{{Op: opClaim, Key: hashKey("org", testKey), Request: "r0", Window: 1000, EndsIn: 1}})
	s.ApplyRecords(start, []platform.Record{{Offset: 7, Time: start, Data: rec}, {Offset: 8, Time: start, Data: []byte("{")}}, 7, 9)
	if !s.CaughtUp() || s.Stats().Keys != 1 || s.Stats().BadRecords != 1 {
		t.Errorf("%+v", s.Stats())
	}
}

func TestOverloadIsRefused(t *testing.T) {
	s, err := New(Settings{Instance: "a", MaxPending: 1}, ShardOf("org", testKey))
	if err != nil {
		t.Fatal(err)
	}
	drive(start, s, &streamRecords{})
	s.Propose(start, propose("r1"))
	s.Propose(start, propose("r2"))
	if d := only(t, s.Ready().Decisions); d.Request != "r2" || d.Reason != verdict.ReasonOverload || d.Verdict != verdict.NotRun {
		t.Errorf("%+v", d)
	}
}

// Above MaxAnswers the oldest answer goes; its verdict and status stay.
func TestOldestAnswerIsDroppedFirst(t *testing.T) {
	tb := newTable(0, time.Hour, 1)
	tb.advance(start)
	for key := range byte(2) {
		tb.apply(0, &entry{Op: opClaim, Key: Hash{key}, Request: "r", Window: 1000, EndsIn: 1})
		tb.apply(0, &entry{Op: opSettle, Key: Hash{key}, Request: "r", Verdict: verdict.Ran, Status: 201, Answer: []byte("ok")})
	}
	if h := tb.get(Hash{0}); h.answer != nil || !h.dropped || h.status != 201 || h.verdict != verdict.Ran {
		t.Errorf("old: %+v", h)
	}
	if h := tb.get(Hash{1}); string(h.answerBody()) != "ok" || h.dropped {
		t.Errorf("new: %+v", h)
	}
}

// What can't be read back as it was written is refused before it is appended:
// it would spoil the batch for the others in it.
func TestBadProposalsAreNotAppended(t *testing.T) {
	var l streamRecords
	s := caughtUp(t, &l)
	for _, id := range []string{"", "\xff", string(make([]byte, MaxIDBytes+1))} {
		p := propose(entity.RequestID(id))
		s.Propose(start, p)
		if d := only(t, drive(start, s, &l)); d.Verdict != verdict.NotRun || d.Reason != verdict.ReasonBadRequest {
			t.Errorf("%q: %+v", id, d)
		}
	}
	s.Settle(start, Outcome{Request: "r1", Org: "org", Key: testKey, Verdict: "maybe"})
	s.Settle(start, Outcome{Request: "r1", Org: "org", Key: testKey, Verdict: verdict.Ran, Status: 1000})
	drive(start, s, &l)
	if len(l) != 0 {
		t.Errorf("%d records", len(l))
	}
}

func TestSettingsThatCannotHoldAreRefused(t *testing.T) {
	for name, set := range map[string]Settings{
		"no instance":     {},
		"short retention": {Instance: "a", Window: time.Hour, Retention: time.Hour},
		"wild clocks":     {Instance: "a", Window: time.Minute, MaxClockSkew: time.Minute},
	} {
		if _, err := New(set, 0); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encode("a/1/1", []entry{{Op: opClaim, Key: Hash{1}, Request: "r", Window: 5, EndsIn: 1}}))
	f.Add([]byte(`{"v":1,"id":"x","e":[{"o":"s","k":"AAAAAAAAAAAAAAAAAAAAAA","r":"r","vd":"ran"}]}`))
	f.Add([]byte(`{"v":1,"e":[{"o":"c","r":"r","w":-1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decode(data)
		if err != nil {
			return
		}
		for _, e := range r.Entries {
			if e.Request == "" || len(e.Answer) > MaxAnswerBytes || (e.Op == opClaim && e.Window <= 0) {
				t.Errorf("accepted %+v", e)
			}
		}
	})
}
