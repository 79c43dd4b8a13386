package measure

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/admission"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/routing"
)

// The size of one zone of the largest deployment, and the load of one owner in it.
const (
	zoneEngines   = 353
	zoneInstances = 31
	zoneOrgs      = 19_000
	zoneModels    = 25
	ownerRunning  = 300 // requests running at the endpoints of one owner
	ownerQueued   = 200 // requests queued at that owner
)

func zoneEndpoints() []entity.Endpoint {
	rows := make([]entity.Endpoint, zoneEngines)
	for i := range rows {
		rows[i] = entity.Endpoint{
			ID: entity.EndpointID(fmt.Sprintf("engine-%03d", i)), Pool: enginePool, Kind: entity.KindEngine,
			Models: []entity.ModelID{
				entity.ModelID(fmt.Sprintf("model-%02d", i%zoneModels)),
				entity.ModelID(fmt.Sprintf("model-%02d", (i+1)%zoneModels)),
			},
			Slots: engineSlots, Generation: fmt.Sprintf("g%d", i%2), PrefillTokensPerSec: ratedPrefill, DecodeTokensPerSec: ratedDecode,
		}
	}
	return rows
}

// zoneWork returns the i-th request: of a random organisation, with a prompt of 32 blocks.
func zoneWork(rng *rand.Rand, i int, model entity.ModelID) entity.Work {
	return entity.Work{
		ID: entity.RequestID(fmt.Sprintf("r%08d", i)), Org: entity.OrgID(fmt.Sprintf("org-%05d", rng.Intn(zoneOrgs))),
		Pool: enginePool, Model: model, Tier: entity.Tier(rng.Intn(tiers)),
		Prefix: hashes(nil, uint64(rng.Intn(2000)), 32*blockTokens), PromptTokens: 32 * blockTokens, MaxTokens: 100,
	}
}

func modelOf(rng *rand.Rand, rows []entity.Endpoint) entity.ModelID {
	return rows[rng.Intn(len(rows))].Models[0]
}

// BenchmarkDecision measures the processing of one request from its arrival to its
// release: the entry's choice among all engines of the zone, the owner's admission with a
// non-empty queue, and the updates of both when the request ends.
func BenchmarkDecision(b *testing.B) {
	rows := zoneEndpoints()
	owned := make([]routing.OwnedEndpoint, len(rows))
	var ownRows []entity.Endpoint // the endpoints of the measured owner
	for i := range rows {
		owned[i] = routing.OwnedEndpoint{Endpoint: rows[i], Owner: instanceID(i % zoneInstances)}
		if i%zoneInstances == 0 {
			ownRows = append(ownRows, rows[i])
		}
	}
	router := routing.New(routing.DefaultSettings())
	router.SetPool(enginePool, owned)
	s := admission.DefaultSettings()
	owner := admission.New(s)
	now := time.Unix(1_700_000_000, 0)
	owner.SetEndpoints(now, ownRows)
	now = now.Add(s.FloorFor)
	rng := rand.New(rand.NewSource(1))
	var running []entity.Grant
	i, decided := 0, 0
	reserve := func() {
		i++
		w := zoneWork(rng, i, modelOf(rng, ownRows))
		if c, ok := router.Next(now, &w, nil); !ok || c.Owner == "" {
			b.Fatal("the router returned no candidate with an owner")
		}
		owner.HandleReservation(now, entity.Reservation{Work: w, From: "entry"})
	}
	collectDecisions := func() {
		r := owner.Ready()
		decided += len(r.Grants) + len(r.Refusals)
		for _, g := range r.Grants {
			w := entity.Work{ID: g.Grant.ID, Pool: enginePool}
			router.Granted(now, "entry", &w, g.Grant)
			running = append(running, g.Grant)
		}
	}
	for range ownerRunning + ownerQueued {
		now = now.Add(time.Millisecond)
		reserve()
		collectDecisions()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(10 * time.Millisecond)
		reserve()
		collectDecisions()
		if len(running) > ownerRunning {
			rel := entity.Release{
				ID: running[0].ID, Endpoint: running[0].Endpoint, PrefillTokens: 1000, TimeToFirstToken: 200 * time.Millisecond,
				GeneratedTokens: 100, DecodeTime: 3 * time.Second,
			}
			running = running[1:]
			owner.HandleRelease(now, rel)
			router.Finished(rel)
			collectDecisions()
		}
		owner.Tick(now)
		collectDecisions()
	}
	if decided == 0 {
		b.Fatal("the owner made no decision")
	}
}

// naiveRequest is one request of the naive scheduler in BenchmarkNaiveDecision.
type naiveRequest struct {
	work   entity.Work
	engine int // index of its engine, or -1 while it is queued
}

// BenchmarkNaiveDecision measures the same decision by a scheduler that keeps all requests
// of the zone in one list. It scans the list for every decision: for the requests per engine,
// for the prompts with the longest common prefix and for the best queued request.
func BenchmarkNaiveDecision(b *testing.B) {
	rows := zoneEndpoints()
	rng := rand.New(rand.NewSource(1))
	var all []naiveRequest
	i := 0
	arrive := func() {
		i++
		all = append(all, naiveRequest{work: zoneWork(rng, i, modelOf(rng, rows)), engine: -1})
	}
	place := func() {
		best := -1
		for k := range all {
			if all[k].engine < 0 && (best < 0 || all[k].work.Tier < all[best].work.Tier) {
				best = k
			}
		}
		if best >= 0 {
			all[best].engine = naiveEngine(rows, all, &all[best].work)
		}
	}
	for range (ownerRunning + ownerQueued) * zoneInstances {
		arrive()
		all[len(all)-1].engine = rng.Intn(len(rows))
		if i%(ownerRunning+ownerQueued) >= ownerRunning {
			all[len(all)-1].engine = -1
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		arrive()
		place()
		all = all[1:]
	}
}

func naiveEngine(rows []entity.Endpoint, all []naiveRequest, w *entity.Work) int {
	best, maxOverlap := -1, -1
	for e := range rows {
		running, overlap := 0, 0
		for k := range all {
			if all[k].engine == e {
				running++
				overlap = max(overlap, commonPrefix(all[k].work.Prefix, w.Prefix))
			}
		}
		if running < rows[e].Slots && overlap > maxOverlap {
			best, maxOverlap = e, overlap
		}
	}
	return best
}

func commonPrefix(a, b []entity.BlockHash) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
