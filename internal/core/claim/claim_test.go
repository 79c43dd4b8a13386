package claim

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// testKey is a key without a time of creation.
const testKey = "payout-17"

func testShard(t testing.TB, in entity.InstanceID) *Shard {
	t.Helper()
	s, err := New(Settings{Instance: in}, ShardOf("org", testKey))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// streamRecords is a stream of a log whose appends and reads never fail.
type streamRecords []platform.Record

func (l *streamRecords) append(now time.Time, data []byte) platform.Offset {
	o := platform.Offset(len(*l))
	*l = append(*l, platform.Record{Offset: o, Time: now, Data: data})
	return o
}

// drive performs a shard's appends and reads until it requests no more, and returns
// its decisions.
func drive(now time.Time, s *Shard, l *streamRecords) (ds []Decision) {
	for {
		r := s.Ready()
		ds = append(ds, r.Decisions...)
		for _, b := range r.Appends {
			s.HandleAppendResult(now, b.ID, AppendDone, l.append(now, b.Data))
		}
		if r.Read != nil {
			s.ApplyRecords(now, (*l)[r.Read.From:], 0, platform.Offset(len(*l)))
		}
		if len(r.Appends) == 0 && r.Read == nil {
			return ds
		}
	}
}

func propose(r entity.RequestID) Proposal {
	return Proposal{Request: r, Org: "org", Key: testKey, BodyHash: HashBody([]byte("body")), From: "entry"}
}

func TestFirstClaimInLogOrderWinsAtEveryHome(t *testing.T) {
	var l streamRecords
	a, b := testShard(t, "a"), testShard(t, "b")
	drive(start, a, &l)
	drive(start, b, &l)
	a.HandleProposal(start, propose("r1"))
	b.HandleProposal(start, propose("r2"))
	db := drive(start, b, &l)
	da := drive(start, a, &l)
	if len(db) != 1 || !db[0].Won {
		t.Fatalf("home b: got %+v, want one win", db)
	}
	if len(da) != 1 || da[0].Won || da[0].Reason != verdict.ReasonKeyInProgress || da[0].Holder != "r2" {
		t.Fatalf("home a: got %+v, want one refusal as in progress with holder r2", da)
	}
}

func TestRepeatedRequestGetsTheStoredOutcome(t *testing.T) {
	var l streamRecords
	s := testShard(t, "a")
	drive(start, s, &l)
	s.HandleProposal(start, propose("r1"))
	drive(start, s, &l)
	s.HandleOutcome(start, Outcome{Request: "r1", Org: "org", Key: testKey, From: "entry", Verdict: verdict.Ran, Status: 201, Answer: []byte("ok")})
	drive(start, s, &l)
	s.HandleProposal(start, propose("r2"))
	d := drive(start, s, &l)
	if len(d) != 1 || d[0].Verdict != verdict.Ran || d[0].Status != 201 || string(d[0].Answer) != "ok" {
		t.Fatalf("got %+v, want one decision with verdict ran, status 201 and answer ok", d)
	}
}
