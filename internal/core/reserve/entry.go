package reserve

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

const (
	// AckTimeout is how long a broker may take to acknowledge a slot request: several round trips
	// within a zone.
	AckTimeout = 80 * time.Millisecond
	// UnresponsiveFor is how long an unresponsive broker gets no slot requests.
	UnresponsiveFor = 500 * time.Millisecond
	// PollInterval is the time between two messages to a broker at which requests wait, so that its
	// failure is noticed.
	PollInterval = 100 * time.Millisecond
)

// LocalBroker is the id of the instance's own broker, which is used when no other responds.
const LocalBroker entity.InstanceID = ""

// Request describes a request that needs a slot.
type Request struct {
	ID   entity.RequestID
	Pool entity.PoolID
	Org  entity.OrgID
	// Weight and Key have the meaning that they have in broker.SlotRequest.
	Weight                     float64
	Key                        uint64
	Rank                       int
	PromptTokens, AnswerTokens int
	// Target is when the answer begins to be late, Deadline the time after which it may no longer
	// begin.
	Target, Deadline time.Time
	// End is when the complete answer must have arrived, zero if unknown.
	End time.Time
	// IsRetry and Avoid have the meaning that they have in broker.SlotRequest.
	IsRetry bool
	Avoid   []entity.EndpointID
	// Version, Only, Not and Spread have the meaning that they have in broker.SlotRequest.
	Version string
	Only    string
	Not     []string
	Spread  float64
}

// Decision is the outcome of a request for a slot: an endpoint or a refusal.
type Decision struct {
	ID entity.RequestID
	// Endpoint is where the request may be sent; empty if it is refused.
	Endpoint entity.EndpointID
	// Broker is the broker that decided, Seq the slot request that it answered.
	Broker entity.InstanceID
	Seq    uint32
	// Deny is the refusal if Endpoint is empty.
	Deny broker.Deny
}

// Poll asks a broker for an acknowledgement, to check that it is responsive.
type Poll struct{}

// waiting is a slot request without a decision.
type waiting struct {
	request Request
	broker  entity.InstanceID
	seq     uint32
	sentAt  time.Time
	queued  bool // the broker has acknowledged the slot request
	// noForward is set if the slot request must not be forwarded to another zone again.
	noForward bool
}

// ZonePool identifies the engines of one pool in one zone, which have a broker of their own.
type ZonePool struct {
	Pool entity.PoolID
	Zone entity.ZoneID
}

func (p ZonePool) compare(q ZonePool) int {
	return cmp.Or(cmp.Compare(p.Pool, q.Pool), cmp.Compare(p.Zone, q.Zone))
}

// Entry holds the requests of one instance that wait for a slot or occupy one.
type Entry struct {
	self    entity.InstanceID
	zone    entity.ZoneID
	lastSeq uint32
	brokers map[ZonePool]entity.InstanceID
	// unresponsiveUntil is the time until which an unresponsive broker gets no slot requests.
	unresponsiveUntil map[entity.InstanceID]time.Time
	// reportedTo is the broker of each pool to which the running requests were last reported.
	reportedTo map[entity.PoolID]entity.InstanceID
	waiting    map[entity.RequestID]*waiting
	running    map[entity.RequestID]*running
	// appointments holds those of refused callers, the latest last.
	appointments map[entity.PoolID][]appointment
	nextPoll     time.Time
	// endsAt is when this instance ends, zero if it does not stop.
	endsAt            time.Time
	messages          []entity.Outgoing
	decisions         []Decision
	newlyUnresponsive []entity.InstanceID
}

// New returns the Entry of an instance in a zone, without brokers.
func New(self entity.InstanceID, zone entity.ZoneID) *Entry {
	return &Entry{
		self: self, zone: zone, brokers: make(map[ZonePool]entity.InstanceID), unresponsiveUntil: make(map[entity.InstanceID]time.Time),
		reportedTo: make(map[entity.PoolID]entity.InstanceID), waiting: make(map[entity.RequestID]*waiting),
		running: make(map[entity.RequestID]*running), appointments: make(map[entity.PoolID][]appointment),
	}
}

// Ready returns the messages and decisions since the last call, in order.
func (e *Entry) Ready() ([]entity.Outgoing, []Decision) {
	m, d := e.messages, e.decisions
	e.messages, e.decisions = nil, nil
	return m, d
}

