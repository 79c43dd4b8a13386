package request

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/retry"
	"github.com/medlarhold/medlarhold/internal/core/routing"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

var epoch = time.Unix(1_700_000_000, 0)

// router is a request.Router with a fixed list of owners to try in turn, and one
// owner of all endpoints.
type router struct {
	owners  []entity.InstanceID
	owner   entity.InstanceID
	mayShed bool
}

func (r *router) Next(_ time.Time, _ *entity.Work, tried []routing.Choice) (routing.Choice, bool) {
	if len(tried) >= len(r.owners) {
		return routing.Choice{}, false
	}
	return routing.Choice{Owner: r.owners[len(tried)], NoWait: len(tried) < len(r.owners)-1}, true
}

func (r *router) MayShed(time.Time, *entity.Work, []routing.Choice) bool { return r.mayShed }
func (r *router) Reaches(time.Time, *entity.Work) bool                   { return true }
func (r *router) Granted(time.Time, entity.InstanceID, *entity.Work, entity.Grant) {
}

func (r *router) Refused(time.Time, entity.InstanceID, *entity.Work, entity.Refusal, time.Time) {
}
func (r *router) Unreachable(time.Time, entity.InstanceID) {}
func (r *router) Finished(entity.Release)                  {}
func (r *router) OwnerOf(entity.EndpointID) (entity.InstanceID, bool) {
	return r.owner, r.owner != ""
}
func (r *router) HasEndpoint(*entity.Work) bool { return true }

// newEntry returns an Entry that uses the router r and contains one request.
func newEntry(r *router) *Entry {
	e := New(Settings{Self: "self", KeepFinished: 8, RetryInterval: 50 * time.Millisecond, FirstQueueWait: 100 * time.Millisecond, MaxQueueWait: 2 * time.Second,
		DispatchWithin: time.Second}, r, retry.New(retry.DefaultSettings(), rand.New(rand.NewSource(1))), nil)
	e.Arrive(epoch, Arrival{Work: entity.Work{ID: "r", Org: "o", Pool: "p", Deadline: epoch.Add(10 * time.Second)}})
	return e
}

// batchLines renders the releases, held slots, withdrawals, reservations and directives
// of the batch, one line each.
func batchLines(e *Entry) []string {
	var out []string
	r := e.Ready()
	for _, x := range r.Releases {
		out = append(out, fmt.Sprintf("release to %s seq %d unused=%v paused=%v", x.Owner, x.Release.Seq, x.Release.Unused, x.Release.Paused))
	}
	for _, x := range r.HeldSlots {
		out = append(out, fmt.Sprintf("held slot to %s seq %d", x.Owner, x.Slot.Seq))
	}
	for _, x := range r.Withdrawals {
		out = append(out, fmt.Sprintf("withdraw from %s seq %d", x.Owner, x.Seq))
	}
	for _, x := range r.Reservations {
		out = append(out, fmt.Sprintf("reserve at %s seq %d", x.Owner, x.Reservation.Seq))
	}
	for _, x := range r.Directives {
		out = append(out, fmt.Sprintf("directive %d at %q", x.Kind, x.Endpoint))
	}
	return out
}

func expect(t *testing.T, e *Entry, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, batchLines(e)); diff != "" {
		t.Errorf("batch (-want +got):\n%s", diff)
	}
}

func grant(seq uint32) entity.Grant {
	return entity.Grant{ID: "r", Seq: seq, Endpoint: "e"}
}

// A grant that is received twice must not dispatch the request twice.
func TestDuplicateGrantIsIgnored(t *testing.T) {
	e := newEntry(&router{owners: []entity.InstanceID{"a"}, owner: "a"})
	e.HandleGrant(epoch, "a", grant(1))
	expect(t, e, "reserve at a seq 1", `directive 0 at "e"`)
	e.HandleGrant(epoch, "a", grant(1))
	expect(t, e)
}

// A grant that answers an earlier reservation of the request is released unused.
func TestOutdatedGrantIsReleased(t *testing.T) {
	e := newEntry(&router{owners: []entity.InstanceID{"a"}, owner: "a"})
	e.HandleRefusal(epoch, "a", entity.Refusal{ID: "r", Seq: 1})
	e.Tick(epoch.Add(50 * time.Millisecond))
	expect(t, e, "reserve at a seq 1", "reserve at a seq 2")
	e.HandleGrant(epoch, "a", grant(1))
	expect(t, e, "release to a seq 1 unused=true paused=false")
	e.HandleGrant(epoch, "a", grant(2))
	expect(t, e, `directive 0 at "e"`)
}

// A refusal that answers an earlier reservation must not shed the request.
func TestOutdatedRefusalIsIgnored(t *testing.T) {
	r := &router{owners: []entity.InstanceID{"a"}, owner: "a"}
	e := newEntry(r)
	e.HandleRefusal(epoch, "a", entity.Refusal{ID: "r", Seq: 1})
	e.Tick(epoch.Add(50 * time.Millisecond))
	e.Ready()
	r.mayShed = true
	e.HandleRefusal(epoch.Add(60*time.Millisecond), "a", entity.Refusal{ID: "r", Seq: 1})
	expect(t, e)
}

