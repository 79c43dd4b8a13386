package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/catalog"
	"github.com/medlarhold/medlarhold/internal/core/origin"
	"github.com/medlarhold/medlarhold/internal/edge"
	"github.com/medlarhold/medlarhold/internal/telemetry"
)

// RecordOrigin implements edge.Scheduler.
func (g *Instance) RecordOrigin(r edge.SlotRequest, e *catalog.Endpoint, dispatch int) <-chan struct{} {
	record := origin.Record{Stream: origin.Stream{Pool: r.Pool, Request: r.ID}, Version: e.Version, Dispatch: dispatch}
	now := time.Now()
	notice := restartNotice + max(0, g.follower.readAge(now))
	o := g.origins
	o.mu.Lock()
	before, dispatched := o.table.Find(record.Stream)
	corrects := dispatched && before.Version != e.Version
	needed := o.table.NeedsRecord(r.Pool, e.Version) || corrects
	differs := o.table.DiffersFromBase(r.Pool, e.Version) || corrects
	o.table.Add(now, []origin.Record{record})
	at := incarnation{e.ID, e.Incarnation}
	o.recent[at] = append(dropOld(now, notice, o.recent[at]), recentStream{record, now})
	o.mu.Unlock()
	if !needed {
		return nil
	}
	u := newUnsent(record, now)
	u.corrects = corrects
	o.sends.submit(u)
	if !differs {
		return nil // without the record it can go on at no other version
	}
	return u.released
}

// restartNotice is within what time a restart of an endpoint is known to all instances that have read
// discovery just now; the others know of it by so much later as their last read is old.
const restartNotice = 4 * time.Second

// dropOld returns the streams that were sent within a time.
func dropOld(now time.Time, within time.Duration, streams []recentStream) []recentStream {
	return slices.DeleteFunc(streams, func(s recentStream) bool { return now.Sub(s.at) > within })
}

// endpointRestarted corrects the records of the streams that were lately sent to an incarnation of an
// endpoint which is known now to have been followed by one of another version. Any of them may have
// been begun by that one.
func (o *origins) endpointRestarted(now time.Time, old incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.recent[old] {
		r := s.record
		r.Version, r.Dispatch = "", r.Dispatch+uncertainDispatch
		o.table.Add(now, []origin.Record{r})
		u := newUnsent(r, now)
		u.corrects = true
		o.sends.submit(u)
	}
	delete(o.recent, old)
}

// uncertainDispatch is added to the dispatch of a record that is taken back: it is more than a
// request has.
const uncertainDispatch = 1 << 16

// send has records appended to the store. Those that the store does not take at once are told to the
// keepers of two zones, which find them until they are in the store, and sent again. Streams that don't
// need the store may begin once the keepers were told.
func (o *origins) send(ctx context.Context, items []*unsent) error {
	for len(items) > 0 {
		n := messageSize(items)
		o.sendSome(ctx, items[:n])
		items = items[n:]
	}
	return nil
}

// messageSize returns how many of the items fit into one message.
func messageSize(items []*unsent) int {
	records := make([]origin.Record, 0, len(items))
	for _, u := range items {
		records = append(records, u.Record)
	}
	return len(groupRecords(records, maxMessageBytes)[0])
}

// sendSome is send for as many records as fit into a message.
func (o *origins) sendSome(ctx context.Context, items []*unsent) {
	records := make([]origin.Record, 0, len(items))
	for _, u := range items {
		records = append(records, u.Record)
	}
	durable := o.record(ctx, records, func() bool { return o.releaseTold(items) })
	if durable {
		for _, u := range items {
			u.stored.Store(true)
			u.release()
		}
		return
	}
	telemetry.Log(o.g.log, telemetry.EventOriginsNotRecorded, "records", len(records), "oldest_ms", time.Since(items[0].since).Milliseconds())
	for _, u := range items {
		if time.Since(u.since) < origin.Retention {
			o.sends.submit(u)
			continue
		}
		u.stored.Store(true) // it is no longer needed
	}
	pause(ctx, originRetryInterval)
}

// releaseTold releases the streams whose records keepers were told of and that don't need the store. It
// reports whether that were all.
func (o *origins) releaseTold(items []*unsent) (all bool) {
	all = true
	for _, u := range items {
		if o.needsStore(u) {
			all = false
			continue
		}
		u.release()
	}
	return all
}

// needsStore reports whether a stream may begin only once the store has its record. If all instances were
// killed before, it could go on at the base, whose endpoints may be away only for now, or at the version of the
// record that its own corrects.
func (o *origins) needsStore(u *unsent) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	fresh := o.basesAsOf > 0 && bootTime()-o.basesAsOf <= origin.StatementLifetime
	return u.corrects || o.table.NeedsLog(u.Pool, u.Version, fresh)
}

// toldKeepers is the number of keepers that are told of records that are not in the store.
const toldKeepers = 2

// record has records appended by a keeper, or by this instance if it reaches none. It reports
// whether they are in the store and two instances hold them. It calls told once enough keepers know of them, and
// asks no others if that suffices for all.
func (o *origins) record(ctx context.Context, records []origin.Record, told func() (all bool)) (durable bool) {
	keepers, _ := o.present()
	answers, others := 0, 0
	for _, k := range keepers {
		own := k.id == o.g.self.ID
		var copied <-chan struct{}
		if own && others == 0 {
			copied = o.copyElsewhere(ctx, keepers, records)
		}
		answer, err := o.recordAt(ctx, k, records)
		if copied != nil {
			<-copied
		}
		if err != nil {
			continue
		}
		o.addBases(answer.Bases, answer.Era)
		if answer.Durable {
			return true
		}
		if !own {
			others++
		}
		if answers++; answers == min(toldKeepers, len(keepers)) && told() {
			return false
		}
	}
	if answers > 0 {
		return false
	}
	answer, err := o.answerRecord(ctx, records)
	return err == nil && answer.Durable
}

// copyElsewhere has another keeper hold records that this instance appends. The returned channel is closed once
// one does, or none does within exchangeTimeout.
func (o *origins) copyElsewhere(ctx context.Context, keepers []originKeeper, records []origin.Record) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		for _, k := range keepers {
			if k.id == o.g.self.ID {
				continue
			}
			var answer originsRecorded
			if o.g.transport.Call(ctx, k.id, k.address, queryHoldOrigins, records, &answer) == nil {
				o.addBases(answer.Bases, answer.Era)
				return
			}
		}
	}()
	return done
}

// recordAt has records appended by one keeper.
func (o *origins) recordAt(ctx context.Context, k originKeeper, records []origin.Record) (answer originsRecorded, err error) {
	if k.id == o.g.self.ID {
		return o.answerRecord(ctx, records)
	}
	err = o.g.transport.Call(ctx, k.id, k.address, queryRecordOrigins, records, &answer)
	return answer, err
}

// answerRecord appends records for another instance.
func (o *origins) answerRecord(ctx context.Context, records []origin.Record) (originsRecorded, error) {
	ctx, cancel := context.WithTimeout(ctx, keeperWait)
	defer cancel()
	err := o.log.record(ctx, records)
	_, bases := o.log.find(nil)
	return originsRecorded{Durable: err == nil, Bases: bases, Era: o.log.era()}, nil
}

// answerHold holds records for another instance that appends them.
func (o *origins) answerHold(_ context.Context, records []origin.Record) (originsRecorded, error) {
	o.log.hold(records)
	_, bases := o.log.find(nil)
	return originsRecorded{Bases: bases, Era: o.log.era()}, nil
}
