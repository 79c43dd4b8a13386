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
	// AckTimeout is how long a broker may take to say that it has a question:
	// some round trips within a zone.
	AckTimeout = 80 * time.Millisecond
	// UnresponsiveFor is how long a silent broker is not asked.
	UnresponsiveFor = 500 * time.Millisecond
	// PollInterval is the time between two messages to a broker where requests
	// wait, so that its silence is noticed.
	PollInterval = 100 * time.Millisecond
)

// LocalBroker names the instance's own broker for when no other answers.
const LocalBroker entity.InstanceID = ""

// Request is what a request asks for.
type Request struct {
	ID                         entity.RequestID
	Pool                       entity.PoolID
	Rank                       int
	PromptTokens, AnswerTokens int
	// Target is when the answer begins to be late, Deadline when it is of no use
	// to begin it.
	Target, Deadline time.Time
	// End is when the whole answer must have come, zero if that isn't known.
	End     time.Time
	IsRetry bool
	Avoid   []entity.EndpointID
}

// Decision is the final word on a request: an endpoint, or why not.
type Decision struct {
	ID entity.RequestID
	// Endpoint is where the request may be sent; empty if it is denied.
	Endpoint entity.EndpointID
	// Broker is the broker that decided, Number the question.
	Broker entity.InstanceID
	Seq    uint32
	Deny   broker.Deny
}

// Poll asks a broker for a sign of life.
type Poll struct{}

// waiting is a question without a decision.
type waiting struct {
	request Request
	broker  entity.InstanceID
	number  uint32
	askedAt time.Time
	queued  bool // the broker has said that it has the question
	// stay has the question not passed on to another zone again.
	stay bool
}

// ZonePool is the engines of one pool in one zone, which have a broker of their own.
type ZonePool struct {
	Pool entity.PoolID
	Zone entity.ZoneID
}

func (s ZonePool) compare(t ZonePool) int {
	return cmp.Or(cmp.Compare(s.Pool, t.Pool), cmp.Compare(s.Zone, t.Zone))
}

// Entry keeps the requests of one instance.
type Entry struct {
	self    entity.InstanceID
	zone    entity.ZoneID
	numbers uint32
	brokers map[ZonePool]entity.InstanceID
	// silentUntil is when a broker that did not answer is asked again.
	silentUntil map[entity.InstanceID]time.Time
	// told says which broker of a pool knows what runs here.
	told      map[entity.PoolID]entity.InstanceID
	waiting   map[entity.RequestID]*waiting
	running   map[entity.RequestID]*running
	nextPoll  time.Time
	messages  []entity.Outgoing
	decisions []Decision
	silenced  []entity.InstanceID
}

// New returns the Entry of an instance of a zone, which knows no brokers.
func New(self entity.InstanceID, zone entity.ZoneID) *Entry {
	return &Entry{
		self: self, zone: zone, brokers: make(map[ZonePool]entity.InstanceID), silentUntil: make(map[entity.InstanceID]time.Time),
		told: make(map[entity.PoolID]entity.InstanceID), waiting: make(map[entity.RequestID]*waiting), running: make(map[entity.RequestID]*running),
	}
}

// Ready returns the messages and decisions since the last call, in order.
func (e *Entry) Ready() ([]entity.Outgoing, []Decision) {
	m, d := e.messages, e.decisions
	e.messages, e.decisions = nil, nil
	return m, d
}

// NewlyUnresponsive returns the brokers that have been found silent since the last call.
func (e *Entry) NewlyUnresponsive() []entity.InstanceID {
	s := e.silenced
	e.silenced = nil
	return s
}

// broker returns the broker of a pool in the own zone.
func (e *Entry) broker(pool entity.PoolID) (entity.InstanceID, bool) {
	b, ok := e.brokers[ZonePool{Pool: pool, Zone: e.zone}]
	return b, ok
}

// SetBrokers names the brokers of all zones. What waits at another one of the
// own zone is asked anew, and new ones are told what runs on their engines.
func (e *Entry) SetBrokers(now time.Time, brokers map[ZonePool]entity.InstanceID) {
	e.brokers = brokers
	e.tellSuccessors(now)
	for _, id := range e.sortedWaiting() {
		w := e.waiting[id]
		if w.broker != LocalBroker && !e.inCharge(w) {
			e.withdraw(w)
			e.ask(now, w)
		}
	}
}

// inCharge says that a question waits where it should, or was passed on there.
func (e *Entry) inCharge(w *waiting) bool {
	b, _ := e.broker(w.request.Pool)
	return w.broker == b || w.queued || w.stay
}

// RequestSlot asks for a slot.
func (e *Entry) RequestSlot(now time.Time, r Request) {
	w := &waiting{request: r}
	e.waiting[r.ID] = w
	e.ask(now, w)
}

