package config

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"github.com/medlarhold/medlarhold/internal/platform"
)

// contractChange returns the change that creates or replaces the n-th contract.
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

// contractSizes are the numbers of contracts in the benchmarks.
var contractSizes = []int{1000, 5000, 19000}

// heapBytes returns the bytes in use on the heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestContractMemoryIsBounded guards against a growth of the heap memory per
// contract, which depends only on the data structures and the compiler's layout.
func TestContractMemoryIsBounded(t *testing.T) {
	const n, limit = 5000, 600
	before := heapBytes()
	s := reload(t, manyContracts(t, n))
	per := (heapBytes() - before) / n
	runtime.KeepAlive(s)
	if per > limit {
		t.Errorf("got %d bytes per contract, want at most %d", per, limit)
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
			rec := recordOf(b, s.Next(), contractChange(n/2, s.ObjectState(KindContract, fmt.Sprintf("organisation-%05d", n/2)).Revision))
			b.ReportAllocs()
			for b.Loop() {
				s.Apply(rec)
			}
			b.ReportMetric(float64(len(rec.Data)), "B/record")
		})
	}
}

// BenchmarkApplyByMapCopy is the baseline for BenchmarkApply: it copies a map for
// each change.
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
					b.Fatal("no contract found for the key hash")
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
					b.Fatalf("restored state: got next offset %d, want %d", got.Next(), n+1)
				}
			}
		})
	}
}

// endpointChange returns the change that creates or replaces the n-th endpoint.
func endpointChange(n int, basedOn Revision) Change {
	return Change{
		ID:       fmt.Sprintf("01JGZ0000000000000%08d", n+int(basedOn)),
		Kind:     KindEndpoint,
		Name:     fmt.Sprintf("engine-%05d", n),
		BasedOn:  basedOn,
		Operator: "operator-1",
		Spec: fmt.Appendf(nil, `{"pool":"pool-%d","zone":"zone-%d","address":"10.0.%d.%d:8000","models":["model-%d"],`+
			`"slots":64,"kv_tokens":400000,"generation":"g2","prefill_tokens_per_sec":9000,"decode_tokens_per_sec":40}`,
			n%25, n%15, n/250, n%250, n%25),
	}
}

// manyEndpoints returns a state with 25 pools of one model each and n endpoints.
func manyEndpoints(tb testing.TB, n int) State {
	s := publish(tb, State{}, parseFile(tb, "small.json")[:1])
	apply := func(c Change) {
		var out Outcome
		if s, out = s.Apply(recordOf(tb, s.Next(), c)); out.Result != ResultApplied {
			tb.Fatal(out)
		}
	}
	for i := range 25 {
		apply(Change{ID: fmt.Sprintf("p%d", i), Kind: KindPool, Name: fmt.Sprintf("pool-%d", i), Spec: []byte(poolSpec)})
		apply(Change{ID: fmt.Sprintf("m%d", i), Kind: KindModel, Name: fmt.Sprintf("model-%d", i), Spec: fmt.Appendf(nil, `{"pool":"pool-%d"}`, i)})
	}
	for i := range n {
		apply(endpointChange(i, 0))
	}
	return s
}

// endpointSizes are the numbers of endpoints in the benchmarks.
var endpointSizes = []int{350, 1500, 5300}

func BenchmarkEndpointMemory(b *testing.B) {
	for _, n := range endpointSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				s := manyEndpoints(b, n)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/endpoint")
				runtime.KeepAlive(s)
			}
		})
	}
}

func BenchmarkApplyEndpoint(b *testing.B) {
	for _, n := range endpointSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := manyEndpoints(b, n)
			name := fmt.Sprintf("engine-%05d", n/2)
			rec := recordOf(b, s.Next(), endpointChange(n/2, s.ObjectState(KindEndpoint, name).Revision))
			b.ReportAllocs()
			for b.Loop() {
				s.Apply(rec)
			}
		})
	}
}

func BenchmarkRestoreEndpoints(b *testing.B) {
	for _, n := range endpointSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := manyEndpoints(b, n)
			b.ReportAllocs()
			for b.Loop() {
				if got := reload(b, s); len(got.AllEndpoints()) != n {
					b.Fatalf("restored state: got %d endpoints, want %d", len(got.AllEndpoints()), n)
				}
			}
		})
	}
}
