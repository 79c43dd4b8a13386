package config

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// contractChange returns the change that makes or replaces the n-th contract.
func contractChange(n int, basedOn Revision) Change {
	sum := sha256.Sum256(fmt.Appendf(nil, "key %d", n))
	return Change{
		ID:       fmt.Sprintf("01JGZ0000000000000%08d", n+int(basedOn)),
		Kind:     KindContract,
		Name:     fmt.Sprintf("organisation-%05d", n),
		BasedOn:  basedOn,
		Operator: "operator-1",
		Spec: fmt.Appendf(nil, `{"tiers":["urgent","standard","patient"],"default_tier":"standard","requests_per_sec":20,`+
			`"burst":40,"max_concurrent":30,"lose_first":["review","batch"],"key_hashes":["%x"]}`, sum),
	}
}

// manyContracts returns a state with n contracts.
func manyContracts(tb testing.TB, n int) State {
	s := publish(tb, State{}, parseFile(tb, "small.json")[:1])
	for i := range n {
		var out Outcome
		if s, out = s.Apply(recordOf(tb, s.Next(), contractChange(i, 0))); out.Result != ResultApplied {
			tb.Fatal(out)
		}
	}
	return s
}

// contractSizes are the numbers of contracts that the benchmarks run at.
var contractSizes = []int{1000, 5000, 19000}

// heapBytes returns the bytes in use on the heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestContractMemoryIsBounded bounds the memory of one contract, which
// depends on the compiler's layout only.
func TestContractMemoryIsBounded(t *testing.T) {
	const n, limit = 5000, 600
	before := heapBytes()
	s := reload(t, manyContracts(t, n))
	per := (heapBytes() - before) / n
	runtime.KeepAlive(s)
	if per > limit {
		t.Errorf("%d bytes per contract, more than %d", per, limit)
	}
	t.Logf("%d bytes per contract", per)
}

func BenchmarkContractMemory(b *testing.B) {
	for _, n := range contractSizes {
		b.Run(fmt.Sprintf("contracts=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				s := manyContracts(b, n)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/contract")
				runtime.KeepAlive(s)
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, n := range contractSizes {
		b.Run(fmt.Sprintf("contracts=%d", n), func(b *testing.B) {
			s := manyContracts(b, n)
			rec := recordOf(b, s.Next(), contractChange(n/2, s.Standing(KindContract, fmt.Sprintf("organisation-%05d", n/2)).Revision))
			b.ReportAllocs()
			for b.Loop() {
				s.Apply(rec)
			}
		})
	}
}

// BenchmarkApplyByMapCopy is the naive way: a map copied for each change.
func BenchmarkApplyByMapCopy(b *testing.B) {
	for _, n := range contractSizes {
		b.Run(fmt.Sprintf("contracts=%d", n), func(b *testing.B) {
			m := make(map[string]*entry, n)
			for i := range n {
				m[fmt.Sprintf("organisation-%05d", i)] = &entry{}
			}
			b.ReportAllocs()
			for b.Loop() {
				next := make(map[string]*entry, len(m))
				for k, v := range m {
					next[k] = v
				}
				next["organisation-00001"] = &entry{}
			}
		})
	}
}

func BenchmarkContractByKeyHash(b *testing.B) {
	for _, n := range contractSizes {
		b.Run(fmt.Sprintf("contracts=%d", n), func(b *testing.B) {
			s := manyContracts(b, n)
			sum := sha256.Sum256(fmt.Appendf(nil, "key %d", n/2))
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := s.ContractByKeyHash(sum); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range contractSizes {
		b.Run(fmt.Sprintf("contracts=%d", n), func(b *testing.B) {
			s := manyContracts(b, n)
			b.ReportAllocs()
			for b.Loop() {
				size, parts := 0, 0
				for p, err := range s.Snapshot("s") {
					if err != nil {
						b.Fatal(err)
					}
					data, _ := EncodeSnapshotPart(p)
					size += len(data)
					parts++
				}
				b.ReportMetric(float64(size), "B/snapshot")
				b.ReportMetric(float64(parts), "parts")
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, n := range contractSizes {
		b.Run(fmt.Sprintf("contracts=%d", n), func(b *testing.B) {
			s := manyContracts(b, n)
			b.ReportAllocs()
			for b.Loop() {
				if got := reload(b, s); got.Next() != platform.Offset(n+1) {
					b.Fatal(got.Next())
				}
			}
		})
	}
}