// NewlyUnresponsive returns the brokers that were found unresponsive since the last call.
func (e *Entry) NewlyUnresponsive() []entity.InstanceID {
	s := e.newlyUnresponsive
	e.newlyUnresponsive = nil
	return s
}

// broker returns the broker of a pool in the local zone.
func (e *Entry) broker(pool entity.PoolID) (entity.InstanceID, bool) {
	b, ok := e.brokers[ZonePool{Pool: pool, Zone: e.zone}]
	return b, ok
}

// SetBrokers sets the brokers of all zones. Slot requests that have not been acknowledged are sent
// again if the pool's broker in the local zone has changed, and new brokers get a report of the
// requests that run on their engines.
func (e *Entry) SetBrokers(now time.Time, brokers map[ZonePool]entity.InstanceID) {
	e.brokers = brokers
	e.reportToNewBrokers(now)
	for _, id := range e.sortedWaiting() {
		w := e.waiting[id]
		if w.broker != LocalBroker && !e.staysAtBroker(w) {
			e.withdraw(w)
			e.sendSlotRequest(now, w)
		}
	}
}

// staysAtBroker reports whether a slot request stays where it is: at the pool's broker, at one that
// has acknowledged it and hands it over itself, or at one of another zone.
func (e *Entry) staysAtBroker(w *waiting) bool {
	b, _ := e.broker(w.request.Pool)
	return w.broker == b || w.queued || w.noForward
}

// RequestSlot requests a slot from the pool's broker. The Decision follows from Ready.
func (e *Entry) RequestSlot(now time.Time, r Request) {
	w := &waiting{request: r}
	e.waiting[r.ID] = w
	e.sendSlotRequest(now, w)
}

// sendSlotRequest sends a slot request to the pool's broker, or to the local broker if that one is
// unknown or unresponsive.
func (e *Entry) sendSlotRequest(now time.Time, w *waiting) {
	b, ok := e.broker(w.request.Pool)
	if !ok || now.Before(e.unresponsiveUntil[b]) {
		b = LocalBroker
	}
	e.sendSlotRequestTo(now, w, b)
}

// sendSlotRequestTo sends a slot request to a broker. It replaces the one that was sent before.
func (e *Entry) sendSlotRequestTo(now time.Time, w *waiting, b entity.InstanceID) {
	e.lastSeq++
	w.broker, w.seq, w.sentAt, w.queued = b, e.lastSeq, now, false
	e.reportRunning(now, w.request.Pool, b)
	r := w.request
	req := broker.SlotRequest{
		ID: r.ID, From: e.self, Seq: w.seq, Pool: r.Pool, Org: r.Org, Weight: r.Weight, Key: r.Key, Rank: r.Rank, PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens,
		TargetIn: r.Target.Sub(now), DeadlineIn: r.Deadline.Sub(now), IsRetry: r.IsRetry,
		Avoid: r.Avoid, NoForward: w.noForward, Version: r.Version,
		Only: r.Only, Not: r.Not, Spread: r.Spread,
	}
	if !r.End.IsZero() {
		req.EndIn = r.End.Sub(now)
	}
	if !e.endsAt.IsZero() {
		req.EntryEndsIn = max(time.Nanosecond, e.endsAt.Sub(now))
	}
	e.send(b, req)
}

// HandleQueued processes the acknowledgement of a slot request. It may come from a broker of
// another zone, to which the slot request was forwarded.
func (e *Entry) HandleQueued(from entity.InstanceID, q broker.Queued) {
	if w := e.waiting[q.ID]; w != nil && w.seq == q.Seq {
		w.broker, w.queued = from, true
	}
}

// HandleForwarded processes the notification that a slot request was forwarded. The entry then
// waits for the answer of the new broker.
func (e *Entry) HandleForwarded(now time.Time, from entity.InstanceID, f broker.Forwarded) {
	w := e.waiting[f.ID]
	if w == nil || w.seq != f.Seq || w.broker != from {
		return
	}
	current, _ := e.broker(w.request.Pool)
	w.broker, w.sentAt, w.queued = f.To, now, false
	w.noForward = w.noForward || f.To != current
}

