package limit

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

var (
	histories = flag.Int("limit.histories", 200, "number of seeded histories")
	firstSeed = flag.Int64("limit.seed", 1, "first seed")
)

// allowance is the number of requests in flight that one fault may add until a time.
type allowance struct {
	until time.Time
	n     int
}

// allowances holds one allowance for each fault of a history.
type allowances []allowance

// longestRequest is the longest time that a request in these histories runs.
const longestRequest = 10 * time.Second

// add allows n more requests until the fault has ended, the leases from before
// it have expired, all views agree, and the requests admitted until then have
// finished.
func (a *allowances) add(f *fleet, n int, fault time.Duration) {
	d := fault + DefaultSettings().LeaseFor + f.viewDelay + longestRequest
	*a = append(*a, allowance{until: f.now.Add(d), n: n})
}

// at returns the number of additional requests in flight that the faults allow at now.
func (a allowances) at(now time.Time) int {
	sum := 0
	for _, x := range a {
		if now.Before(x.until) {
			sum += x.n
		}
	}
	return sum
}

// perInstance returns the concurrency that one instance adds to its zone's part
// of a contract. Views that differ by one instance differ by this amount.
func (f *fleet) perInstance(org entity.OrgID) int {
	return f.contracts[org].Concurrent/(len(f.nodes)-1) + 1
}

// injectFault starts one random fault and schedules its end, and returns its name.
func (f *fleet) injectFault(rng *rand.Rand, org entity.OrgID, v *allowances) string {
	n := f.nodes[rng.Intn(len(f.nodes))]
	if rng.Intn(2) == 0 {
		if h := f.homeOf(org, n.self.Zone); h != nil {
			n = h
		}
	}
	if n.dead || n.frozen {
		return "none"
	}
	defer f.spreadViews()
	switch rng.Intn(5) {
	case 0:
		f.kill(n)
		v.add(f, f.perInstance(org), deathConfirmedAfter)
		return "kill"
	case 1:
		f.kill(n)
		restarted := f.add(n.self.Zone)
		f.setView(restarted, f.view(restarted))
		v.add(f, 2*f.perInstance(org), deathConfirmedAfter)
		return "restart"
	case 2:
		f.freeze(n, org, v, time.Duration(rng.Intn(25000))*time.Millisecond)
		return "freeze"
	case 3:
		f.isolate(n, org, v, time.Duration(rng.Intn(25000))*time.Millisecond)
		return "cut"
	default:
		n.self.Leaving = true
		return "leave"
	}
}

func (f *fleet) homeOf(org entity.OrgID, zone entity.ZoneID) *testNode {
	for _, n := range f.nodes {
		if n.self.Zone == zone && !n.dead && !n.frozen && n.borrower.zone.home(org) == n.self.ID {
			return n
		}
	}
	return nil
}

func (f *fleet) freeze(n *testNode, org entity.OrgID, v *allowances, d time.Duration) {
	n.frozen = true
	v.add(f, n.borrower.InFlight(org), d)
	f.after(d, func() { f.resume(n); f.spreadViews() })
}

// isolate drops all messages between one instance and the rest of its zone for d.
func (f *fleet) isolate(n *testNode, org entity.OrgID, v *allowances, d time.Duration) {
	before := f.cut
	v.add(f, n.heldConcurrent(f.now, org)+f.perInstance(org), d)
	f.cut = func(a, b *testNode) bool { return before(a, b) || a == n || b == n }
	f.after(d, func() { f.cut = before; f.spreadViews() })
}

func (n *testNode) heldConcurrent(now time.Time, org entity.OrgID) int {
	a := n.borrower.accounts[org]
	if a == nil {
		return 0
	}
	return max(a.inFlight, a.allowedConcurrent(now, DefaultSettings().UnleasedConcurrent))
}

