package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// benchOwner returns an owner of n engines with 16 slots each, half of them occupied.
func benchOwner(n int) (*Owner, time.Time) {
	o := New(DefaultSettings())
	var rows []entity.Endpoint
	for i := range n {
		row := engine(fmt.Sprintf("engine-%03d", i), 16)
		row.PrefillTokensPerSec = 1e6 // so that no prompt waits behind another one
		rows = append(rows, row)
	}
	o.SetEndpoints(epoch, rows)
	now := epoch.Add(DefaultSettings().FloorFor)
	for i := range n * 8 {
		o.HandleReservation(now, reservation(work(fmt.Sprintf("running-%d", i), 0)))
	}
	o.Ready()
	return o, now
}

// benchPrefix returns the block hashes of prompt n, which has 1,000 tokens.
func benchPrefix(n int) []entity.BlockHash {
	chain := make([]entity.BlockHash, 64)
	for i := range chain {
		chain[i] = entity.BlockHash(n*1000 + i)
	}
	return chain
}

// BenchmarkGrantRelease measures the reservation, grant and release of one request.
func BenchmarkGrantRelease(b *testing.B) {
	for _, n := range []int{3, 11, 44} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			o, now := benchOwner(n)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				w := work(fmt.Sprintf("r-%d", i), 0)
				w.Prefix = benchPrefix(i % 200)
				o.HandleReservation(now, reservation(w))
				r := o.Ready()
				if len(r.Grants) != 1 {
					b.Fatalf("got %+v, want one grant", r)
				}
				o.HandleRelease(now, entity.Release{ID: w.ID, Endpoint: r.Grants[0].Grant.Endpoint, PrefillTokens: 1000, GeneratedTokens: 50,
					TimeToFirstToken: time.Millisecond, DecodeTime: time.Second})
			}
		})
	}
}

// BenchmarkTick measures Tick with different numbers of queued jobs.
func BenchmarkTick(b *testing.B) {
	for _, queued := range []int{1, 70, 700} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			o, now := benchOwner(11)
			for i := range 11*8 + queued {
				w := work(fmt.Sprintf("r-%d", i), entity.Tier(1+i%4))
				w.Deadline = now.Add(time.Hour)
				o.HandleReservation(now, reservation(w))
			}
			o.Ready()
			b.ReportAllocs()
			for b.Loop() {
				o.Tick(now)
				o.Ready()
			}
		})
	}
}

// BenchmarkPrefixMemory reports the memory of an engine's prefix index.
func BenchmarkPrefixMemory(b *testing.B) {
	for _, blocks := range []int{2048, 8192, 32768} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				o, _ := benchOwner(1)
				o.settings.PrefixBlocks = blocks
				e := o.newEndpoint(epoch, &entity.Endpoint{ID: "e"})
				for i := 0; i < blocks; i += 64 {
					e.index.Insert(benchPrefix(i))
				}
				b.ReportMetric(float64(heapBytes()-before), "B/endpoint")
				if e.index.Len() == 0 {
					b.Fatal("the prefix index is empty")
				}
			}
		})
	}
}
