package schedules

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/claim"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/platform"
)

const (
	// zoneAppends is the number of appends per second that each zone may make;
	// 15 zones together make up to 150.
	zoneAppends  = 10
	loadDuration = 60 * time.Second
)

// loadHome is the home of all shards in one zone. It claims keys at a constant
// rate and has no faults.
type loadHome struct {
	*process
	log        *fakeLog
	shards     []*claim.Shard
	proposedAt map[entity.RequestID]time.Time
	waits      []time.Duration
}

func newLoadHome(s *sim, log *fakeLog, zone int) *loadHome {
	h := &loadHome{
		process: newProcess(s, entity.InstanceID(fmt.Sprint("z", zone)), zone),
		log:     log, proposedAt: map[entity.RequestID]time.Time{},
	}
	budget := claim.NewBudget(zoneAppends, 2)
	for num := range claim.ShardNumber(claim.ShardCount) {
		sh, err := claim.New(claim.Settings{Instance: h.id, Budget: budget, DecisionTimeout: time.Minute}, num)
		if err != nil {
			panic(err)
		}
		h.shards = append(h.shards, sh)
	}
	h.every(20*time.Millisecond, h.tick)
	return h
}

func (h *loadHome) tick() {
	for _, sh := range h.shards {
		sh.Tick(h.clock())
		h.serve(sh)
	}
}

func (h *loadHome) serve(sh *claim.Shard) {
	r := sh.Ready()
	for _, b := range r.Appends {
		h.log.append(h.process, b.Stream, b.Data, func(st claim.AppendStatus, o platform.Offset) {
			sh.HandleAppendResult(h.clock(), b.ID, st, o)
			h.serve(sh)
		})
	}
	if r.Read != nil {
		h.log.read(h.process, r.Read, func(rs []platform.Record, first, next platform.Offset) {
			sh.ApplyRecords(h.clock(), rs, first, next)
			h.serve(sh)
		}, func(err error) { sh.ReadFailed(h.clock(), err) })
	}
	for _, d := range r.Decisions {
		if d.Won && !h.proposedAt[d.Request].IsZero() {
			h.waits = append(h.waits, h.now.Sub(h.proposedAt[d.Request]))
			delete(h.proposedAt, d.Request)
		}
	}
}

func (h *loadHome) claim(n int) {
	key := fmt.Sprintf("%s-%d", h.id, n)
	r := entity.RequestID(key)
	sh := h.shards[claim.ShardOf("org", key)]
	h.proposedAt[r] = h.now
	sh.HandleProposal(h.clock(), claim.Proposal{Request: r, Org: "org", Key: key, From: h.id})
	h.later(200*time.Millisecond, func() {
		sh.HandleOutcome(h.clock(), claim.Outcome{Request: r, Org: "org", Key: key, From: h.id, Verdict: "ran", Status: 200})
	})
}

// BenchmarkZones reports how many appends the claims of many zones cost the log,
// and how long a claim waits, under a virtual clock without faults.
func BenchmarkZones(b *testing.B) {
	for _, zones := range []int{1, 4, 15} {
		for _, perSec := range []int{1, 10, 50} {
			b.Run(fmt.Sprintf("zones=%d/claims=%d", zones, perSec), func(b *testing.B) {
				for range b.N {
					runZones(b, zones, perSec)
				}
			})
		}
	}
}

func runZones(b *testing.B, zones, perSec int) {
	b.Helper()
	s := newSim(1)
	log := newFakeLog(newNetwork(s), time.Hour)
	log.answerLossRate = 0
	var homes []*loadHome
	for z := range zones {
		homes = append(homes, newLoadHome(s, log, z))
	}
	s.runUntil(epoch.Add(5 * time.Second))
	before := log.appends
	for _, h := range homes {
		for n := range perSec * int(loadDuration/time.Second) {
			h.later(time.Duration(n)*time.Second/time.Duration(perSec), func() { h.claim(n) })
		}
	}
	s.runUntil(s.now.Add(loadDuration))
	appends := log.appends - before
	s.runUntil(s.now.Add(20 * time.Second))
	var waits []time.Duration
	for _, h := range homes {
		waits = append(waits, h.waits...)
	}
	slices.Sort(waits)
	if len(waits) == 0 {
		b.Fatal("no claim was won")
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	b.ReportMetric(float64(appends)/loadDuration.Seconds(), "appends/s")
	b.ReportMetric(ms(waits[len(waits)/2]), "wait-p50-ms")
	b.ReportMetric(ms(waits[len(waits)*99/100]), "wait-p99-ms")
	b.ReportMetric(float64(len(waits))/float64(zones*perSec)/loadDuration.Seconds(), "won-share")
}
