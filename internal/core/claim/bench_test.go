package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// liveKeys are the keys that one shard remembers.
var liveKeys = []int{1000, 5000, 20000}

// keysOf returns so many keys of one shard.
func keysOf(num ShardNumber, n int) []string {
	keys := make([]string, 0, n)
	for i := 0; len(keys) < n; i++ {
		if k := fmt.Sprintf("payout-%08d", i); ShardOf("org", k) == num {
			keys = append(keys, k)
		}
	}
	return keys
}

// claimAndSettle takes one key from its proposal to its outcome.
func claimAndSettle(now time.Time, s *Shard, l *streamRecords, key string) []Decision {
	p := propose(entity.RequestID("r-" + key))
	p.Key = key
	s.Propose(now, p)
	d := drive(now, s, l)
	s.Settle(now, Outcome{Request: p.Request, Org: p.Org, Key: key, From: p.From, Verdict: verdict.Ran, Status: 200, Answer: []byte(`{"ok":true}`)})
	drive(now, s, l)
	return d
}

// BenchmarkKey takes one key through a shard that remembers so many.
func BenchmarkKey(b *testing.B) {
	for _, n := range liveKeys {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			var l streamRecords
			s := testShard(b, "a")
			s.set.MaxKeys = 1 << 30
			drive(start, s, &l)
			keys := keysOf(s.num, n+100_000)
			for _, k := range keys[:n] {
				claimAndSettle(start, s, &l, k)
			}
			recordBytes := 0
			for _, r := range l {
				recordBytes += len(r.Data)
			}
			i := n
			b.ReportAllocs()
			for b.Loop() {
				if i == len(keys) {
					b.Fatal("out of keys")
				}
				claimAndSettle(start, s, &l, keys[i])
				i++
			}
			b.ReportMetric(float64(recordBytes)/float64(n), "log-B/key")
		})
	}
}

func BenchmarkKeyMemory(b *testing.B) {
	for _, n := range liveKeys {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			keys := keysOf(ShardOf("org", testKey), n)
			for b.Loop() {
				var l streamRecords
				before := heapBytes()
				s := testShard(b, "a")
				drive(start, s, &l)
				for _, k := range keys {
					claimAndSettle(start, s, &l, k)
					clear(l) // the log is not the shard's memory
				}
				l = nil
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/key")
				runtime.KeepAlive(s)
			}
		})
	}
}

// heapBytes returns the bytes in use on the heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