// maxBucketLevel returns the highest level of a single global leaky bucket that
// drains at the contract's rate and gains one per admitted request. A naive
// limiter with this level as its burst would have admitted the same requests.
func (f *fleet) maxBucketLevel(org entity.OrgID) float64 {
	rate := f.contracts[org].Rate
	level, worst := 0.0, 0.0
	last := f.now
	for i, at := range f.admitted[org] {
		if i > 0 {
			level = max(level-rate*at.Sub(last).Seconds(), 0)
		}
		level++
		last = at
		worst = max(worst, level)
	}
	return worst
}

type historyResult struct {
	faults map[string]int // number of faults by name
	// worst and allowed are the number of requests in flight and its limit at the time
	// when the number was highest compared with the limit.
	worst   int
	allowed int
	// bucket is the maxBucketLevel of the history, bucketMax its limit.
	bucket    float64
	bucketMax float64
	// admitted and naive are the numbers of requests that the fleet and the naive
	// limiter admitted.
	admitted int
	naive    int
}

// history runs one seeded history of overload and faults.
func history(t *testing.T, seed int64) historyResult {
	rng := rand.New(rand.NewSource(seed))
	zones, perZone := 1+rng.Intn(4), 2+rng.Intn(4)
	limit := Limit{Rate: 20 + 200*rng.Float64(), Burst: 5 + rng.Intn(100), Concurrent: 4 + rng.Intn(100)}
	f := newFleet(t, seed, zones, perZone, map[entity.OrgID]Limit{org: limit})
	f.loss = float64(rng.Intn(3)) / 100
	f.run(20 * time.Second)
	f.load(org, limit.Rate*(0.5+3*rng.Float64()), time.Duration(rng.Intn(4000))*time.Millisecond, 60*time.Second, f.nodes)
	r := historyResult{faults: map[string]int{}}
	var v allowances
	for i := range 600 {
		if i%50 == 25 && rng.Intn(2) == 0 {
			for range 1 + rng.Intn(2) {
				r.faults[f.injectFault(rng, org, &v)]++
			}
		}
		f.run(tickEvery)
		allowed := limit.Concurrent + zones - 1 + DefaultSettings().UnleasedConcurrent*len(f.nodes) + v.at(f.now)
		if n := f.inFlight(org); n-allowed > r.worst-r.allowed || i == 0 {
			r.worst, r.allowed = n, allowed
		}
	}
	r.bucket = f.maxBucketLevel(org)
	r.bucketMax = float64(2*limit.Burst + zones + DefaultSettings().UnleasedTokens*len(f.nodes))
	r.admitted, r.naive = len(f.admitted[org]), f.naive[org].admitted
	return r
}

// admittedOfNaive is the minimum number of requests admitted over all histories, as a
// fraction of the number that the naive limiter admits. The naive limiter sees all
// instances at once, and faults don't affect it.
const admittedOfNaive = 0.6

// Random histories of overload and faults: the requests in flight and the burst
// stay within the contract plus what faults and unleased allowances may add.
func TestOvershootStaysWithinAllowance(t *testing.T) {
	faults := map[string]int{}
	admitted, naive := 0, 0
	for seed := *firstSeed; seed < *firstSeed+int64(*histories); seed++ {
		r := history(t, seed)
		for k, n := range r.faults {
			faults[k] += n
		}
		admitted += r.admitted
		naive += r.naive
		if r.worst > r.allowed {
			t.Errorf("seed %d: got %d in flight, want at most %d; faults %v", seed, r.worst, r.allowed, r.faults)
		}
		if r.bucket > r.bucketMax {
			t.Errorf("seed %d: got bucket level %.0f, want at most %.0f; faults %v", seed, r.bucket, r.bucketMax, r.faults)
		}
	}
	t.Log(fmt.Sprint(*histories, " histories, faults ", faults, ", admitted ", admitted, ", naive ", naive))
	if float64(admitted) < admittedOfNaive*float64(naive) {
		t.Errorf("admitted %d requests, want at least %.0f%% of the naive limiter's %d", admitted, 100*admittedOfNaive, naive)
	}
}
