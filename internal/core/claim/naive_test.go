package claim

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// TestMain sets a fixed seed, so that every run checks the same cases unless a flag
// overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// naiveTable is a simple reference implementation of table: a list of all entries,
// scanned from the start for each look-up.
type naiveTable []naiveEntry

type naiveEntry struct {
	offset platform.Offset
	at     time.Time
	entry
}

// withinBounds reports whether the entry is a claim within its time bounds.
func (e *naiveEntry) withinBounds() bool {
	ms := e.at.UnixMilli()
	return e.Op == opClaim && ms >= e.NotBefore && (e.NotAfter == 0 || ms < e.NotAfter)
}

// counts reports whether entry i is a claim that counts: it is within its time bounds,
// and there is no other such claim of its key between its basis and itself that is
// less than maxClaimDelay older.
func (n naiveTable) counts(i int) bool {
	for j := range n[:i] {
		c := &n[j]
		if c.Key == n[i].Key && c.withinBounds() && c.offset >= n[i].Basis && n[i].at.Sub(c.at) < maxClaimDelay {
			return false
		}
	}
	return n[i].withinBounds()
}

// holder returns the request that holds a key at a log time, and the verdict on its
// run.
func (n naiveTable) holder(key Hash, at time.Time) (entity.RequestID, verdict.Verdict) {
	var current *naiveEntry // the claim that holds the key
	var v verdict.Verdict
	expired := func(t time.Time) bool { return current != nil && !t.Before(current.at.Add(duration(current.Window))) }
	for i := range n {
		e := &n[i]
		if e.Key != key {
			continue
		}
		if expired(e.at) {
			current, v = nil, ""
		}
		switch {
		case n.counts(i):
			current, v = e, ""
		case e.Op == opSettle && current != nil && current.Request == e.Request && v != verdict.Ran:
			v = e.Verdict
			if v == verdict.NotRun {
				current, v = nil, ""
			}
		}
	}
	if current == nil || expired(at) {
		return "", ""
	}
	return current.Request, v
}

func drawEntry(t *rapid.T, now time.Time, next platform.Offset) entry {
	e := entry{
		Op:      rapid.SampledFrom([]opCode{opClaim, opSettle}).Draw(t, "op"),
		Key:     Hash{byte(rapid.IntRange(0, 3).Draw(t, "key"))},
		Request: entity.RequestID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "request"))),
	}
	if e.Op == opSettle {
		e.Verdict = rapid.SampledFrom([]verdict.Verdict{verdict.Ran, verdict.NotRun, verdict.MayHaveRun}).Draw(t, "verdict")
		return e
	}
	e.Basis = max(0, next-platform.Offset(rapid.IntRange(0, 8).Draw(t, "behind")))
	e.Window = int64(rapid.SampledFrom([]int{1000, 5000, 20000, 600000}).Draw(t, "window"))
	e.EndsIn = 1
	if rapid.IntRange(0, 3).Draw(t, "timed") == 0 {
		e.NotBefore = now.UnixMilli() + int64(rapid.IntRange(-2000, 500).Draw(t, "not before"))
		e.NotAfter = e.NotBefore + 2000
	}
	return e
}

// drawRecords draws a stream of records.
func drawRecords(t *rapid.T) (records [][]entry, times []time.Time) {
	now := start
	for o := range platform.Offset(rapid.IntRange(1, 60).Draw(t, "records")) {
		pause := rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second, maxClaimDelay / 2}).Draw(t, "pause")
		now = now.Add(pause)
		var es []entry
		for range rapid.IntRange(1, 3).Draw(t, "entries") {
			es = append(es, drawEntry(t, now, o))
		}
		records, times = append(records, es), append(times, now)
	}
	return records, times
}

// applyRecord advances the table to the time at and applies the entries of record o.
func (t *table) applyRecord(o int, at time.Time, es []entry) {
	t.advance(at)
	for i := range es {
		t.apply(platform.Offset(o), &es[i])
	}
}

func TestTableAgreesWithNaiveTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fast, naive := newTable(0, time.Minute, 100), naiveTable{}
		records, times := drawRecords(t)
		for o, es := range records {
			fast.applyRecord(o, times[o], es)
			for _, e := range es {
				naive = append(naive, naiveEntry{platform.Offset(o), times[o], e})
			}
			for key := range byte(4) {
				var got entity.RequestID
				var gotVerdict verdict.Verdict
				if h := fast.get(Hash{key}); h != nil {
					got, gotVerdict = h.request, h.verdict
				}
				want, wantVerdict := naive.holder(Hash{key}, times[o])
				if got != want || gotVerdict != wantVerdict {
					t.Fatalf("record %d, key %d: got holder %q (%q), want %q (%q)", o, key, got, gotVerdict, want, wantVerdict)
				}
			}
		}
	})
}

// A reader that starts in the middle of the stream must not treat a held key as free,
// nor a wrong holder as confirmed, once all records that it missed are older than the
// longest window. Either fault could lead to a second run.
func TestReaderFromTheMiddleKeepsHeldKeys(t *testing.T) {
	const longest = 600 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		records, times := drawRecords(t)
		from := rapid.IntRange(0, len(records)-1).Draw(t, "from")
		full, late := newTable(0, time.Minute, 100), newTable(platform.Offset(from), time.Minute, 100)
		for o, es := range records {
			full.applyRecord(o, times[o], es)
			if o < from {
				continue
			}
			late.applyRecord(o, times[o], es)
			if from > 0 && times[o].Sub(times[from-1]) < longest {
				continue // records within the longest window are missing
			}
			for key := range byte(4) {
				f, l := full.get(Hash{key}), late.get(Hash{key})
				if f != nil && l == nil {
					t.Fatalf("from %d, record %d, key %d: got free, want holder %q", from, o, key, f.request)
				}
				if l != nil && !l.unconfirmed && (f == nil || f.request != l.request) {
					t.Fatalf("from %d, record %d, key %d: got confirmed holder %q, want %+v", from, o, key, l.request, f)
				}
			}
		}
	})
}

func TestFreedKeysReleaseTheirMemory(t *testing.T) {
	tb := newTable(0, time.Minute, 100)
	for i := range 10000 {
		r := entity.RequestID(fmt.Sprint(i))
		tb.applyRecord(i, start, []entry{
			{Op: opClaim, Key: Hash{1}, Request: r, Basis: platform.Offset(i), Window: 1 << 40, EndsIn: 1},
			{Op: opSettle, Key: Hash{1}, Request: r, Verdict: verdict.NotRun},
		})
	}
	if cap(tb.claims.refs) > 4*compactSlack || cap(tb.freed.refs) > 4*compactSlack {
		t.Errorf("got capacities of %d and %d refs, want at most %d", cap(tb.claims.refs), cap(tb.freed.refs), 4*compactSlack)
	}
	tb.advance(start.Add(maxClaimDelay))
	if len(tb.keys) != 0 {
		t.Errorf("got %d keys, want 0", len(tb.keys))
	}
}
