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

// onlyDecision returns the decision if there is exactly one, and fails the test if not.
func onlyDecision(t *testing.T, ds []Decision) Decision {
	t.Helper()
	if len(ds) != 1 {
		t.Fatalf("got %d decisions, want 1: %+v", len(ds), ds)
	}
	return ds[0]
}

// caughtUpShard returns a shard that has read all of the stream.
func caughtUpShard(t *testing.T, l *streamRecords) *Shard {
	t.Helper()
	s := testShard(t, "a")
	drive(start, s, l)
	return s
}

// takeBatch returns the batch that is due, and performs the read that is due, if any.
func takeBatch(t *testing.T, now time.Time, s *Shard, l streamRecords) Batch {
	t.Helper()
	r := s.Ready()
	if r.Read != nil {
		s.ApplyRecords(now, l[r.Read.From:], 0, platform.Offset(len(l)))
	}
	if len(r.Appends) != 1 {
		t.Fatalf("got %+v, want one append", r)
	}
	return r.Appends[0]
}

func TestRefusesUntilCaughtUp(t *testing.T) {
	s := testShard(t, "a")
	s.HandleProposal(start, propose("r1"))
	d := onlyDecision(t, s.Ready().Decisions)
	if d.Verdict != verdict.NotRun || d.Reason != verdict.ReasonNotReady || d.RetryAfter == 0 {
		t.Errorf("got %+v, want not run, not ready and a retry time", d)
	}
}

func TestRefusesAtOnceWhileTheLogIsDown(t *testing.T) {
	s := caughtUpShard(t, &streamRecords{})
	for range stream.DownAfter {
		s.ReadFailed(start, platform.ErrUnavailable)
	}
	s.HandleProposal(start, propose("r1"))
	d := onlyDecision(t, s.Ready().Decisions)
	if d.Verdict != verdict.NotRun || d.Reason != verdict.ReasonLogUnavailable || d.RetryAfter == 0 {
		t.Errorf("got %+v, want not run, log unavailable and a retry time", d)
	}
}

func TestFailedAppendRefusesItsProposals(t *testing.T) {
	s := caughtUpShard(t, &streamRecords{})
	s.HandleProposal(start, propose("r1"))
	now := start
	for range stream.DownAfter {
		s.HandleAppendResult(now, takeBatch(t, now, s, nil).ID, AppendFailed, 0)
		now = now.Add(DefaultAppendBackoff)
		s.Tick(now)
	}
	if d := onlyDecision(t, s.Ready().Decisions); d.Verdict != verdict.NotRun || d.Reason != verdict.ReasonLogUnavailable {
		t.Errorf("got %+v, want not run and log unavailable", d)
	}
}

// After the answer to an append was lost, the shard reads the log to find out whether
// the batch is there. If it is, it is not appended again.
func TestLostAppendAnswerIsResolvedByReading(t *testing.T) {
	var l streamRecords
	s := caughtUpShard(t, &l)
	s.HandleProposal(start, propose("r1"))
	b := takeBatch(t, start, s, l)
	l.append(start, b.Data)
	s.HandleAppendResult(start, b.ID, AppendUnknown, 0)
	if d := onlyDecision(t, drive(start, s, &l)); !d.Won {
		t.Errorf("got %+v, want a win", d)
	}
	if len(l) != 1 {
		t.Errorf("got %d records, want 1", len(l))
	}
}

// A batch that a later read does not return is appended again with the same id and
// data. If both copies reach the log, they count once.
func TestMissingBatchIsAppendedAgainAndCountsOnce(t *testing.T) {
	var l streamRecords
	s := caughtUpShard(t, &l)
	s.HandleProposal(start, propose("r1"))
	first := takeBatch(t, start, s, l)
	s.HandleAppendResult(start, first.ID, AppendUnknown, 0)
	now := start.Add(time.Second)
	s.Tick(now)
	if r := s.Ready(); r.Read == nil || len(r.Appends) != 0 {
		t.Fatalf("got %+v, want a read and no append before it", r)
	}
	s.ApplyRecords(now, nil, 0, 0)
	if again := takeBatch(t, now, s, l); again.ID != first.ID || !bytes.Equal(again.Data, first.Data) {
		t.Fatalf("got batch %+v, want the first one again: %+v", again, first)
	}
	l.append(now, first.Data)
	l.append(now, first.Data)
	s.HandleAppendResult(now, first.ID, AppendDone, 1)
	s.ApplyRecords(now, l, 0, 2)
	if d := onlyDecision(t, s.Ready().Decisions); !d.Won {
		t.Errorf("got %+v, want a win", d)
	}
}

