package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

var epoch = time.Unix(1_700_000_000, 0)

func engine(id string, slots int) entity.Endpoint {
	return entity.Endpoint{
		ID: entity.EndpointID(id), Pool: "reports", Kind: entity.KindEngine, Models: []entity.ModelID{"m"},
		Slots: slots, PrefillTokensPerSec: 1000, DecodeTokensPerSec: 100,
	}
}

func work(id string, tier entity.Tier) entity.Work {
	return entity.Work{ID: entity.RequestID(id), Org: "org", Pool: "reports", Model: "m", Tier: tier, PromptTokens: 1000, MaxTokens: 100}
}

func ask(w entity.Work) entity.Reservation { return entity.Reservation{Work: w, From: "entry"} }

// settled returns an owner that knows all that its endpoints run.
func settled(rows ...entity.Endpoint) (*Owner, time.Time) {
	s := DefaultSettings()
	s.QueuePerEndpoint = 2
	o := New(s)
	o.SetEndpoints(epoch, rows)
	return o, epoch.Add(s.SettleFor)
}

// said renders what the owner decided, one word each.
func said(o *Owner) []string {
	var out []string
	r := o.Ready()
	for _, g := range r.Grants {
		out = append(out, fmt.Sprintf("grant %s %s", g.Grant.ID, g.Grant.Endpoint))
	}
	for _, p := range r.Preemptions {
		out = append(out, fmt.Sprintf("preempt %s pause=%v", p.Preemption.ID, p.Preemption.Pause))
	}
	for _, f := range r.Refusals {
		switch {
		case f.Refusal.Infeasible:
			out = append(out, fmt.Sprintf("infeasible %s", f.Refusal.ID))
		case f.Refusal.Floor == NoFloor:
			out = append(out, fmt.Sprintf("refuse %s", f.Refusal.ID))
		default:
			out = append(out, fmt.Sprintf("refuse %s floor=%d", f.Refusal.ID, f.Refusal.Floor))
		}
	}
	return out
}

func expect(t *testing.T, o *Owner, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, said(o)); diff != "" {
		t.Fatalf("decisions (-want +got):\n%s", diff)
	}
}

func TestOwnerServesHigherTierFirst(t *testing.T) {
	o, now := settled(engine("e", 1))
	o.Reserve(now, ask(work("a", 2)))
	o.Reserve(now, ask(work("low", 4)))
	o.Reserve(now, ask(work("high", 2)))
	expect(t, o, "grant a e")
	o.Release(now, entity.Release{ID: "a", Endpoint: "e"})
	expect(t, o, "grant high e")
	o.Release(now, entity.Release{ID: "high", Endpoint: "e"})
	expect(t, o, "grant low e")
}

func TestOwnerPausesLowerTierAndResumesIt(t *testing.T) {
	o, now := settled(engine("e", 1))
	o.Reserve(now, ask(work("low", 3)))
	o.Reserve(now, ask(work("high", 0)))
	expect(t, o, "grant low e", "preempt low pause=true")
	o.Release(now, entity.Release{ID: "low", Endpoint: "e", Paused: true})
	expect(t, o, "grant high e")
	resume := ask(work("low", 3))
	resume.Resume = "e"
	o.Reserve(now, resume)
	expect(t, o)
	o.Release(now, entity.Release{ID: "high", Endpoint: "e"})
	expect(t, o, "grant low e")
}

func TestLongPromptsDoNotDelayHigherTiers(t *testing.T) {
	o, now := settled(engine("e", 8))
	o.Reserve(now, ask(work("low", 3)))
	o.Reserve(now, ask(work("same", 3)))
	expect(t, o, "grant low e") // "same" would stand in line in the engine
	o.Reserve(now, ask(work("high", 0)))
	expect(t, o, "preempt low pause=true")
	o.Release(now, entity.Release{ID: "low", Endpoint: "e", Paused: true})
	expect(t, o, "grant high e")
	o.Tick(now.Add(time.Second))
	expect(t, o, "grant same e")
}

func TestOwnerNeverPreemptsNonIdempotentWork(t *testing.T) {
	o, now := settled(engine("e", 1))
	w := work("transfer", 3)
	w.NonIdempotent = true
	o.Reserve(now, ask(w))
	probe := ask(work("high", 0))
	probe.NoWait = true
	o.Reserve(now, probe)
	expect(t, o, "grant transfer e", "refuse high floor=3")
}