// HandleGrant processes a grant. A grant for an outdated slot request is withdrawn.
func (e *Entry) HandleGrant(now time.Time, from entity.InstanceID, g broker.Grant) {
	w := e.waiting[g.ID]
	if w == nil || w.seq != g.Seq {
		e.send(from, broker.Withdraw{ID: g.ID, Seq: g.Seq})
		return
	}
	delete(e.waiting, g.ID)
	r := &running{request: w.request, seq: g.Seq, countedBy: []entity.InstanceID{from}, endpoint: g.Endpoint, zone: g.Zone}
	e.running[g.ID] = r
	e.decisions = append(e.decisions, Decision{ID: g.ID, Endpoint: g.Endpoint, Broker: from, Seq: g.Seq})
	if from == LocalBroker {
		e.reportRun(now, r)
	}
}

// HandleDeny processes a refusal.
func (e *Entry) HandleDeny(now time.Time, from entity.InstanceID, d broker.Deny) {
	w := e.waiting[d.ID]
	if w == nil || w.seq != d.Seq {
		return
	}
	delete(e.waiting, d.ID)
	e.recordAppointment(now, &w.request, d)
	e.decisions = append(e.decisions, Decision{ID: d.ID, Broker: from, Seq: d.Seq, Deny: d})
}

// Withdraw cancels a request that has no decision yet, or releases its slot if the decision was not
// used.
func (e *Entry) Withdraw(id entity.RequestID) {
	if w := e.waiting[id]; w != nil {
		e.withdraw(w)
		delete(e.waiting, id)
	}
	if r := e.running[id]; r != nil {
		delete(e.running, id)
		for _, b := range r.countedBy {
			e.send(b, broker.Withdraw{ID: id, Seq: r.seq})
		}
	}
}

func (e *Entry) withdraw(w *waiting) {
	e.send(w.broker, broker.Withdraw{ID: w.request.ID, Seq: w.seq})
}

// PeerFailed records that a message to an instance may not have been delivered: if it
// is a broker, it counts as unresponsive.
func (e *Entry) PeerFailed(now time.Time, id entity.InstanceID) { e.markUnresponsive(now, id) }

// markUnresponsive excludes a broker for UnresponsiveFor. Its slot requests are withdrawn and
// sent to another broker, and it gets a new running report when it is used again.
func (e *Entry) markUnresponsive(now time.Time, b entity.InstanceID) {
	if b == LocalBroker {
		return
	}
	if !e.Unresponsive(now, b) {
		e.newlyUnresponsive = append(e.newlyUnresponsive, b)
	}
	e.unresponsiveUntil[b] = now.Add(UnresponsiveFor)
	for pool, reported := range e.reportedTo {
		if reported == b {
			delete(e.reportedTo, pool)
		}
	}
	for _, r := range e.running {
		r.countedBy = slices.DeleteFunc(r.countedBy, func(counting entity.InstanceID) bool { return counting == b })
	}
	for _, id := range e.sortedWaiting() {
		if w := e.waiting[id]; w.broker == b {
			e.withdraw(w)
			e.sendSlotRequest(now, w)
		}
	}
}

// Tick advances time to now: it marks brokers as unresponsive that have not acknowledged a slot
// request within AckTimeout, and polls the others at which requests wait.
func (e *Entry) Tick(now time.Time) {
	poll := make(map[entity.InstanceID]bool)
	for _, id := range e.sortedWaiting() {
		w := e.waiting[id]
		switch {
		case w == nil || w.broker == LocalBroker:
		case !w.queued && now.Sub(w.sentAt) >= AckTimeout:
			e.markUnresponsive(now, w.broker)
		case w.queued:
			poll[w.broker] = true
		}
	}
	if now.Before(e.nextPoll) {
		return
	}
	e.nextPoll = now.Add(PollInterval)
	for _, b := range slices.Sorted(maps.Keys(poll)) {
		e.send(b, Poll{})
	}
}

// Unresponsive reports whether a broker is excluded at the moment.
func (e *Entry) Unresponsive(now time.Time, b entity.InstanceID) bool {
	return now.Before(e.unresponsiveUntil[b])
}

func (e *Entry) sortedWaiting() []entity.RequestID { return slices.Sorted(maps.Keys(e.waiting)) }

func (e *Entry) send(to entity.InstanceID, msg any) {
	e.messages = append(e.messages, entity.Outgoing{Instance: to, Message: msg})
}
