package node

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/membership"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/platform"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// ownEngines is the maximum number of engines that the measured node owns.
const ownEngines = 11

// benchState returns a configuration with the given number of engines: the first
// ownEngines in zone "z" and the rest in zone "far".
func benchState(tb testing.TB, engines int) config.State {
	tb.Helper()
	var st config.State
	next := platform.Offset(0)
	apply := func(kind config.Kind, name, spec string) {
		data, err := config.EncodeChange(config.Change{ID: fmt.Sprintf("01JGZ0000000000000%08d", next), Kind: kind, Name: name, Operator: "o", Spec: []byte(spec)})
		if err != nil {
			tb.Fatal(err)
		}
		var out config.Outcome
		if st, out = st.Apply(platform.Record{Offset: next, Time: epoch, Data: data}); out.Result != config.ResultApplied {
			tb.Fatalf("%+v", out)
		}
		next++
	}
	apply(config.KindDeployment, "default", `{"tiers":["urgent","standard","patient"],"scores":{"goodput":0.5,"wasted_prefill":0.5}}`)
	apply(config.KindPool, "reports", `{"kind":"engine","queue_per_endpoint":8,"max_body_bytes":1048576,"retry_budget":0.1}`)
	apply(config.KindModel, "narrative", `{"pool":"reports","version":"1","weights":"w","min_copies":1}`)
	apply(config.KindContract, "org", `{"tiers":["urgent"],"default_tier":"urgent","requests_per_sec":1000000,"burst":1000000,"max_concurrent":1000000,"key_hashes":["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}`)
	for i := range engines {
		zone := "z"
		if i >= ownEngines {
			zone = "far"
		}
		apply(config.KindEndpoint, fmt.Sprintf("engine-%05d", i), `{"pool":"reports","zone":"`+zone+`","address":"127.0.0.1:9","models":["narrative"],"slots":16,"kv_tokens":4000000,"prefill_tokens_per_sec":1000000}`)
	}
	return st
}

// syncFromRemoteZone has an instance of the remote zone report itself, so that its zone
// stays reachable.
func syncFromRemoteZone(n *Node, now time.Time) {
	n.Step(now, FromPeer{From: "far", Msg: membership.Message{Kind: membership.Sync, Round: membership.SyncRows,
		Updates: []membership.Update{{ID: "far", Zone: "far", PeerAddress: "127.0.0.1:1"}}}})
	n.Ready()
}

// benchNode returns a node that is the only instance of its zone, and owns the engines
// there.
func benchNode(tb testing.TB, engines int) (*Node, time.Time) {
	tb.Helper()
	n := New(DefaultSettings(entity.Instance{ID: "self", Zone: "z"}), rand.New(rand.NewSource(1)))
	now := advance(n, epoch, 5*time.Second)
	n.Step(now, Configured{State: benchState(tb, engines)})
	// Within a minute the home starts to lend. The first requests then obtain a
	// share of the limit.
	now = advance(n, now, time.Minute)
	for i := range warmRequests {
		id := benchArrive(n, now, -i)
		now = advance(n, now, time.Second)
		syncFromRemoteZone(n, now)
		n.Step(now, CallerGone{ID: id})
		n.Step(now, Ended{ID: id, End: request.End{Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCallerGone}}})
	}
	now = advance(n, now, time.Second)
	syncFromRemoteZone(n, now)
	return n, now
}

// warmRequests is the number of requests processed by a node before it is measured.
const warmRequests = 3

// advance calls Tick until the time d has passed, and returns the new time.
func advance(n *Node, now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(TickInterval)
		n.Tick(now)
		n.Ready()
	}
	return now
}

// fleetEngines are the numbers of engines of a single node, of a zone, and of the
// target fleet size.
var fleetEngines = []int{11, 353, 5300}

// BenchmarkConfigured measures a Configured message with the configuration that is
// already in force, so that no endpoints move.
func BenchmarkConfigured(b *testing.B) {
	for _, engines := range fleetEngines {
		b.Run(fmt.Sprintf("endpoints=%d", engines), func(b *testing.B) {
			n, now := benchNode(b, engines)
			st := n.state
			b.ReportAllocs()
			for b.Loop() {
				n.Step(now, Configured{State: st})
				n.Ready()
			}
		})
	}
}

// BenchmarkTick measures Tick with different numbers of running requests.
func BenchmarkTick(b *testing.B) {
	for _, running := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("requests=%d", running), func(b *testing.B) {
			n, now := benchNode(b, 100)
			for i := range running {
				benchArrive(n, now, i)
			}
			n.Ready()
			b.ReportAllocs()
			for b.Loop() {
				n.Tick(now)
				n.Ready()
			}
		})
	}
}

func benchArrive(n *Node, now time.Time, i int) entity.RequestID {
	id := entity.RequestID(fmt.Sprintf("request-%08d", i))
	i = max(i, -i)
	chain := make([]entity.BlockHash, 64)
	for k := range chain {
		chain[k] = entity.BlockHash(i%200*1000 + k)
	}
	n.Step(now, Arrive{Arrival: request.Arrival{Work: entity.Work{ID: id, Org: "org", Pool: "reports", Model: "narrative",
		Prefix: chain, PromptTokens: 1000, MaxTokens: 100, Deadline: now.Add(time.Hour)}}})
	return id
}

// BenchmarkRequest measures one request through entry and owner on a single node that
// knows the given number of endpoints and has 50 running requests.
func BenchmarkRequest(b *testing.B) {
	for _, engines := range fleetEngines {
		b.Run(fmt.Sprintf("endpoints=%d", engines), func(b *testing.B) {
			n, now := benchNode(b, engines)
			for i := range 50 {
				benchArrive(n, now, i)
			}
			n.Ready()
			i := 1000
			b.ReportAllocs()
			for b.Loop() {
				i++
				now = now.Add(time.Millisecond)
				if i%50 == 0 {
					n.Tick(now)
					n.Ready()
					syncFromRemoteZone(n, now)
				}
				id := benchArrive(n, now, i)
				r := n.Ready()
				if len(r.Directives) == 0 || r.Directives[0].Kind != request.DirectiveDispatch {
					b.Fatalf("got directives %+v, want Dispatch", r.Directives)
				}
				n.Step(now, Ended{ID: id, End: request.End{Release: entity.Release{ID: id, Endpoint: r.Directives[0].Endpoint, PrefillTokens: 500,
					GeneratedTokens: 100, TimeToFirstToken: time.Second, DecodeTime: time.Second}}})
				n.Ready()
			}
		})
	}
}

// BenchmarkRequestMemory reports the memory of a running request in entry and owner.
func BenchmarkRequestMemory(b *testing.B) {
	for _, running := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("requests=%d", running), func(b *testing.B) {
			for b.Loop() {
				n, now := benchNode(b, 200)
				before := heapBytes()
				for i := range running {
					benchArrive(n, now, i)
					n.Ready()
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(running), "B/request")
				runtime.KeepAlive(n)
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

// BenchmarkFleetMemory reports the memory of a node per endpoint, including the
// configuration.
func BenchmarkFleetMemory(b *testing.B) {
	for _, engines := range fleetEngines {
		b.Run(fmt.Sprintf("endpoints=%d", engines), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				n, _ := benchNode(b, engines)
				b.ReportMetric(float64(heapBytes()-before)/float64(engines), "B/endpoint")
				runtime.KeepAlive(n)
			}
		})
	}
}
