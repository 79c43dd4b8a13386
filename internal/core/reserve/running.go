package reserve

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/broker"
	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// running is a request with a granted slot.
type running struct {
	request Request
	seq     uint32
	// countedBy lists the brokers that count the request: the one that granted it and those that
	// got a report of it.
	countedBy []entity.InstanceID
	endpoint  entity.EndpointID
	zone      entity.ZoneID
	started   bool
}

// reportRunning reports the running requests of a pool, and the appointments, to the broker that gets
// its next slot request, unless they were last reported to this broker.
func (e *Entry) reportRunning(now time.Time, pool entity.PoolID, b entity.InstanceID) {
	if reported, ok := e.reportedTo[pool]; ok && reported == b {
		return
	}
	e.reportedTo[pool] = b
	report := broker.RunningReport{Pool: pool, Appointments: e.appointmentsOf(now, pool)}
	for _, id := range slices.Sorted(maps.Keys(e.running)) {
		r := e.running[id]
		if r.request.Pool != pool || slices.Contains(r.countedBy, b) {
			continue
		}
		report.Requests = append(report.Requests, r.reportTo(now, b))
	}
	if len(report.Requests) > 0 || len(report.Appointments) > 0 {
		e.send(b, report)
	}
}

// reportToNewBrokers reports running requests to the brokers of their engines that don't count them
// yet.
func (e *Entry) reportToNewBrokers(now time.Time) {
	reports := make(map[ZonePool][]broker.RunningRequest)
	for _, id := range slices.Sorted(maps.Keys(e.running)) {
		r := e.running[id]
		zonePool := ZonePool{Pool: r.request.Pool, Zone: r.zone}
		b, ok := e.brokers[zonePool]
		if !ok || slices.Contains(r.countedBy, b) || e.Unresponsive(now, b) {
			continue
		}
		reports[zonePool] = append(reports[zonePool], r.reportTo(now, b))
	}
	for _, zonePool := range slices.SortedFunc(maps.Keys(reports), ZonePool.compare) {
		e.send(e.brokers[zonePool], broker.RunningReport{Pool: zonePool.Pool, Requests: reports[zonePool]})
	}
}

// reportTo adds a broker to those that count the request, and returns its item of the report.
func (r *running) reportTo(now time.Time, b entity.InstanceID) broker.RunningRequest {
	r.countedBy = append(r.countedBy, b)
	return broker.RunningRequest{
		ID: r.request.ID, Seq: r.seq, Endpoint: r.endpoint, PromptTokens: r.request.PromptTokens,
		AnswerTokens: r.request.AnswerTokens, DeadlineIn: r.request.Deadline.Sub(now), Started: r.started,
	}
}

// reportRun reports to the pool's broker a request that runs without its grant.
func (e *Entry) reportRun(now time.Time, r *running) {
	b, ok := e.broker(r.request.Pool)
	if !ok || now.Before(e.unresponsiveUntil[b]) {
		return // it gets a full report with the next slot request
	}
	e.send(b, broker.RunningReport{Pool: r.request.Pool, Requests: []broker.RunningRequest{r.reportTo(now, b)}})
}

// HandleAudit answers a broker that asks about granted slots. Slots that are not in use are
// withdrawn; for the others, the broker will receive the end of the request.
func (e *Entry) HandleAudit(from entity.InstanceID, a broker.Audit) {
	for _, asked := range a.Runs {
		r, w := e.running[asked.ID], e.waiting[asked.ID]
		switch {
		case r != nil && r.seq == asked.Seq:
			if !slices.Contains(r.countedBy, from) {
				r.countedBy = append(r.countedBy, from)
			}
		case w != nil && w.seq == asked.Seq: // the grant is on its way
		default:
			e.send(from, broker.Withdraw(asked))
		}
	}
}

// Started reports to the brokers that an answer has begun.
func (e *Entry) Started(s broker.Started) {
	r := e.running[s.ID]
	if r == nil {
		return
	}
	r.started = true
	for _, b := range r.countedBy {
		e.send(b, s)
	}
}

// Done reports the end of a dispatch to the brokers.
func (e *Entry) Done(d broker.Done) {
	r := e.running[d.ID]
	if r == nil {
		return
	}
	delete(e.running, d.ID)
	d.Seq = r.seq
	for _, b := range r.countedBy {
		e.send(b, d)
	}
}
