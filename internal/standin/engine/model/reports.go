package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
)

// reports holds the load over the period by which reports lag.
type reports struct {
	history []endpoint.Load
}

// record adds the load that is in force from l.AsOf on and removes records that no later report
// needs.
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

// at returns the load that was in force at t.
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

// maxCacheEvents bounds the cache events that an engine retains.
const maxCacheEvents = 4096

// eventLog retains cache events until callers read them. An event becomes visible after delay.
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

// stored appends an event for stored blocks of one prompt, if there are any; first is the index of
// the first of them in the prompt's chain.
func (l *eventLog) stored(now time.Time, first int, hashes []entity.BlockHash) {
	if len(hashes) > 0 {
		l.append(now, endpoint.CacheEvent{First: first, Stored: endpoint.ToWire(hashes)})
	}
}

// evicted appends an event for evicted blocks, if there are any.
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

// newestVisible returns the sequence number of the newest event that is visible at now, or 0.
func (l *eventLog) newestVisible(now time.Time) uint64 {
	for i := len(l.list) - 1; i >= 0; i-- {
		if !l.list[i].visible.After(now) {
			return l.list[i].event.Seq
		}
	}
	return 0
}

// CacheEvents returns up to limit cache events from a sequence number on, as far as they are
// visible at now. If the sequence number is beyond those that the engine has assigned, it stems
// from before a restart, and the events are returned from the start.
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
