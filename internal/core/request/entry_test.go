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

// router names the owners to ask in turn, and the owner of every endpoint.
type router struct {
	ask     []entity.InstanceID
	owner   entity.InstanceID
	mayShed bool
}

func (r *router) Next(_ time.Time, _ *entity.Work, tried []routing.Choice) (routing.Choice, bool) {
	if len(tried) >= len(r.ask) {
		return routing.Choice{}, false
	}
	return routing.Choice{Owner: r.ask[len(tried)], NoWait: len(tried) < len(r.ask)-1}, true
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

// newEntry returns a table that asks the router, with one request in it.
func newEntry(r *router) *Entry {
	e := New(Settings{Self: "self", KeepFinished: 8, RetryInterval: 50 * time.Millisecond, FirstQueueWait: 100 * time.Millisecond, MaxQueueWait: 2 * time.Second,
		DispatchWithin: time.Second}, r, retry.New(retry.DefaultSettings(), rand.New(rand.NewSource(1))), nil)
	e.Arrive(epoch, Arrival{Work: entity.Work{ID: "r", Org: "o", Pool: "p", Deadline: epoch.Add(10 * time.Second)}})
	return e
}

// batchLines renders what is to be carried out, one line each.
func batchLines(e *Entry) []string {
	var out []string
	r := e.Ready()
	for _, x := range r.Releases {
		out = append(out, fmt.Sprintf("release to %s question %d unused=%v paused=%v", x.Owner, x.Release.Seq, x.Release.Unused, x.Release.Paused))
	}
	for _, x := range r.HeldSlots {
		out = append(out, fmt.Sprintf("holding to %s question %d", x.Owner, x.Slot.Seq))
	}
	for _, x := range r.Withdrawals {
		out = append(out, fmt.Sprintf("withdraw from %s question %d", x.Owner, x.Seq))
	}
	for _, x := range r.Reservations {
		out = append(out, fmt.Sprintf("ask %s question %d", x.Owner, x.Reservation.Seq))
	}
	for _, x := range r.Directives {
		out = append(out, fmt.Sprintf("directive %d at %q", x.Kind, x.Endpoint))
	}
	return out
}

func expect(t *testing.T, e *Entry, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, batchLines(e)); diff != "" {
		t.Errorf("to be carried out (-want +got):\n%s", diff)
	}
}

func grant(question uint32) entity.Grant {
	return entity.Grant{ID: "r", Seq: question, Endpoint: "e"}
}

func TestRepeatedGrantChangesNothing(t *testing.T) {
	e := newEntry(&router{ask: []entity.InstanceID{"a"}, owner: "a"})
	e.HandleGrant(epoch, "a", grant(1))
	expect(t, e, "ask a question 1", `directive 0 at "e"`)
	e.HandleGrant(epoch, "a", grant(1))
	expect(t, e)
}

func TestGrantToAnEarlierQuestionIsGivenBack(t *testing.T) {
	e := newEntry(&router{ask: []entity.InstanceID{"a"}, owner: "a"})
	e.HandleRefusal(epoch, "a", entity.Refusal{ID: "r", Seq: 1})
	e.Tick(epoch.Add(50 * time.Millisecond))
	expect(t, e, "ask a question 1", "ask a question 2")
	e.HandleGrant(epoch, "a", grant(1))
	expect(t, e, "release to a question 1 unused=true paused=false")
	e.HandleGrant(epoch, "a", grant(2))
	expect(t, e, `directive 0 at "e"`)
}

func TestRefusalOfAnEarlierQuestionSaysNothing(t *testing.T) {
	r := &router{ask: []entity.InstanceID{"a"}, owner: "a"}
	e := newEntry(r)
	e.HandleRefusal(epoch, "a", entity.Refusal{ID: "r", Seq: 1})
	e.Tick(epoch.Add(50 * time.Millisecond))
	e.Ready()
	r.mayShed = true
	e.HandleRefusal(epoch.Add(60*time.Millisecond), "a", entity.Refusal{ID: "r", Seq: 1})
	expect(t, e)
}

func TestEveryOwnerThatCountsTheRequestHearsOfItsEnd(t *testing.T) {
	e := newEntry(&router{ask: []entity.InstanceID{"a"}, owner: "b"})
	e.HandleGrant(epoch, "a", grant(1))
	expect(t, e, "holding to b question 1", "ask a question 1", `directive 0 at "e"`)
	e.OwnerChanged(epoch, "e", "c")
	e.Ended(epoch, "r", End{})
	expect(t, e, "release to a question 1 unused=false paused=false", "release to b question 1 unused=false paused=false",
		"release to c question 1 unused=false paused=false", `directive 4 at ""`)
}