// A proposal times out and is refused while its claim is being appended. When the
// claim reaches the log, the request holds its key although it will not run. The
// shard must report the win, so that the entry instance settles it as not run and
// the next request can get the key.
func TestKeyOfLateClaimIsFreed(t *testing.T) {
	var l streamRecords
	s := caughtUpShard(t, &l)
	ticket := NewTicket(start)
	s.HandleProposal(start, propose("r1"))
	b := s.Ready().Appends[0]
	now := start.Add(DefaultDecisionTimeout)
	s.Tick(now)
	if d := onlyDecision(t, s.Ready().Decisions); d.Verdict != verdict.NotRun || ticket.HandleDecision(d) != TicketAnswer {
		t.Fatalf("got %+v, want a refusal as not run that is returned to the caller", d)
	}
	l.append(now, b.Data)
	now = now.Add(DefaultReadTimeout)
	s.Tick(now)
	now = now.Add(DefaultReadBackoff)
	s.Tick(now)
	d := onlyDecision(t, drive(now, s, &l))
	if !d.Won || ticket.HandleDecision(d) != TicketSettle || ticket.Dispatch(now) {
		t.Fatalf("got %+v, want a win that the ticket settles and does not dispatch", d)
	}
	s.HandleOutcome(now, Outcome{Request: "r1", Org: "org", Key: testKey, From: "entry", Verdict: verdict.NotRun})
	drive(now, s, &l)
	s.HandleProposal(now, propose("r2"))
	if d := onlyDecision(t, drive(now, s, &l)); !d.Won || d.Request != "r2" {
		t.Errorf("got %+v, want a win of r2", d)
	}
}

func TestKeyReusedWithAnotherBodyIsRefused(t *testing.T) {
	var l streamRecords
	s := caughtUpShard(t, &l)
	s.HandleProposal(start, propose("r1"))
	drive(start, s, &l)
	p := propose("r2")
	p.BodyHash = HashBody([]byte("another"))
	s.HandleProposal(start, p)
	if d := onlyDecision(t, drive(start, s, &l)); d.Verdict != verdict.NotRun || d.Reason != verdict.ReasonKeyReused {
		t.Errorf("got %+v, want not run and key reused", d)
	}
}

