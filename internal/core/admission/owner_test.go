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

func reservation(w entity.Work) entity.Reservation { return entity.Reservation{Work: w, From: "entry"} }

// settledOwner returns an owner of the given endpoints and a time at which they
// are settled.
func settledOwner(rows ...entity.Endpoint) (*Owner, time.Time) {
	s := DefaultSettings()
	s.QueuePerEndpoint = 2
	o := New(s)
	o.SetEndpoints(epoch, rows)
	return o, epoch.Add(s.SettleFor)
}

// decisions renders the messages of the owner, one line each.
func decisions(o *Owner) []string {
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
	if diff := cmp.Diff(want, decisions(o)); diff != "" {
		t.Fatalf("decisions (-want +got):\n%s", diff)
	}
}

func TestOwnerServesHigherTierFirst(t *testing.T) {
	o, now := settledOwner(engine("e", 1))
	o.HandleReservation(now, reservation(work("a", 2)))
	o.HandleReservation(now, reservation(work("low", 4)))
	o.HandleReservation(now, reservation(work("high", 2)))
	expect(t, o, "grant a e")
	o.HandleRelease(now, entity.Release{ID: "a", Endpoint: "e"})
	expect(t, o, "grant high e")
	o.HandleRelease(now, entity.Release{ID: "high", Endpoint: "e"})
	expect(t, o, "grant low e")
}

func TestOwnerPausesLowerTierAndResumesIt(t *testing.T) {
	o, now := settledOwner(engine("e", 1))
	o.HandleReservation(now, reservation(work("low", 3)))
	o.HandleReservation(now, reservation(work("high", 0)))
	expect(t, o, "grant low e", "preempt low pause=true")
	o.HandleRelease(now, entity.Release{ID: "low", Endpoint: "e", Paused: true})
	expect(t, o, "grant high e")
	resume := reservation(work("low", 3))
	resume.Resume = "e"
	o.HandleReservation(now, resume)
	expect(t, o)
	o.HandleRelease(now, entity.Release{ID: "high", Endpoint: "e"})
	expect(t, o, "grant low e")
}

func TestLongPromptsDoNotDelayHigherTiers(t *testing.T) {
	o, now := settledOwner(engine("e", 8))
	o.HandleReservation(now, reservation(work("low", 3)))
	o.HandleReservation(now, reservation(work("same", 3)))
	expect(t, o, "grant low e") // the prompt of "same" would queue in the engine
	o.HandleReservation(now, reservation(work("high", 0)))
	expect(t, o, "preempt low pause=true")
	o.HandleRelease(now, entity.Release{ID: "low", Endpoint: "e", Paused: true})
	expect(t, o, "grant high e")
	o.Tick(now.Add(time.Second))
	expect(t, o, "grant same e")
}

func TestOwnerNeverPreemptsNonIdempotentWork(t *testing.T) {
	o, now := settledOwner(engine("e", 1))
	w := work("transfer", 3)
	w.NonIdempotent = true
	o.HandleReservation(now, reservation(w))
	noWait := reservation(work("high", 0))
	noWait.NoWait = true
	o.HandleReservation(now, noWait)
	expect(t, o, "grant transfer e", "refuse high floor=3")
}

// After a refusal with floor 1 the owner grants nothing below tier 1 for FloorFor,
// even if a slot is free.
func TestRefusalFloorIsEnforced(t *testing.T) {
	o, now := settledOwner(engine("e", 1))
	o.HandleReservation(now, reservation(work("a", 1)))
	noWait := reservation(work("b", 1))
	noWait.NoWait = true
	o.HandleReservation(now, noWait)
	expect(t, o, "grant a e", "refuse b floor=1")
	o.HandleReservation(now, reservation(work("low", 2)))
	o.HandleRelease(now, entity.Release{ID: "a", Endpoint: "e"})
	o.Tick(now.Add(o.settings.FloorFor - 1))
	expect(t, o)
	o.Tick(now.Add(o.settings.FloorFor))
	expect(t, o, "grant low e")
}

func TestOwnerShedsLowestQueuedFirst(t *testing.T) {
	o, now := settledOwner(engine("e", 1))
	for _, r := range []entity.Reservation{reservation(work("run", 0)), reservation(work("q3", 3)), reservation(work("q2", 2))} {
		o.HandleReservation(now, r)
	}
	expect(t, o, "grant run e")
	o.HandleReservation(now, reservation(work("q1", 1)))
	expect(t, o, "refuse q3 floor=3")
}

