package measure

import (
	"fmt"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/admission"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/routing"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// answerTimeout is after which an entry takes an owner for unreachable.
	answerTimeout = 200 * time.Millisecond
	// firstPatience is how long a request waits in a queue before its entry
	// looks for room elsewhere; it doubles up to maxPatience.
	firstPatience = 100 * time.Millisecond
	maxPatience   = 2 * time.Second
)

// node is one instance: an owner of endpoints, and an entry for callers.
type node struct {
	id      entity.InstanceID
	index   int
	zone    entity.ZoneID
	cluster *cluster
	owner   *admission.Owner
	router  *routing.Router
	flights map[entity.RequestID]*flight
}

// flight is one request at its entry.
type flight struct {
	r     *request
	tried []routing.Choice
	// probing and waiting name the owners with an open question, without and
	// with a place in the queue.
	probing, waiting entity.InstanceID
	patience         time.Duration
	granted          entity.InstanceID
	endpoint         entity.EndpointID
	dispatchedAt     time.Time
	paused, everHeld bool
}

func instanceID(i int) entity.InstanceID {
	return entity.InstanceID(fmt.Sprintf("instance-%02d", i))
}

// ask sends the next question for f, or sheds it.
func (n *node) ask(f *flight) {
	if f.r.over || f.granted != "" || f.probing != "" {
		return
	}
	now := n.cluster.run.c.now
	choice, ok := n.router.Next(now, &f.r.a.work, f.tried)
	if !ok {
		n.exhausted(f)
		return
	}
	f.tried = append(f.tried, choice)
	if choice.NoWait {
		f.probing = choice.Owner
	} else {
		f.waiting = choice.Owner
		f.patience = firstPatience
		n.askLater(f, f.patience)
	}
	n.reserve(f, choice)
}

func (n *node) reserve(f *flight, choice routing.Choice) {
	sentAt := n.cluster.run.c.now
	res := entity.Reservation{Work: f.r.a.work, From: n.id, NoWait: choice.NoWait}
	n.cluster.toOwner(n, choice.Owner, func(o *admission.Owner, now time.Time) { o.Reserve(now, res) })
	f.r.sentAt(choice.Owner, sentAt)
	if n.cluster.nodes[choice.Owner].dead() {
		n.cluster.run.c.after(answerTimeout, func() { n.unreachable(f, choice.Owner) })
	}
}

// exhausted deals with a request for which there is nobody left to ask.
func (n *node) exhausted(f *flight) {
	now := n.cluster.run.c.now
	if f.waiting == "" && n.router.MayShed(now, &f.r.a.work, f.tried) {
		n.shed(f)
		return
	}
	kept := f.tried[:0]
	for _, c := range f.tried {
		if c.Infeasible || (c.Owner == f.waiting && !c.NoWait) {
			kept = append(kept, c)
		}
	}
	f.tried = kept
	wait := routing.RetryInterval
	if f.waiting != "" {
		f.patience = min(2*f.patience, maxPatience)
		wait = f.patience
	}
	n.askLater(f, wait)
}

func (n *node) shed(f *flight) {
	why := verdict.ReasonDeadline
	for _, c := range f.tried {
		if !c.Infeasible {
			why = verdict.ReasonOverload
		}
	}
	f.r.infeasible = why == verdict.ReasonDeadline
	f.r.refuse(why)
	n.forget(f)
}

func (n *node) askLater(f *flight, d time.Duration) {
	n.cluster.run.c.after(d, func() {
		if !n.dead() {
			n.ask(f)
		}
	})
}

func (n *node) unreachable(f *flight, owner entity.InstanceID) {
	if f.probing != owner && f.waiting != owner {
		return
	}
	n.router.Unreachable(n.cluster.run.c.now, owner)
	n.answered(f, owner)
	n.ask(f)
}

// answered closes the question to an owner.
func (n *node) answered(f *flight, owner entity.InstanceID) {
	if f.probing == owner {
		f.probing = ""
	}
	if f.waiting == owner {
		f.waiting = ""
	}
}

