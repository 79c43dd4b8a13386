package claim

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Budget limits the rate of appends of all shards of one instance together, and
// serves the shards in turn. Like a Shard, it is not safe for concurrent use.
type Budget struct {
	limit *rate.Limiter
	queue []turn
}

// turn is a shard that is waiting to append.
type turn struct {
	shard     ShardNumber
	lastAsked time.Time // when the shard last called take
}

// turnTimeout is the time after which a shard that no longer calls take loses its
// turn.
const turnTimeout = time.Second

// NewBudget returns a budget of perSecond appends per second, with a burst of at
// most burst appends.
func NewBudget(perSecond float64, burst int) *Budget {
	return &Budget{limit: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// SetRate changes the rate to perSecond appends per second. It is called when
// instances join or leave the zone.
func (b *Budget) SetRate(now time.Time, perSecond float64) {
	b.limit.SetLimitAt(now, rate.Limit(perSecond))
}

// take consumes one append and reports whether there was one for shard n. If not,
// the shard is queued for its turn. A nil Budget has no limit.
func (b *Budget) take(now time.Time, n ShardNumber) bool {
	if b == nil {
		return true
	}
	b.enqueue(now, n)
	for now.Sub(b.queue[0].lastAsked) > turnTimeout {
		b.queue = b.queue[1:]
	}
	if b.queue[0].shard != n || !b.limit.AllowN(now, 1) {
		return false
	}
	b.queue = b.queue[1:]
	return true
}

// enqueue adds shard n to the queue, unless it is there, and records its call.
func (b *Budget) enqueue(now time.Time, n ShardNumber) {
	i := slices.IndexFunc(b.queue, func(t turn) bool { return t.shard == n })
	if i < 0 {
		i = len(b.queue)
		b.queue = append(b.queue, turn{shard: n})
	}
	b.queue[i].lastAsked = now
}
