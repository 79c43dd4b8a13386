package claim

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// naiveTable is the one global table that the shards stand for: a list of all
// entries ever, scanned from the start for each question.
type naiveTable []naiveEntry

type naiveEntry struct {
	at time.Time
	entry
}

// holder returns who holds a key at a log time, and what is known of its run.
func (n naiveTable) holder(key Hash, at time.Time) (entity.RequestID, verdict.Verdict) {
	var holds *naiveEntry
	var v verdict.Verdict
	for i := range n {
		e := &n[i]
		if holds != nil && !e.at.Before(holds.at.Add(duration(holds.Window))) {
			holds, v = nil, ""
		}
		if e.Key != key {
			continue
		}
		ms := e.at.UnixMilli()
		switch {
		case e.Op == opClaim && holds == nil && ms >= e.NotBefore && (e.NotAfter == 0 || ms < e.NotAfter):
			holds, v = e, ""
		case e.Op == opSettle && holds != nil && holds.Request == e.Request && v != verdict.Ran:
			v = e.Verdict
			if v == verdict.NotRun {
				holds, v = nil, ""
			}
		}
	}
	if holds == nil || !at.Before(holds.at.Add(duration(holds.Window))) {
		return "", ""
	}
	return holds.Request, v
}

func drawEntry(t *rapid.T, now time.Time) entry {
	e := entry{
		Op:      rapid.SampledFrom([]opCode{opClaim, opSettle}).Draw(t, "op"),
		Key:     Hash{byte(rapid.IntRange(0, 3).Draw(t, "key"))},
		Request: entity.RequestID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "request"))),
	}
	if e.Op == opSettle {
		e.Verdict = rapid.SampledFrom([]verdict.Verdict{verdict.Ran, verdict.NotRun, verdict.MayHaveRun}).Draw(t, "verdict")
		return e
	}
	e.Window = int64(rapid.SampledFrom([]int{1000, 5000, 20000}).Draw(t, "window"))
	e.EndsIn = 1
	if rapid.Bool().Draw(t, "timed") {
		e.NotBefore = now.UnixMilli() + int64(rapid.IntRange(-2000, 500).Draw(t, "not before"))
		e.NotAfter = e.NotBefore + 2000
	}
	return e
}

func TestTableAgreesWithNaiveTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fast, naive, now := newTable(time.Minute, 100), naiveTable{}, start
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			fast.advance(now)
			for range rapid.IntRange(1, 3).Draw(t, "entries") {
				e := drawEntry(t, now)
				fast.apply(&e)
				naive = append(naive, naiveEntry{now, e})
			}
			for key := range byte(4) {
				var got entity.RequestID
				var gotVerdict verdict.Verdict
				if h := fast.get(Hash{key}); h != nil {
					got, gotVerdict = h.request, h.verdict
				}
				want, wantVerdict := naive.holder(Hash{key}, now)
				if got != want || gotVerdict != wantVerdict {
					t.Fatalf("key %d: held by %q (%q), naive says %q (%q)", key, got, gotVerdict, want, wantVerdict)
				}
			}
		}
	})
}

func TestFreedKeysTakeNoLastingMemory(t *testing.T) {
	tb := newTable(time.Minute, 100)
	tb.advance(start)
	for i := range 10000 {
		r := entity.RequestID(fmt.Sprint(i))
		tb.apply(&entry{Op: opClaim, Key: Hash{1}, Request: r, Window: 1 << 40, EndsIn: 1})
		tb.apply(&entry{Op: opSettle, Key: Hash{1}, Request: r, Verdict: verdict.NotRun})
	}
	if len(tb.keys) != 0 || cap(tb.claims.refs) > 4*compactSlack {
		t.Errorf("%d keys, room for %d refs", len(tb.keys), cap(tb.claims.refs))
	}
}