func TestThawedRequestsAskAnew(t *testing.T) {
	e := newEntry(&router{ask: []entity.InstanceID{"a"}, owner: "a"})
	e.Ready()
	e.FreezeDetected(epoch.Add(5 * time.Second))
	e.HandleGrant(epoch.Add(5*time.Second), "a", grant(1))
	expect(t, e, "release to a question 1 unused=true paused=false", "withdraw from a question 1")
}

func TestPausedRequestThatCannotEndInTimeIsCancelled(t *testing.T) {
	e := newEntry(&router{ask: []entity.InstanceID{"a"}, owner: "a"})
	e.HandleGrant(epoch, "a", grant(1))
	e.HandlePreemption(epoch, "a", entity.Preemption{ID: "r", Seq: 1, Pause: true})
	e.Paused(epoch, "r")
	e.Ready()
	e.HandleRefusal(epoch, "a", entity.Refusal{ID: "r", Seq: 2, Infeasible: true})
	expect(t, e, `directive 3 at "e"`)
	e.Ended(epoch, "r", End{Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline}})
	expect(t, e, "release to a question 2 unused=false paused=false", `directive 4 at ""`)
}

// A stream that waited in between must not teach that its engine is slow.
func TestPausedStreamTeachesNoSpeed(t *testing.T) {
	for _, paused := range []bool{false, true} {
		e := newEntry(&router{ask: []entity.InstanceID{"a"}, owner: "a"})
		e.HandleGrant(epoch, "a", grant(1))
		if paused {
			e.HandlePreemption(epoch, "a", entity.Preemption{ID: "r", Seq: 1, Pause: true})
			e.Paused(epoch, "r")
			e.HandleGrant(epoch, "a", grant(2))
		}
		e.Ready()
		e.Ended(epoch, "r", End{Release: entity.Release{TimeToFirstToken: time.Second, DecodeTime: time.Minute}})
		rel := e.Ready().Releases[0].Release
		if told := rel.DecodeTime > 0 && rel.TimeToFirstToken > 0; told == paused {
			t.Errorf("paused=%v: release %+v", paused, rel)
		}
	}
}

// TestRetriesThatAreNotAllowed: a pool's budget that is used up is told as
// such, with when to come back; what the endpoint can't take at all is not
// tried again.
func TestRetriesThatAreNotAllowed(t *testing.T) {
	for reason, want := range map[verdict.Reason]verdict.Reason{
		verdict.ReasonEndpointRefused: verdict.ReasonRetryBudget,
		verdict.ReasonBadRequest:      verdict.ReasonBadRequest,
	} {
		s := retry.DefaultSettings()
		s.DefaultShare = 0
		e := New(Settings{Self: "self", KeepFinished: 8, DispatchWithin: time.Second}, &router{ask: []entity.InstanceID{"a"}},
			retry.New(s, rand.New(rand.NewSource(1))), noClaims{})
		e.Arrive(epoch, Arrival{Work: entity.Work{ID: "r", Pool: "p", Deadline: epoch.Add(10 * time.Second)}})
		e.HandleGrant(epoch, "a", entity.Grant{ID: "r", Seq: 1, Endpoint: "e"})
		e.Ready()
		e.Ended(epoch, "r", End{Err: &verdict.Error{Verdict: verdict.NotRun, Reason: reason}})
		r := e.Ready()
		if len(r.Directives) != 1 || r.Directives[0].Kind != DirectiveFinish {
			t.Fatalf("%s: %+v", reason, r)
		}
		got := r.Directives[0].Err
		if got.Verdict != verdict.NotRun || got.Reason != want || (want == verdict.ReasonRetryBudget) != (got.RetryAfter > 0) {
			t.Errorf("%s: %+v", reason, got)
		}
	}
}

// noClaims is for requests without a key.
type noClaims struct{}

func (noClaims) MayDispatch(time.Time, entity.RequestID) bool { return true }
func (noClaims) NotSent(entity.RequestID)                     {}

// TestRefusalAfterTheDeadline: the last owner's refusal comes when the deadline
// has passed, a moment before the timer. It is the deadline that ends the
// request, also where every owner has promised.
func TestRefusalAfterTheDeadline(t *testing.T) {
	e := newEntry(&router{ask: []entity.InstanceID{"a"}, mayShed: true})
	e.Ready()
	late := epoch.Add(10*time.Second + time.Millisecond)
	e.HandleRefusal(late, "a", entity.Refusal{ID: "r", Seq: 1, FloorFor: time.Second})
	r := e.Ready()
	if len(r.Directives) != 1 || r.Directives[0].Err == nil || r.Directives[0].Err.Reason != verdict.ReasonDeadline ||
		r.Directives[0].Err.Verdict != verdict.NotRun {
		t.Fatalf("%+v", r)
	}
}