func TestOwnerRefusesWithPromise(t *testing.T) {
	o, now := settled(engine("e", 1))
	o.Reserve(now, ask(work("a", 1)))
	probe := ask(work("b", 1))
	probe.NoWait = true
	o.Reserve(now, probe)
	expect(t, o, "grant a e", "refuse b floor=1")
	o.Reserve(now, ask(work("low", 2)))
	o.Release(now, entity.Release{ID: "a", Endpoint: "e"})
	o.Tick(now.Add(o.settings.FloorFor - 1))
	expect(t, o)
	o.Tick(now.Add(o.settings.FloorFor))
	expect(t, o, "grant low e")
}

func TestOwnerShedsLowestQueuedFirst(t *testing.T) {
	o, now := settled(engine("e", 1))
	for _, r := range []entity.Reservation{ask(work("run", 0)), ask(work("q3", 3)), ask(work("q2", 2))} {
		o.Reserve(now, r)
	}
	expect(t, o, "grant run e")
	o.Reserve(now, ask(work("q1", 1)))
	expect(t, o, "refuse q3 floor=3")
}

func TestOwnerRefusesWhatCannotEndInTime(t *testing.T) {
	o, now := settled(engine("e", 1))
	w := work("long", 0) // one second of prefill and one of decoding
	w.Deadline = now.Add(1900 * time.Millisecond)
	o.Reserve(now, ask(w))
	expect(t, o, "infeasible long")
	o.Reserve(now, ask(work("run", 0)))
	w = work("behind", 0)
	w.Deadline = now.Add(3 * time.Second)
	o.Reserve(now, ask(w))
	expect(t, o, "grant run e", "refuse behind floor=0")
}

func TestGainedEndpointTakesOnlyTheHighestTierAtFirst(t *testing.T) {
	o := New(DefaultSettings())
	o.SetEndpoints(epoch, []entity.Endpoint{engine("e", 2)})
	low, high := work("low", 1), work("high", 0)
	high.PromptTokens = 10 // processed long before the endpoint has settled
	o.Reserve(epoch, ask(low))
	o.Reserve(epoch, ask(high))
	expect(t, o, "grant high e")
	for now := epoch; now.Before(epoch.Add(o.settings.RestrictedFor)); now = now.Add(TickInterval) {
		o.Tick(now)
	}
	expect(t, o)
	o.Tick(epoch.Add(o.settings.RestrictedFor))
	expect(t, o, "grant low e")
}

func TestDroppedInstanceKeepsItsSlotsUntilReported(t *testing.T) {
	o, now := settled(engine("e", 1))
	o.Reserve(now, ask(work("a", 1)))
	r := ask(work("b", 1))
	r.From = "other"
	o.Reserve(now, r)
	o.EntryLost(now, "entry")
	expect(t, o, "grant a e")
	o.HandleLoadReport(now, entity.LoadReport{Endpoint: "e", At: now.Add(time.Second), Running: 1})
	expect(t, o)
	o.HandleLoadReport(now, entity.LoadReport{Endpoint: "e", At: now.Add(time.Second)})
	expect(t, o, "grant b e")
}

func TestHeldWorkCounts(t *testing.T) {
	o, now := settled(engine("e", 1))
	o.AddHeldSlots(now, []entity.HeldSlot{{Work: work("a", 1), From: "entry", Endpoint: "e"}})
	o.Reserve(now, ask(work("b", 1)))
	expect(t, o)
	o.Release(now, entity.Release{ID: "a", Endpoint: "e"})
	expect(t, o, "grant b e")
}

func TestOrganisationsShareATier(t *testing.T) {
	o, now := settled(engine("e", 1))
	o.settings.QueuePerEndpoint = 100
	o.Reserve(now, ask(work("run", 1)))
	for i := range 4 {
		o.Reserve(now, ask(work(fmt.Sprintf("big%d", i), 1)))
	}
	small := work("small", 1)
	small.Org = "small"
	o.Reserve(now, ask(small))
	expect(t, o, "grant run e")
	o.Release(now, entity.Release{ID: "run", Endpoint: "e"})
	got := said(o)
	o.Release(now, entity.Release{ID: "big0", Endpoint: "e"})
	o.Release(now, entity.Release{ID: "small", Endpoint: "e"})
	got = append(got, said(o)...)
	if len(got) != 2 || (got[0] != "grant small e" && got[1] != "grant small e") {
		t.Fatalf("the small organisation waits behind the big one: %v", got)
	}
}

func TestMemoryBoundsGrants(t *testing.T) {
	e := engine("e", 4)
	e.KVTokens = 2000
	o, now := settled(e)
	o.Reserve(now, ask(work("low", 3)))
	o.Reserve(now, ask(work("same", 3)))
	expect(t, o, "grant low e")
	o.Reserve(now, ask(work("high", 0)))
	expect(t, o, "preempt low pause=false")
	o.Release(now, entity.Release{ID: "low", Endpoint: "e"})
	expect(t, o, "grant high e")
}