// While instances disagree on the owner of an endpoint, several owners count the
// same request. All of them must get its release, or they would keep a slot
// occupied.
func TestAllHoldersGetTheRelease(t *testing.T) {
	e := newEntry(&router{owners: []entity.InstanceID{"a"}, owner: "b"})
	e.HandleGrant(epoch, "a", grant(1))
	expect(t, e, "held slot to b seq 1", "reserve at a seq 1", `directive 0 at "e"`)
	e.OwnerChanged(epoch, "e", "c")
	e.Ended(epoch, "r", End{})
	expect(t, e, "release to a seq 1 unused=false paused=false", "release to b seq 1 unused=false paused=false",
		"release to c seq 1 unused=false paused=false", `directive 4 at ""`)
}

// After a freeze the pending reservations are withdrawn. A grant that answers one of
// them may be long outdated and is released unused.
func TestFreezeWithdrawsPendingReservations(t *testing.T) {
	e := newEntry(&router{owners: []entity.InstanceID{"a"}, owner: "a"})
	e.Ready()
	e.FreezeDetected(epoch.Add(5 * time.Second))
	e.HandleGrant(epoch.Add(5*time.Second), "a", grant(1))
	expect(t, e, "release to a seq 1 unused=true paused=false", "withdraw from a seq 1")
}

func TestPausedRequestThatWouldMissItsDeadlineIsCancelled(t *testing.T) {
	e := newEntry(&router{owners: []entity.InstanceID{"a"}, owner: "a"})
	e.HandleGrant(epoch, "a", grant(1))
	e.HandlePreemption(epoch, "a", entity.Preemption{ID: "r", Seq: 1, Pause: true})
	e.Paused(epoch, "r")
	e.Ready()
	e.HandleRefusal(epoch, "a", entity.Refusal{ID: "r", Seq: 2, Infeasible: true})
	expect(t, e, `directive 3 at "e"`)
	e.Ended(epoch, "r", End{Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline}})
	expect(t, e, "release to a seq 2 unused=false paused=false", `directive 4 at ""`)
}

// The release of a stream that was paused carries no durations: they include the
// pause, so the speed estimate of the engine would become too low.
func TestReleaseOfPausedStreamHasNoDurations(t *testing.T) {
	for _, paused := range []bool{false, true} {
		e := newEntry(&router{owners: []entity.InstanceID{"a"}, owner: "a"})
		e.HandleGrant(epoch, "a", grant(1))
		if paused {
			e.HandlePreemption(epoch, "a", entity.Preemption{ID: "r", Seq: 1, Pause: true})
			e.Paused(epoch, "r")
			e.HandleGrant(epoch, "a", grant(2))
		}
		e.Ready()
		e.Ended(epoch, "r", End{Release: entity.Release{TimeToFirstToken: time.Second, DecodeTime: time.Minute}})
		rel := e.Ready().Releases[0].Release
		if hasDurations := rel.DecodeTime > 0 && rel.TimeToFirstToken > 0; hasDurations == paused {
			t.Errorf("paused=%v: got release %+v, want durations only if it was not paused", paused, rel)
		}
	}
}

// A request that was not run is refused with reason retry_budget and a RetryAfter
// if the retry budget of its pool is used up. A bad request is never retried.
func TestRetriesThatAreNotAllowed(t *testing.T) {
	for reason, want := range map[verdict.Reason]verdict.Reason{
		verdict.ReasonEndpointRefused: verdict.ReasonRetryBudget,
		verdict.ReasonBadRequest:      verdict.ReasonBadRequest,
	} {
		s := retry.DefaultSettings()
		s.DefaultShare = 0
		e := New(Settings{Self: "self", KeepFinished: 8, DispatchWithin: time.Second}, &router{owners: []entity.InstanceID{"a"}},
			retry.New(s, rand.New(rand.NewSource(1))), noClaims{})
		e.Arrive(epoch, Arrival{Work: entity.Work{ID: "r", Pool: "p", Deadline: epoch.Add(10 * time.Second)}})
		e.HandleGrant(epoch, "a", entity.Grant{ID: "r", Seq: 1, Endpoint: "e"})
		e.Ready()
		e.Ended(epoch, "r", End{Err: &verdict.Error{Verdict: verdict.NotRun, Reason: reason}})
		r := e.Ready()
		if len(r.Directives) != 1 || r.Directives[0].Kind != DirectiveFinish {
			t.Fatalf("%s: got %+v, want one Finish directive", reason, r)
		}
		got := r.Directives[0].Err
		if got.Verdict != verdict.NotRun || got.Reason != want || (want == verdict.ReasonRetryBudget) != (got.RetryAfter > 0) {
			t.Errorf("dispatch not run with reason %s: got %+v", reason, got)
		}
	}
}

// noClaims implements Claims for requests without a key.
type noClaims struct{}

func (noClaims) MayDispatch(time.Time, entity.RequestID) bool { return true }
func (noClaims) NotSent(entity.RequestID)                     {}

// The last owner's refusal arrives after the deadline but before the deadline timer.
// The request must end with reason deadline, even if every owner has given its
// guarantee and the request could be shed for overload.
func TestRefusalAfterTheDeadline(t *testing.T) {
	e := newEntry(&router{owners: []entity.InstanceID{"a"}, mayShed: true})
	e.Ready()
	afterDeadline := epoch.Add(10*time.Second + time.Millisecond)
	e.HandleRefusal(afterDeadline, "a", entity.Refusal{ID: "r", Seq: 1, FloorFor: time.Second})
	r := e.Ready()
	if len(r.Directives) != 1 || r.Directives[0].Err == nil || r.Directives[0].Err.Reason != verdict.ReasonDeadline ||
		r.Directives[0].Err.Verdict != verdict.NotRun {
		t.Fatalf("got %+v, want one directive with verdict not_run and reason deadline", r)
	}
}
