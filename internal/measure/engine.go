package measure

import (
	"math/rand"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// The parameters of the fake engine. One step generates one token for each stream of
// the batch whose prompt is processed, and processes up to prefillChunk prompt tokens
// of the others.
const (
	engineSlots   = 32
	engineMemory  = 400_000 // tokens
	engineCache   = 6144    // blocks, as many tokens as the memory
	stepBase      = 14 * time.Millisecond
	stepPerStream = 150 * time.Microsecond
	prefillRate   = 16_000 // tokens per second
	prefillChunk  = 256    // tokens per step
	// ratedPrefill and ratedDecode are the rates in tokens per second that an
	// operator would configure: those of a full batch.
	ratedPrefill = 7000
	ratedDecode  = 32

	serviceSlots = 16
	// maxEventDelay is the maximum delay of a cache event.
	maxEventDelay = 500 * time.Millisecond
)

// endpoint is the interface of engines and services towards the policies.
type endpoint interface {
	submit(r *requestState)
	// pause pauses a stream, and reports whether the endpoint had it; resume continues
	// it.
	pause(r *requestState) bool
	resume(r *requestState)
	// cancel removes a request, and reports whether the endpoint had it.
	cancel(r *requestState) bool
	// load returns the number of requests that are queued or running.
	load() int
}

// engine is the fake model engine.
type engine struct {
	row      entity.Endpoint
	c        *clock
	slow     float64 // factor on the duration of a step
	queue    []*stream
	batch    []*stream
	paused   map[*requestState]*stream
	cache    *simplelru.LRU[entity.BlockHash, struct{}]
	evicted  []entity.BlockHash
	stepping bool
	ledger   *ledger
	// onEvent, if set, receives the cache events.
	onEvent   func(entity.CacheEvent)
	seq       uint64
	rng       *rand.Rand
	eventLoss float64
}

// stream is one request on the engine.
type stream struct {
	r          *requestState
	promptLeft int // prompt tokens to process
	started    bool
	generated  int
	removed    bool
}

func newEngine(c *clock, row entity.Endpoint, speed float64, l *ledger, rng *rand.Rand) *engine {
	e := &engine{row: row, c: c, slow: 1 / speed, paused: make(map[*requestState]*stream), ledger: l, rng: rng}
	e.cache, _ = simplelru.NewLRU(engineCache, func(b entity.BlockHash, _ struct{}) { e.evicted = append(e.evicted, b) })
	return e
}

func (e *engine) load() int { return len(e.queue) + len(e.batch) }

func (e *engine) submit(r *requestState) {
	e.queue = append(e.queue, &stream{r: r})
	e.wake()
}

func (e *engine) pause(r *requestState) bool {
	s := e.remove(r)
	if s == nil {
		return false
	}
	e.paused[r] = s
	return true
}

func (e *engine) resume(r *requestState) {
	s := e.paused[r]
	if s == nil {
		return
	}
	delete(e.paused, r)
	e.queue = append(e.queue, &stream{r: r, promptLeft: s.promptLeft, started: s.started, generated: s.generated})
	e.wake()
}

func (e *engine) cancel(r *requestState) bool {
	if e.paused[r] != nil {
		delete(e.paused, r)
		return true
	}
	return e.remove(r) != nil
}

// remove removes the stream of r from the queue or the batch, and returns it, or nil if
// there is none.
func (e *engine) remove(r *requestState) *stream {
	for _, list := range []*[]*stream{&e.queue, &e.batch} {
		i := slices.IndexFunc(*list, func(s *stream) bool { return s.r == r })
		if i >= 0 {
			s := (*list)[i]
			s.removed = true
			*list = slices.Delete(*list, i, i+1)
			return s
		}
	}
	return nil
}

// wake starts the engine's steps if it is idle.
func (e *engine) wake() {
	if !e.stepping {
		e.step()
	}
}

// step runs one iteration of the batch.
func (e *engine) step() {
	e.admit()
	if len(e.batch) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	chunk := prefillChunk
	type share struct {
		s *stream
		n int
	}
	var prefill []share
	var decode []*stream
	for _, s := range e.batch {
		if s.promptLeft == 0 {
			decode = append(decode, s)
			continue
		}
		if n := min(chunk, s.promptLeft); n > 0 {
			prefill = append(prefill, share{s, n})
			chunk -= n
		}
	}
	took := stepBase + time.Duration(len(decode))*stepPerStream + tokensTime(prefillChunk-chunk)
	e.c.after(time.Duration(float64(took)*e.slow), func() {
		for _, p := range prefill {
			if e.countPrefill(p.s, p.n) {
				decode = append(decode, p.s)
			}
		}
		for _, s := range decode {
			e.countToken(s)
		}
		e.step()
	})
}

func tokensTime(n int) time.Duration {
	return time.Duration(float64(n) / prefillRate * float64(time.Second))
}

// admit moves queued streams into the batch, in order of arrival, while there are slots.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.batch) < engineSlots {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.batch = append(e.batch, s)
		if s.started {
			continue
		}
		s.started = true
		chain := s.r.a.work.Prefix
		hit := 0
		for hit < len(chain) && e.cache.Contains(chain[hit]) {
			hit++
		}
		// The last block is always processed, as the first token is generated from
		// its end.
		hit = min(hit, len(chain)-1)
		s.promptLeft = (len(chain) - hit) * blockTokens
		s.r.processed += s.promptLeft
		e.ledger.prefill(chain[hit:], s.r)
	}
}

