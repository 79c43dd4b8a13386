package measure

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/admission"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	corenode "github.com/medlarhold/medlarhold/internal/core/node"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/core/retry"
	"github.com/medlarhold/medlarhold/internal/core/routing"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// unreachableTimeout is the time after which an entry learns that an owner can't be
// reached.
const unreachableTimeout = 200 * time.Millisecond

// node is one instance: an owner of endpoints and an entry for callers. Both are the
// real ones of the core; node simulates the traffic around them.
type node struct {
	id       entity.InstanceID
	index    int
	zone     entity.ZoneID
	cluster  *cluster
	owner    *admission.Owner
	router   *routing.Router
	entry    *request.Entry
	inFlight map[entity.RequestID]*inFlight
}

// inFlight is one request that has no final answer from its entry yet.
type inFlight struct {
	r            *requestState
	dispatchedAt time.Time
	// wasPaused is set once the stream has been paused. Its times then say nothing
	// about the engine's speed and are not reported.
	wasPaused bool
}

func newNode(c *cluster, i int, as admission.Settings, rs routing.Settings) *node {
	n := &node{
		id: instanceID(i), index: i, zone: c.run.d.zone(i), cluster: c,
		owner: admission.New(as), router: routing.New(rs), inFlight: make(map[entity.RequestID]*inFlight),
	}
	s := corenode.DefaultSettings(entity.Instance{ID: n.id, Zone: n.zone}).Request
	retries := retry.New(retry.DefaultSettings(), rand.New(rand.NewSource(int64(i))))
	n.entry = request.New(s, entryRouter{n.router, n}, retries, allKeysFree{})
	return n
}

func instanceID(i int) entity.InstanceID {
	return entity.InstanceID(fmt.Sprintf("instance-%02d", i))
}

// entryRouter implements request.Router from a routing.Router and the owners of the
// cluster.
type entryRouter struct {
	*routing.Router
	n *node
}

// OwnerOf implements request.Router.
func (r entryRouter) OwnerOf(e entity.EndpointID) (entity.InstanceID, bool) {
	o := r.n.cluster.ownerOf(r.n.cluster.row(e))
	return o, o != ""
}

// HasEndpoint implements request.Router. Each deployment has endpoints for all its work.
func (r entryRouter) HasEndpoint(*entity.Work) bool { return true }

// allKeysFree implements request.Claims with every key free, as claims are not measured.
type allKeysFree struct{}

// MayDispatch implements request.Claims.
func (allKeysFree) MayDispatch(time.Time, entity.RequestID) bool { return true }

// NotSent implements request.Claims.
func (allKeysFree) NotSent(entity.RequestID) {}

func (n *node) dead() bool { return n.cluster.run.dead[n.index] }

// submit passes a caller's request to the entry.
func (n *node) submit(r *requestState) {
	f := &inFlight{r: r}
	n.inFlight[r.a.work.ID] = f
	r.onComplete = func() { n.reportComplete(f) }
	n.step(func(e *request.Entry, now time.Time) { e.Arrive(now, request.Arrival{Work: r.a.work}) })
}

// step passes fn the entry, unless the instance is dead, and executes its decisions.
func (n *node) step(fn func(e *request.Entry, now time.Time)) {
	if n.dead() {
		return
	}
	now := n.cluster.run.c.now
	fn(n.entry, now)
	r := n.entry.Ready()
	for _, p := range r.Proposals {
		n.step(func(e *request.Entry, now time.Time) { e.Claimed(now, p.ID) })
	}
	for _, x := range r.Releases {
		n.cluster.toOwner(n, x.Owner, func(o *admission.Owner, now time.Time) { o.HandleRelease(now, x.Release) })
	}
	for _, x := range r.Withdrawals {
		n.cluster.toOwner(n, x.Owner, func(o *admission.Owner, now time.Time) { o.HandleWithdraw(now, x.ID, x.Seq) })
	}
	for _, x := range r.Reservations {
		n.reserve(x)
	}
	for _, d := range r.Directives {
		n.execute(d)
	}
}

// reserve sends a reservation. If the owner is dead, the entry learns after
// unreachableTimeout that it was not delivered.
func (n *node) reserve(x request.ReservationTo) {
	n.cluster.toOwner(n, x.Owner, func(o *admission.Owner, now time.Time) { o.HandleReservation(now, x.Reservation) })
	if !n.cluster.nodes[x.Owner].dead() {
		return
	}
	n.cluster.run.c.after(unreachableTimeout, func() {
		n.step(func(e *request.Entry, now time.Time) {
			e.ReservationUndelivered(now, x.Owner, x.Reservation.Work.ID, x.Reservation.Seq)
		})
	})
}

// execute executes one directive, as the HTTP side towards callers does.
func (n *node) execute(d request.Directive) {
	f := n.inFlight[d.ID]
	if f == nil {
		return
	}
	switch d.Kind {
	case request.DirectiveDispatch:
		f.dispatchedAt = n.cluster.run.c.now
		f.r.dispatch(n.cluster.run.endpoints[d.Endpoint])
	case request.DirectivePause:
		n.pause(f)
	case request.DirectiveResume:
		f.r.resume(n.cluster.run.endpoints[d.Endpoint])
	case request.DirectiveCancel:
		f.r.stop()
		n.reportEnd(f, request.End{Err: d.Err})
	case request.DirectiveFinish:
		n.finish(f, d.Err)
	}
}

// pause pauses a stream. If its dispatch has not arrived yet, pause is repeated until it
// has.
func (n *node) pause(f *inFlight) {
	if f.r.finished {
		return
	}
	if !f.r.endpoint.pause(f.r) {
		n.cluster.run.c.after(netDelay, func() { n.pause(f) })
		return
	}
	f.wasPaused = true
	f.r.deactivate()
	n.step(func(e *request.Entry, now time.Time) { e.Paused(now, f.r.a.work.ID) })
}

// reportEnd reports the end of a dispatch to the entry.
func (n *node) reportEnd(f *inFlight, end request.End) {
	n.step(func(e *request.Entry, now time.Time) { e.Ended(now, f.r.a.work.ID, end) })
}

// reportComplete reports a complete answer to the entry, with its times unless the stream
// was paused.
func (n *node) reportComplete(f *inFlight) {
	var rel entity.Release
	if !f.wasPaused {
		rel = entity.Release{
			PrefillTokens: f.r.processed, GeneratedTokens: f.r.a.answerTokens,
			TimeToFirstToken: f.r.firstToken.Sub(f.dispatchedAt), DecodeTime: f.r.lastToken.Sub(f.r.firstToken),
		}
	}
	n.reportEnd(f, request.End{Release: rel})
}

// finish processes the final answer of the entry. If the entry refuses a request because of
// its deadline before the deadline has passed, the request was infeasible.
func (n *node) finish(f *inFlight, err *verdict.Error) {
	delete(n.inFlight, f.r.a.work.ID)
	if err == nil || f.r.finished {
		return
	}
	f.r.infeasible = err.Reason == verdict.ReasonDeadline && n.cluster.run.c.now.Before(f.r.deadline)
	f.r.refuse(err.Reason)
}

// requestCancelled informs the entry that the caller has abandoned a request and that it
// was cancelled at its endpoint.
func (n *node) requestCancelled(f *inFlight) {
	id := f.r.a.work.ID
	n.step(func(e *request.Entry, now time.Time) { e.CallerGone(now, id) })
	if n.inFlight[id] != nil { // work that continues after its caller has left
		n.reportEnd(f, request.End{Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline}})
	}
}