func (n *node) onRefusal(from entity.InstanceID, ref entity.Refusal) {
	f := n.flights[ref.ID]
	if f == nil || f.r.over {
		return
	}
	if f.paused {
		n.preempted(f)
		return
	}
	n.router.Refused(n.cluster.run.c.now, from, &f.r.a.work, ref, f.r.sent[from])
	for i := range f.tried {
		if f.tried[i].Owner == from {
			f.tried[i].Refused = true
			f.tried[i].Infeasible = ref.Infeasible
		}
	}
	n.answered(f, from)
	n.ask(f)
}

func (n *node) onGrant(from entity.InstanceID, g entity.Grant) {
	f := n.flights[g.ID]
	if f == nil || f.r.over || (f.granted != "" && !f.paused) {
		if f == nil || f.granted != from {
			n.release(from, entity.Release{ID: g.ID, Endpoint: g.Endpoint})
		}
		return
	}
	n.router.Granted(n.cluster.run.c.now, from, &f.r.a.work, g)
	n.answered(f, from)
	for _, other := range []entity.InstanceID{f.probing, f.waiting} {
		n.cancelAt(other, g.ID)
	}
	f.probing, f.waiting = "", ""
	f.granted, f.endpoint = from, g.Endpoint
	at := n.cluster.run.endpoints[g.Endpoint]
	if f.paused {
		f.paused = false
		f.r.resumed(at)
		return
	}
	f.dispatchedAt = n.cluster.run.c.now
	f.r.dispatch(at)
}

func (n *node) cancelAt(owner entity.InstanceID, id entity.RequestID) {
	if owner == "" {
		return
	}
	n.cluster.toOwner(n, owner, func(o *admission.Owner, now time.Time) { o.Cancel(now, id) })
}

func (n *node) release(owner entity.InstanceID, rel entity.Release) {
	n.cluster.toOwner(n, owner, func(o *admission.Owner, now time.Time) { o.Release(now, rel) })
}

func (n *node) onPreempt(from entity.InstanceID, p entity.Preemption) {
	f := n.flights[p.ID]
	if f == nil || f.r.over || f.granted != from {
		return
	}
	if !p.Pause {
		n.preempted(f)
		return
	}
	if f.paused {
		return
	}
	if !f.r.at.pause(f.r) {
		// The dispatch is still on its way to the endpoint.
		n.cluster.run.c.after(netDelay, func() { n.onPreempt(from, p) })
		return
	}
	f.paused, f.everHeld = true, true
	f.r.inactive()
	rel := entity.Release{ID: p.ID, Endpoint: f.endpoint, Paused: true}
	n.router.Finished(rel)
	n.release(from, rel)
	n.resume(f)
}

// resume asks for a slot to go on with a paused stream.
func (n *node) resume(f *flight) {
	res := entity.Reservation{Work: f.r.a.work, From: n.id, Resume: f.endpoint}
	n.cluster.toOwner(n, f.granted, func(o *admission.Owner, now time.Time) { o.Reserve(now, res) })
}

// preempted gives up a request that had been dispatched.
func (n *node) preempted(f *flight) {
	f.r.refuse(verdict.ReasonPreempted)
	f.r.stop()
	n.stopped(f)
}

// stopped tells the owners that f is over without an answer.
func (n *node) stopped(f *flight) {
	id := f.r.a.work.ID
	n.cancelAt(f.probing, id)
	n.cancelAt(f.waiting, id)
	if f.granted != "" {
		rel := entity.Release{ID: id, Endpoint: f.endpoint}
		if !f.paused {
			n.router.Finished(rel)
		}
		n.release(f.granted, rel)
	}
	n.forget(f)
}

// finished tells the owner that f has its answer, and how fast it came.
func (n *node) finished(f *flight) {
	rel := entity.Release{ID: f.r.a.work.ID, Endpoint: f.endpoint}
	if !f.everHeld {
		rel.PrefillTokens = f.r.processed
		rel.GeneratedTokens = f.r.a.answer
		rel.TimeToFirstToken = f.r.firstToken.Sub(f.dispatchedAt)
		rel.DecodeTime = f.r.lastToken.Sub(f.r.firstToken)
	}
	n.router.Finished(rel)
	n.release(f.granted, rel)
	n.forget(f)
}

func (n *node) forget(f *flight) { delete(n.flights, f.r.a.work.ID) }

func (n *node) dead() bool { return n.cluster.run.dead[n.index] }