// countPrefill counts n processed prompt tokens, and reports whether the whole prompt is
// processed now.
func (e *engine) countPrefill(s *stream, n int) bool {
	if s.removed {
		return false
	}
	s.promptLeft -= n
	if s.promptLeft > 0 {
		return false
	}
	e.store(s.r.a.work.Prefix)
	return true
}

// store puts the blocks of a processed prompt into the cache and publishes the change.
func (e *engine) store(chain []entity.BlockHash) {
	e.evicted = nil
	var stored []entity.BlockHash
	for i := len(chain) - 1; i >= 0; i-- {
		if !e.cache.Contains(chain[i]) {
			stored = append(stored, chain[i])
		}
		e.cache.Add(chain[i], struct{}{})
	}
	e.ledger.cached(chain)
	e.publish(entity.CacheEvent{Endpoint: e.row.ID, Stored: stored, Evicted: e.evicted})
}

// publish delivers a cache event after a random delay, or loses it.
func (e *engine) publish(ev entity.CacheEvent) {
	if e.onEvent == nil {
		return
	}
	e.seq++
	ev.Seq = e.seq
	if e.rng.Float64() < e.eventLoss {
		return
	}
	delay := time.Duration(e.rng.Int63n(int64(maxEventDelay)))
	e.c.after(delay, func() { e.onEvent(ev) })
}

// countToken counts one generated token, and ends the stream after the last one.
func (e *engine) countToken(s *stream) {
	if s.removed {
		return
	}
	s.generated++
	s.r.token(e.c.now)
	if s.generated >= s.r.a.answerTokens {
		e.remove(s.r)
		s.r.complete(e.c.now)
	}
}

// service is the fake plain service. It runs up to serviceSlots calls at a time.
type service struct {
	c       *clock
	slow    float64
	queue   []*requestState
	running int
}

func (s *service) load() int { return len(s.queue) + s.running }

func (s *service) submit(r *requestState) {
	s.queue = append(s.queue, r)
	s.next()
}

func (s *service) next() {
	for len(s.queue) > 0 && s.running < serviceSlots {
		r := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		s.c.after(time.Duration(float64(r.a.service)*s.slow), func() {
			s.running--
			r.token(s.c.now)
			r.complete(s.c.now)
			s.next()
		})
	}
}

func (s *service) pause(*requestState) bool { return false }
func (s *service) resume(*requestState)     {}

func (s *service) cancel(r *requestState) bool {
	i := slices.Index(s.queue, r)
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
}
