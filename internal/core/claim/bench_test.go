package claim

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// filledShard returns a shard with n live keys that have outcomes, and a log of as
// many records.
func filledShard(b *testing.B, n int) (*Shard, *streamRecords) {
	b.Helper()
	s, err := New(Settings{Instance: "a", MaxKeys: 1 << 30}, 0)
	if err != nil {
		b.Fatal(err)
	}
	var rs []platform.Record
	for i := range n {
		r := entity.RequestID(fmt.Sprintf("01JTESTREQUEST%012d", i))
		key := hashKey("org", fmt.Sprint(i))
		data := encode("x/0/1", []entry{
			{Op: opClaim, Key: key, Request: r, Window: millis(s.set.keyHoldTime()), EndsIn: millis(s.set.maxRunEnd())},
			{Op: opSettle, Key: key, Request: r, Verdict: verdict.Ran, Status: 200},
		})
		rs = append(rs, platform.Record{Offset: platform.Offset(i), Time: start, Data: data})
	}
	s.ApplyRecords(start, rs, 0, platform.Offset(n))
	log := make(streamRecords, n)
	return s, &log
}

// benchKeys returns keys of shard 0.
func benchKeys(n int) []string {
	keys := make([]string, 0, n)
	for i := 0; len(keys) < n; i++ {
		if k := fmt.Sprintf("bench-%d", i); ShardOf("org", k) == 0 {
			keys = append(keys, k)
		}
	}
	return keys
}

// BenchmarkClaim measures a claim from its proposal to its outcome in the log, while
// the shard holds n live keys.
func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			s, log := filledShard(b, n)
			keys := benchKeys(b.N)
			before := len(*log)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p := Proposal{Request: entity.RequestID(fmt.Sprintf("01JTESTREQUEST9%011d", i)), Org: "org", Key: keys[i], From: "entry"}
				s.HandleProposal(start, p)
				if ds := drive(start, s, log); len(ds) != 1 || !ds[0].Won {
					b.Fatalf("got %+v, want one win", ds)
				}
				s.HandleOutcome(start, Outcome{Request: p.Request, Org: p.Org, Key: p.Key, From: p.From, Verdict: verdict.Ran, Status: 200})
				drive(start, s, log)
			}
			b.StopTimer()
			var bytes int
			for _, r := range (*log)[before:] {
				bytes += len(r.Data)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "log-bytes/claim")
		})
	}
}

// BenchmarkRepeat measures the decision of a proposal whose key is held already.
func BenchmarkRepeat(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			s, log := filledShard(b, n)
			key := benchKeys(1)[0]
			s.HandleProposal(start, Proposal{Request: "r1", Org: "org", Key: key, From: "entry"})
			drive(start, s, log)
			p := Proposal{Request: "r2", Org: "org", Key: key, From: "entry"}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				s.HandleProposal(start, p)
				if r := s.Ready(); len(r.Decisions) != 1 {
					b.Fatalf("got %d decisions, want 1", len(r.Decisions))
				}
			}
		})
	}
}

// BenchmarkKeyMemory measures the heap memory of a live key.
func BenchmarkKeyMemory(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			var perKey float64
			for range b.N {
				perKey = heapPerKey(b, n)
			}
			b.ReportMetric(perKey, "heap-bytes/key")
		})
	}
}

func heapPerKey(b *testing.B, n int) float64 {
	b.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s, _ := filledShard(b, n)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if s.Stats().Keys != n {
		b.Fatalf("got %d keys, want %d", s.Stats().Keys, n)
	}
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(n)
}

// BenchmarkCatchUp measures the processing of a full stream, as by a home that
// starts.
func BenchmarkCatchUp(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			for range b.N {
				filledShard(b, n)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/key")
		})
	}
}
