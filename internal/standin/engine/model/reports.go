package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// reports keeps the load over the time that reports lag behind.
type reports struct {
	history []endpoint.Load
}

// record adds what holds from now on and forgets what no report can need.
func (r *reports) record(l endpoint.Load, lag time.Duration) {
	if n := len(r.history); n > 0 && r.history[n-1].AsOf.Equal(l.AsOf) {
		r.history[n-1] = l
	} else {
		r.history = append(r.history, l)
	}
	old := 0
	for old+1 < len(r.history) && !r.history[old+1].AsOf.After(l.AsOf.Add(-lag)) {
		old++
	}
	r.history = r.history[old:]
}

// at returns the load that held at a time.
func (r *reports) at(t time.Time) endpoint.Load {
	var l endpoint.Load
	for _, next := range r.history {
		if next.AsOf.After(t) {
			break
		}
		l = next
	}
	l.AsOf = t
	return l
}

// maxCacheEvents bounds the events that are kept.
const maxCacheEvents = 4096

// eventLog keeps cache events until they are asked for.
type eventLog struct {
	delay  time.Duration
	loss   float64
	random *rand.Rand
	list   []cacheEvent
	seq    uint64
}

type cacheEvent struct {
	visible time.Time
	lost    bool
	event   endpoint.CacheEvent
}

func newEventLog(s Settings) eventLog {
	return eventLog{delay: s.CacheEventDelay, loss: s.CacheEventLoss, random: rand.New(rand.NewPCG(s.Seed, 1))}
}

// stored writes an event for blocks of one prompt, if any; first is the place
// of the first of them.
func (l *eventLog) stored(now time.Time, first int, hashes []entity.BlockHash) {
	if len(hashes) > 0 {
		l.append(now, endpoint.CacheEvent{First: first, Stored: endpoint.ToWire(hashes)})
	}
}

// evicted writes an event for blocks dropped, if any.
func (l *eventLog) evicted(now time.Time, hashes []entity.BlockHash) {
	if len(hashes) > 0 {
		l.append(now, endpoint.CacheEvent{Evicted: endpoint.ToWire(hashes)})
	}
}

func (l *eventLog) append(now time.Time, ev endpoint.CacheEvent) {
	l.seq++
	ev.Seq = l.seq
	l.list = append(l.list, cacheEvent{
		visible: now.Add(l.delay),
		lost:    l.random.Float64() < l.loss,
		event:   ev,
	})
	if over := len(l.list) - maxCacheEvents; over > 0 {
		l.list = slices.Delete(l.list, 0, over)
	}
}

// newestVisible returns the number of the newestVisible event that can be seen at now.
func (l *eventLog) newestVisible(now time.Time) uint64 {
	for i := len(l.list) - 1; i >= 0; i-- {
		if !l.list[i].visible.After(now) {
			return l.list[i].event.Seq
		}
	}
	return 0
}

// CacheEvents returns up to limit cache events from a sequence number on, as
// far as they can be seen at now. A sequence number that the engine has not
// come to yet is answered from the start: it was given before a restart.
func (e *Engine) CacheEvents(now time.Time, from uint64, limit int) endpoint.CacheEvents {
	e.advance(now)
	if from > e.events.seq+1 {
		from = 1
	}
	out := endpoint.CacheEvents{Next: max(from, 1)}
	for _, ev := range e.events.list {
		if ev.visible.After(now) || len(out.Events) == limit {
			break
		}
		if ev.event.Seq < from {
			continue
		}
		out.Next = ev.event.Seq + 1
		if !ev.lost {
			out.Events = append(out.Events, ev.event)
		}
	}
	return out
}