func TestOwnerRefusesWorkThatWouldMissItsDeadline(t *testing.T) {
	o, now := settledOwner(engine("e", 1))
	w := work("long", 0) // one second of prefill and one of decoding
	w.Deadline = now.Add(1900 * time.Millisecond)
	o.HandleReservation(now, reservation(w))
	expect(t, o, "infeasible long")
	o.HandleReservation(now, reservation(work("run", 0)))
	w = work("behind", 0)
	w.Deadline = now.Add(3 * time.Second)
	o.HandleReservation(now, reservation(w))
	expect(t, o, "grant run e", "refuse behind floor=0")
}

func TestGainedEndpointTakesOnlyTheHighestTierAtFirst(t *testing.T) {
	o := New(DefaultSettings())
	o.SetEndpoints(epoch, []entity.Endpoint{engine("e", 2)})
	low, high := work("low", 1), work("high", 0)
	high.PromptTokens = 10 // processed long before the restriction ends
	o.HandleReservation(epoch, reservation(low))
	o.HandleReservation(epoch, reservation(high))
	expect(t, o, "grant high e")
	for now := epoch; now.Before(epoch.Add(o.settings.RestrictedFor)); now = now.Add(TickInterval) {
		o.Tick(now)
	}
	expect(t, o)
	o.Tick(epoch.Add(o.settings.RestrictedFor))
	expect(t, o, "grant low e")
}

func TestSlotsOfALostEntryStayOccupiedUntilReported(t *testing.T) {
	o, now := settledOwner(engine("e", 1))
	o.HandleReservation(now, reservation(work("a", 1)))
	r := reservation(work("b", 1))
	r.From = "other"
	o.HandleReservation(now, r)
	o.EntryLost(now, "entry")
	expect(t, o, "grant a e")
	o.HandleLoadReport(now, entity.LoadReport{Endpoint: "e", At: now.Add(time.Second), Running: 1})
	expect(t, o)
	o.HandleLoadReport(now, entity.LoadReport{Endpoint: "e", At: now.Add(time.Second)})
	expect(t, o, "grant b e")
}

// Work that an entry ran before this owner gained the endpoint occupies its slot
// until it is released.
func TestHeldSlotsAreOccupied(t *testing.T) {
	o, now := settledOwner(engine("e", 1))
	o.HandleHeldSlots(now, []entity.HeldSlot{{Work: work("a", 1), From: "entry", Endpoint: "e"}})
	o.HandleReservation(now, reservation(work("b", 1)))
	expect(t, o)
	o.HandleRelease(now, entity.Release{ID: "a", Endpoint: "e"})
	expect(t, o, "grant b e")
}

func TestOrganisationsShareATier(t *testing.T) {
	o, now := settledOwner(engine("e", 1))
	o.settings.QueuePerEndpoint = 100
	o.HandleReservation(now, reservation(work("run", 1)))
	for i := range 4 {
		o.HandleReservation(now, reservation(work(fmt.Sprintf("big%d", i), 1)))
	}
	small := work("small", 1)
	small.Org = "small"
	o.HandleReservation(now, reservation(small))
	expect(t, o, "grant run e")
	o.HandleRelease(now, entity.Release{ID: "run", Endpoint: "e"})
	got := decisions(o)
	o.HandleRelease(now, entity.Release{ID: "big0", Endpoint: "e"})
	o.HandleRelease(now, entity.Release{ID: "small", Endpoint: "e"})
	got = append(got, decisions(o)...)
	if len(got) != 2 || (got[0] != "grant small e" && got[1] != "grant small e") {
		t.Fatalf("got %v, want \"grant small e\" among the first two grants", got)
	}
}

// Each job needs 1,100 of the engine's 2,000 tokens of memory. A paused job would keep
// its memory, so the lower tier is cancelled rather than paused.
func TestMemoryBoundsGrants(t *testing.T) {
	e := engine("e", 4)
	e.KVTokens = 2000
	o, now := settledOwner(e)
	o.HandleReservation(now, reservation(work("low", 3)))
	o.HandleReservation(now, reservation(work("same", 3)))
	expect(t, o, "grant low e")
	o.HandleReservation(now, reservation(work("high", 0)))
	expect(t, o, "preempt low pause=false")
	o.HandleRelease(now, entity.Release{ID: "low", Endpoint: "e"})
	expect(t, o, "grant high e")
}
