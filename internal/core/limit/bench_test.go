package limit

import (
	"encoding/json"
	"fmt"
	"runtime"
	"sort"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Size of the largest deployment that the benchmarks model.
const (
	targetOrgs          = 19000
	targetInstances     = 470
	targetRate          = 40000.0 // requests per second
	requestsPerSec      = targetRate / targetInstances
	meanRequestDuration = 2 * time.Second
)

// zipfContracts returns contracts of organisations whose demand follows Zipf's
// law, their names by rank, and the cumulative fraction of the demand by rank.
func zipfContracts(orgs int, total float64) (map[entity.OrgID]Limit, []entity.OrgID, []float64) {
	weights, sum := make([]float64, orgs), 0.0
	for i := range weights {
		weights[i] = 1 / float64(i+1)
		sum += weights[i]
	}
	contracts := make(map[entity.OrgID]Limit, orgs)
	names, cumulative := make([]entity.OrgID, orgs), make([]float64, orgs)
	at := 0.0
	for i, w := range weights {
		names[i] = entity.OrgID(fmt.Sprintf("org-%05d", i))
		rate := max(3*total*w/sum, 1)
		contracts[names[i]] = Limit{Rate: rate, Burst: int(max(10, 2*rate)), Concurrent: int(max(8, 10*rate))}
		at += w / sum
		cumulative[i] = at
	}
	return contracts, names, cumulative
}

// BenchmarkTraffic reports the messages of one zone of a fleet that serves many
// organisations, none of which exceeds its contract.
func BenchmarkTraffic(b *testing.B) {
	for _, s := range []struct{ perZone, fleet, orgs int }{
		{4, 14, 5}, {6, 90, targetOrgs}, {14, 210, targetOrgs}, {31, targetInstances, targetOrgs},
	} {
		b.Run(fmt.Sprintf("instances=%d/fleet=%d/orgs=%d", s.perZone, s.fleet, s.orgs), func(b *testing.B) {
			for range b.N {
				contracts, names, cumulative := zipfContracts(s.orgs, requestsPerSec*float64(s.fleet))
				f := newFleet(b, 1, 1, s.perZone, contracts)
				f.otherZones = s.fleet - s.perZone
				for _, n := range f.nodes {
					f.setView(n, f.view(n))
				}
				f.run(20 * time.Second)
				const warmUp, measured = 20 * time.Second, 30 * time.Second
				f.loadMix(names, cumulative, requestsPerSec*float64(s.perZone), warmUp+measured)
				f.run(warmUp)
				f.offered, f.messages = 0, 0
				clear(f.refused)
				bytes := 0
				f.traffic = func(_ entity.InstanceID, o Outgoing) { bytes += encodedSize(b, o) }
				f.run(measured)
				instanceSeconds := float64(s.perZone) * measured.Seconds()
				// A message counts twice, at its sender and at its receiver.
				b.ReportMetric(2*float64(bytes)/instanceSeconds, "B/s/instance")
				b.ReportMetric(2*float64(f.messages)/instanceSeconds, "msgs/s/instance")
				b.ReportMetric(100*float64(f.refusedSum())/float64(f.offered), "%refused")
				b.ReportMetric(float64(len(f.nodes[0].borrower.accounts)), "accounts")
				b.ReportMetric(float64(len(f.nodes[0].home.loans)), "loans")
			}
		})
	}
}

func (f *fleet) refusedSum() int {
	sum := 0
	for _, n := range f.refused {
		sum += n
	}
	return sum
}

// loadMix offers requests of many organisations for the given period, chosen by their part of
// the demand.
func (f *fleet) loadMix(names []entity.OrgID, cumulative []float64, rate float64, period time.Duration) {
	for at := time.Duration(0); at < period; at += time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second)) {
		org := names[min(sort.SearchFloat64s(cumulative, f.rng.Float64()), len(names)-1)]
		n := f.nodes[f.rng.Intn(len(f.nodes))]
		d := time.Duration(f.rng.ExpFloat64() * float64(meanRequestDuration))
		f.after(at, func() { f.request(n, org, d) })
	}
}

func encodedSize(tb testing.TB, o Outgoing) int {
	var m any = o.Demand
	if o.Share != nil {
		m = o.Share
	}
	data, err := json.Marshal(m)
	if err != nil {
		tb.Fatal(err)
	}
	return len(data)
}

// fullBorrower returns a borrower in a zone of the target size, and the names of the
// organisations that have a contract.
func fullBorrower(orgs int) (*Borrower, []entity.OrgID) {
	contracts, names, _ := zipfContracts(orgs, targetRate)
	br := NewBorrower(DefaultSettings(), func(o entity.OrgID) (Limit, bool) { l, ok := contracts[o]; return l, ok })
	var members []entity.Instance
	for i := range 31 {
		members = append(members, entity.Instance{ID: entity.InstanceID(fmt.Sprintf("01J%022d", i))})
	}
	br.SetZone(time.Unix(1000, 0), Zone{Members: members, FleetSize: targetInstances})
	return br, names
}

func BenchmarkAdmitDone(b *testing.B) {
	br, names := fullBorrower(targetOrgs)
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Hour)
		org := names[i%100]
		if ok, _, _ := br.Admit(now, org); ok {
			br.Done(now, org)
		}
	}
}

func BenchmarkBorrowerTick(b *testing.B) {
	for _, orgs := range []int{100, 1900, targetOrgs} {
		b.Run(fmt.Sprintf("orgs=%d", orgs), func(b *testing.B) {
			br, names := fullBorrower(orgs)
			now := time.Unix(1000, 0)
			for _, o := range names {
				br.Admit(now, o)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Second)
				for _, a := range br.accounts {
					a.usedAt = now
				}
				br.Tick(now)
				br.Ready()
			}
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, orgs := range []int{100, 1900, targetOrgs} {
		b.Run(fmt.Sprintf("orgs=%d", orgs), func(b *testing.B) {
			for range b.N {
				br, names := fullBorrower(orgs)
				before := heapInUse()
				for _, o := range names {
					br.Admit(time.Unix(1000, 0), o)
				}
				b.ReportMetric((float64(heapInUse())-float64(before))/float64(orgs), "B/org")
				runtime.KeepAlive(br)
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func TestFastPathDoesNotAllocate(t *testing.T) {
	br, names := fullBorrower(10)
	now := time.Unix(1000, 0)
	br.Admit(now, names[0])
	br.Done(now, names[0])
	n := testing.AllocsPerRun(100, func() {
		now = now.Add(time.Hour)
		if ok, _, _ := br.Admit(now, names[0]); !ok {
			t.Fatal("request refused, want it admitted")
		}
		br.Done(now, names[0])
	})
	if n != 0 {
		t.Errorf("got %v allocations, want 0", n)
	}
}
