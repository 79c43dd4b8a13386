package reserve

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// running is a granted request.
type running struct {
	request Request
	number  uint32
	// holders are the brokers that count it.
	holders  []entity.InstanceID
	endpoint entity.EndpointID
	zone     entity.ZoneID
	started  bool
}

// tell tells a broker, when it is asked for the first time, what runs here.
func (e *Entry) tell(now time.Time, pool entity.PoolID, b entity.InstanceID) {
	if told, ok := e.told[pool]; ok && told == b {
		return
	}
	e.told[pool] = b
	h := broker.RunningReport{Pool: pool}
	for _, id := range slices.Sorted(maps.Keys(e.running)) {
		r := e.running[id]
		if r.request.Pool != pool || slices.Contains(r.holders, b) {
			continue
		}
		h.Requests = append(h.Requests, r.heldBy(now, b))
	}
	if len(h.Requests) > 0 {
		e.send(b, h)
	}
}

// tellSuccessors tells brokers that are new in charge what runs on their engines.
func (e *Entry) tellSuccessors(now time.Time) {
	news := make(map[ZonePool][]broker.RunningRequest)
	for _, id := range slices.Sorted(maps.Keys(e.running)) {
		r := e.running[id]
		site := ZonePool{Pool: r.request.Pool, Zone: r.zone}
		b, ok := e.brokers[site]
		if !ok || slices.Contains(r.holders, b) || e.Unresponsive(now, b) {
			continue
		}
		news[site] = append(news[site], r.heldBy(now, b))
	}
	for _, site := range slices.SortedFunc(maps.Keys(news), ZonePool.compare) {
		e.send(e.brokers[site], broker.RunningReport{Pool: site.Pool, Requests: news[site]})
	}
}

// heldBy notes that a broker counts the run, and returns what it is told of it.
func (r *running) heldBy(now time.Time, b entity.InstanceID) broker.RunningRequest {
	r.holders = append(r.holders, b)
	return broker.RunningRequest{
		ID: r.request.ID, Seq: r.number, Endpoint: r.endpoint, PromptTokens: r.request.PromptTokens,
		AnswerTokens: r.request.AnswerTokens, DeadlineIn: r.request.Deadline.Sub(now), Started: r.started,
	}
}

// tellOne tells the broker in charge of a request that runs without its grant.
func (e *Entry) tellOne(now time.Time, r *running) {
	b, ok := e.broker(r.request.Pool)
	if !ok || now.Before(e.silentUntil[b]) {
		return // it hears of all when it is asked again
	}
	e.send(b, broker.RunningReport{Pool: r.request.Pool, Requests: []broker.RunningRequest{r.heldBy(now, b)}})
}

// HandleAudit answers a broker that asks about slots: those that are not used are
// given back, and the broker will hear the end of the others.
func (e *Entry) HandleAudit(from entity.InstanceID, a broker.Audit) {
	for _, asked := range a.Runs {
		r, w := e.running[asked.ID], e.waiting[asked.ID]
		switch {
		case r != nil && r.number == asked.Seq:
			if !slices.Contains(r.holders, from) {
				r.holders = append(r.holders, from)
			}
		case w != nil && w.number == asked.Seq: // the grant is under way
		default:
			e.send(from, broker.Withdraw(asked))
		}
	}
}

// Started tells the brokers that an answer has begun.
func (e *Entry) Started(id entity.RequestID, after time.Duration) {
	r := e.running[id]
	if r == nil {
		return
	}
	r.started = true
	for _, b := range r.holders {
		e.send(b, broker.Started{ID: id, After: after})
	}
}

// Done tells the brokers that a dispatch is over.
func (e *Entry) Done(d broker.Done) {
	r := e.running[d.ID]
	if r == nil {
		return
	}
	delete(e.running, d.ID)
	d.Seq = r.number
	for _, b := range r.holders {
		e.send(b, d)
	}
}