// If a claim has no outcome by the latest end of its run, its entry instance has
// failed. A repeated request then gets the verdict that the first one may have run.
func TestClaimWithoutOutcomeMayHaveRun(t *testing.T) {
	var l streamRecords
	s := caughtUpShard(t, &l)
	s.HandleProposal(start, propose("r1"))
	drive(start, s, &l)
	s.HandleProposal(start.Add(DefaultDispatchWithin+DefaultMaxRunTime+time.Second), propose("r2"))
	d := onlyDecision(t, s.Ready().Decisions)
	if d.Verdict != verdict.MayHaveRun || d.Reason != verdict.ReasonConnectionLost || d.RetryAfter != 0 {
		t.Errorf("got %+v, want may have run, connection lost and no retry time", d)
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
	s.HandleProposal(start.Add(DefaultWindow), p)
	if d := onlyDecision(t, drive(start.Add(DefaultWindow), s, &l)); d.Verdict != verdict.MayHaveRun || d.Reason != verdict.ReasonKeyExpired {
		t.Errorf("proposed after the window: got %+v, want may have run and key expired", d)
	}
	// The home's clock is behind the log's clock, which decides.
	homeNow := start.Add(time.Minute)
	s.HandleProposal(homeNow, p)
	b := takeBatch(t, homeNow, s, l)
	l.append(start.Add(DefaultWindow), b.Data)
	s.HandleAppendResult(homeNow, b.ID, AppendDone, 0)
	if d := onlyDecision(t, drive(homeNow, s, &l)); d.Won || d.Reason != verdict.ReasonKeyExpired {
		t.Errorf("appended after the window: got %+v, want key expired", d)
	}
}

func TestKeyTime(t *testing.T) {
	id := ulid.MustNew(ulid.Timestamp(start), bytes.NewReader(make([]byte, 16))).String()
	for key, want := range map[string]bool{
		id:                           true,
		strings.ToLower(id):          true,
		"payout-17":                  false,
		"20260302000000000000000017": false, // a valid ULID whose time is out of range
	} {
		if at, timed := KeyTime(key); timed != want || (timed && !at.Equal(start)) {
			t.Errorf("key %s: got time %v and %v, want %v", key, at, timed, want)
		}
	}
}

// A home whose clock is ahead of the log's clock considers a held key free too early.
// Its claim must not count before the log time at which the key is really free.
func TestLogTimeDecidesWhenAKeyIsFree(t *testing.T) {
	var l streamRecords
	s := caughtUpShard(t, &l)
	s.HandleProposal(start, propose("r1"))
	drive(start, s, &l)
	ahead := start.Add(s.set.keyHoldTime() + time.Second)
	s.HandleProposal(ahead, propose("r2"))
	b := takeBatch(t, ahead, s, l)
	l.append(start.Add(s.set.keyHoldTime()-time.Second), b.Data)
	s.HandleAppendResult(ahead, b.ID, AppendDone, 1)
	if d := onlyDecision(t, drive(ahead, s, &l)); d.Won || d.Holder != "r1" {
		t.Errorf("got %+v, want a refusal with holder r1", d)
	}
	ahead = ahead.Add(2 * time.Second)
	s.HandleProposal(ahead, propose("r3"))
	b = takeBatch(t, ahead, s, l)
	l.append(start.Add(s.set.keyHoldTime()), b.Data)
	s.HandleAppendResult(ahead, b.ID, AppendDone, 2)
	if d := onlyDecision(t, drive(ahead, s, &l)); !d.Won {
		t.Errorf("got %+v, want a win", d)
	}
}

// A claim waits for the append budget while another home's claim of the key reaches
// the log. It must be checked again before it is sent, and be refused.
func TestClaimIsNotSentForAKeyHeldMeanwhile(t *testing.T) {
	var l streamRecords
	budget := NewBudget(1, 1)
	s, err := New(Settings{Instance: "a", Budget: budget}, ShardOf("org", testKey))
	if err != nil {
		t.Fatal(err)
	}
	drive(start, s, &l)
	budget.take(start, ShardCount)
	s.HandleProposal(start, propose("r1"))
	r := s.Ready()
	if len(r.Decisions) != 0 || len(r.Appends) != 0 || r.Read == nil {
		t.Fatalf("got %+v, want only a read", r)
	}
	s.ApplyRecords(start, nil, 0, 0)
	other := caughtUpShard(t, &l)
	other.HandleProposal(start, propose("r2"))
	drive(start, other, &l)
	later := start.Add(time.Millisecond) // the budget is still used up
	s.Tick(later)
	s.Ready()
	s.ApplyRecords(later, l, 0, 1)
	if d := onlyDecision(t, drive(later.Add(time.Second), s, &l)); d.Won || d.Holder != "r2" || len(l) != 1 {
		t.Errorf("got %+v and %d records, want a refusal with holder r2 and 1 record", d, len(l))
	}
}

// A reader that has not read a claim's basis can't tell whether the claim counts. It
// treats the key as held by an unconfirmed holder. An outcome NotRun must not free the
// key, and an outcome Ran identifies the true holder.
func TestUnconfirmedHolderIsNotFreed(t *testing.T) {
	tb := newTable(5, time.Hour, 1)
	claim := entry{Op: opClaim, Key: Hash{1}, Request: "r1", Basis: 2, Window: 10000, EndsIn: 1}
	tb.applyRecord(5, start, []entry{claim, {Op: opSettle, Key: Hash{1}, Request: "r1", Verdict: verdict.NotRun}})
	if h := tb.get(Hash{1}); h == nil || !h.unconfirmed {
		t.Fatalf("got %+v, want an unconfirmed holder", h)
	}
	tb.applyRecord(6, start, []entry{{Op: opSettle, Key: Hash{1}, Request: "r0", Verdict: verdict.Ran, Status: 201}})
	if h := tb.get(Hash{1}); h == nil || h.request != "r0" || h.verdict != verdict.Ran {
		t.Errorf("got %+v, want holder r0 with verdict ran", h)
	}
}

// After retention has overtaken the reader, the home refuses proposals until it has
// read the remaining records.
func TestTruncationMakesTheHomeUnready(t *testing.T) {
	s := caughtUpShard(t, &streamRecords{})
	s.ApplyRecords(start, nil, 7, 9)
	s.HandleProposal(start, propose("r1"))
	if d := onlyDecision(t, s.Ready().Decisions); d.Reason != verdict.ReasonNotReady {
		t.Errorf("got %+v, want not ready", d)
	}
	rec := encode("x/1/1", []entry{{Op: opClaim, Key: hashKey("org", testKey), Request: "r0", Window: 1000, EndsIn: 1}})
	s.ApplyRecords(start, []platform.Record{{Offset: 7, Time: start, Data: rec}, {Offset: 8, Time: start, Data: []byte("{")}}, 7, 9)
	if !s.CaughtUp() || s.Stats().Keys != 1 || s.Stats().BadRecords != 1 {
		t.Errorf("got caught up %v and %+v, want true, 1 key and 1 bad record", s.CaughtUp(), s.Stats())
	}
}

func TestOverloadIsRefused(t *testing.T) {
	s, err := New(Settings{Instance: "a", MaxPending: 1}, ShardOf("org", testKey))
	if err != nil {
		t.Fatal(err)
	}
	drive(start, s, &streamRecords{})
	s.HandleProposal(start, propose("r1"))
	s.HandleProposal(start, propose("r2"))
	if d := onlyDecision(t, s.Ready().Decisions); d.Request != "r2" || d.Reason != verdict.ReasonOverload || d.Verdict != verdict.NotRun {
		t.Errorf("got %+v, want r2 refused as not run and overload", d)
	}
}

// Above MaxAnswers the oldest answer is dropped. Its verdict and status are kept.
func TestOldestAnswerIsDroppedFirst(t *testing.T) {
	tb := newTable(0, time.Hour, 1)
	tb.advance(start)
	for key := range byte(2) {
		tb.apply(0, &entry{Op: opClaim, Key: Hash{key}, Request: "r", Window: 1000, EndsIn: 1})
		tb.apply(0, &entry{Op: opSettle, Key: Hash{key}, Request: "r", Verdict: verdict.Ran, Status: 201, Answer: []byte("ok")})
	}
	if h := tb.get(Hash{0}); h.answer != nil || !h.dropped || h.status != 201 || h.verdict != verdict.Ran {
		t.Errorf("oldest key: got %+v, want status 201, verdict ran and its answer dropped", h)
	}
	if h := tb.get(Hash{1}); string(h.answerBody()) != "ok" || h.dropped {
		t.Errorf("newest key: got %+v, want its answer kept", h)
	}
}

// A proposal or outcome that decode would reject is refused before it is appended,
// since readers would ignore all of the batch that contains it.
func TestBadEntriesAreNotAppended(t *testing.T) {
	var l streamRecords
	s := caughtUpShard(t, &l)
	for _, id := range []string{"", "\xff", string(make([]byte, MaxIDBytes+1))} {
		p := propose(entity.RequestID(id))
		s.HandleProposal(start, p)
		if d := onlyDecision(t, drive(start, s, &l)); d.Verdict != verdict.NotRun || d.Reason != verdict.ReasonBadRequest {
			t.Errorf("request id %q: got %+v, want not run and bad request", id, d)
		}
	}
	s.HandleOutcome(start, Outcome{Request: "r1", Org: "org", Key: testKey, Verdict: "maybe"})
	s.HandleOutcome(start, Outcome{Request: "r1", Org: "org", Key: testKey, Verdict: verdict.Ran, Status: 1000})
	drive(start, s, &l)
	if len(l) != 0 {
		t.Errorf("got %d records, want 0", len(l))
	}
}

func TestInconsistentSettingsAreRejected(t *testing.T) {
	for name, set := range map[string]Settings{
		"no instance":     {},
		"short retention": {Instance: "a", Window: time.Hour, Retention: time.Hour},
		"large skew":      {Instance: "a", Window: time.Minute, MaxClockSkew: time.Minute},
	} {
		if _, err := New(set, 0); err == nil {
			t.Errorf("%s: got no error", name)
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
				t.Errorf("got no error for the invalid entry %+v", e)
			}
		}
	})
}
