package claim

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Budget bounds the appends of all shards of one instance together and serves
// them in turn. Like a Shard it is stepped by one goroutine.
type Budget struct {
	limit *rate.Limiter
	queue []turn
}

// turn is a shard that waits for an append.
type turn struct {
	shard ShardNumber
	lastAsked time.Time // the last time
}

// turnTimeout is when a shard that stopped asking loses its turn.
const turnTimeout = time.Second

// NewBudget returns a budget of so many appends a second, and so many at once.
func NewBudget(perSecond float64, burst int) *Budget {
	return &Budget{limit: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// SetRate changes the appends a second, as instances of the zone come and go.
func (b *Budget) SetRate(now time.Time, perSecond float64) {
	b.limit.SetLimitAt(now, rate.Limit(perSecond))
}

// take says whether a shard may append now; if not, it waits for its turn.
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

func (b *Budget) enqueue(now time.Time, n ShardNumber) {
	i := slices.IndexFunc(b.queue, func(t turn) bool { return t.shard == n })
	if i < 0 {
		i = len(b.queue)
		b.queue = append(b.queue, turn{shard: n})
	}
	b.queue[i].lastAsked = now
}