// ask sends the question to the broker in charge, or to the own one.
func (e *Entry) ask(now time.Time, w *waiting) {
	b, ok := e.broker(w.request.Pool)
	if !ok || now.Before(e.silentUntil[b]) {
		b = LocalBroker
	}
	e.numbers++
	w.broker, w.number, w.askedAt, w.queued = b, e.numbers, now, false
	e.tell(now, w.request.Pool, b)
	r := w.request
	a := broker.SlotRequest{
		ID: r.ID, From: e.self, Seq: w.number, Pool: r.Pool, Rank: r.Rank, PromptTokens: r.PromptTokens, AnswerTokens: r.AnswerTokens,
		TargetIn: r.Target.Sub(now), DeadlineIn: r.Deadline.Sub(now), IsRetry: r.IsRetry, Avoid: r.Avoid, NoForward: w.stay,
	}
	if !r.End.IsZero() {
		a.EndIn = r.End.Sub(now)
	}
	e.send(b, a)
}

// HandleQueued takes in that a broker has a question. One of another zone may say so
// that it was passed on to.
func (e *Entry) HandleQueued(from entity.InstanceID, q broker.Queued) {
	if w := e.waiting[q.ID]; w != nil && w.number == q.Seq {
		w.broker, w.queued = from, true
	}
}

// HandleForwarded takes in that the broker that had the question gave it to another
// one, whose answer is now waited for.
func (e *Entry) HandleForwarded(now time.Time, from entity.InstanceID, p broker.Forwarded) {
	w := e.waiting[p.ID]
	if w == nil || w.number != p.Seq || w.broker != from {
		return
	}
	own, _ := e.broker(w.request.Pool)
	w.broker, w.askedAt, w.queued = p.To, now, false
	w.stay = w.stay || p.To != own
}

// HandleGrant takes in a grant.
func (e *Entry) HandleGrant(now time.Time, from entity.InstanceID, g broker.Grant) {
	w := e.waiting[g.ID]
	if w == nil || w.number != g.Seq {
		e.send(from, broker.Withdraw{ID: g.ID, Seq: g.Seq})
		return
	}
	delete(e.waiting, g.ID)
	r := &running{request: w.request, number: g.Seq, holders: []entity.InstanceID{from}, endpoint: g.Endpoint, zone: g.Zone}
	e.running[g.ID] = r
	e.decisions = append(e.decisions, Decision{ID: g.ID, Endpoint: g.Endpoint, Broker: from, Seq: g.Seq})
	if from == LocalBroker {
		e.tellOne(now, r)
	}
}

// HandleDeny takes in a refusal.
func (e *Entry) HandleDeny(from entity.InstanceID, d broker.Deny) {
	w := e.waiting[d.ID]
	if w == nil || w.number != d.Seq {
		return
	}
	delete(e.waiting, d.ID)
	e.decisions = append(e.decisions, Decision{ID: d.ID, Broker: from, Seq: d.Seq, Deny: d})
}

// Withdraw ends a request that has no decision yet, or whose decision nobody
// took: a grant is given back.
func (e *Entry) Withdraw(id entity.RequestID) {
	if w := e.waiting[id]; w != nil {
		e.withdraw(w)
		delete(e.waiting, id)
	}
	if r := e.running[id]; r != nil {
		delete(e.running, id)
		for _, b := range r.holders {
			e.send(b, broker.Withdraw{ID: id, Seq: r.number})
		}
	}
}

func (e *Entry) withdraw(w *waiting) {
	e.send(w.broker, broker.Withdraw{ID: w.request.ID, Seq: w.number})
}

// PeerFailed takes in that a message did not reach an instance.
func (e *Entry) PeerFailed(now time.Time, id entity.InstanceID) { e.silence(now, id) }

// silence goes on without a broker for a while.
func (e *Entry) silence(now time.Time, b entity.InstanceID) {
	if b == LocalBroker {
		return
	}
	if !e.Unresponsive(now, b) {
		e.silenced = append(e.silenced, b)
	}
	e.silentUntil[b] = now.Add(UnresponsiveFor)
	for pool, told := range e.told {
		if told == b {
			delete(e.told, pool)
		}
	}
	for _, r := range e.running {
		r.holders = slices.DeleteFunc(r.holders, func(h entity.InstanceID) bool { return h == b })
	}
	for _, id := range e.sortedWaiting() {
		if w := e.waiting[id]; w.broker == b {
			e.withdraw(w)
			e.ask(now, w)
		}
	}
}

// Tick lets time pass.
func (e *Entry) Tick(now time.Time) {
	poll := make(map[entity.InstanceID]bool)
	for _, id := range e.sortedWaiting() {
		w := e.waiting[id]
		switch {
		case w == nil || w.broker == LocalBroker:
		case !w.queued && now.Sub(w.askedAt) >= AckTimeout:
			e.silence(now, w.broker)
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

// Unresponsive says whether a broker is passed over at the moment.
func (e *Entry) Unresponsive(now time.Time, b entity.InstanceID) bool {
	return now.Before(e.silentUntil[b])
}

func (e *Entry) sortedWaiting() []entity.RequestID { return slices.Sorted(maps.Keys(e.waiting)) }

func (e *Entry) send(to entity.InstanceID, msg any) {
	e.messages = append(e.messages, entity.Outgoing{Instance: to, Message: msg})
}
