package broker

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Load is the state of one pool as the broker counts it.
type Load struct {
	Pool    entity.PoolID `json:"pool"`
	Waiting int           `json:"waiting"`
	Engines []EngineLoad  `json:"engines"`
	// Ranks holds the ranks of which there were requests.
	Ranks        []RankLoad      `json:"ranks,omitempty"`
	Appointments AppointmentLoad `json:"appointments"`
}

// EngineLoad is the state of one engine as the broker counts or estimates it.
type EngineLoad struct {
	Endpoint entity.EndpointID `json:"endpoint"`
	Running  int               `json:"running"`
	Slots    int               `json:"slots"`
	// PromptTokenUs and AnswerTokenUs are the learned times per token, in microseconds.
	PromptTokenUs int64 `json:"prompt_token_us"`
	AnswerTokenUs int64 `json:"answer_token_us"`
	// PausedMs is how long the engine still gets no requests, in milliseconds. Unresponsive is set
	// while a request on the engine is long overdue.
	PausedMs int64 `json:"paused_ms,omitempty"`
	// Limit is the number of requests that may run now, and LimitReason says why it is below Slots.
	Limit       int    `json:"limit"`
	LimitReason string `json:"limit_reason,omitempty"`
	// Slowdown is the latest stated slowdown relative to its mean, 0 if none was stated.
	// SlowdownUsed is set while it predicts the engine's times.
	Slowdown     float64 `json:"slowdown,omitempty"`
	SlowdownUsed bool    `json:"slowdown_used,omitempty"`
	// Slowness is the time to a first event relative to the mean of the pool, 0 if it isn't learned.
	Slowness     float64 `json:"slowness,omitempty"`
	Unresponsive bool    `json:"silent,omitempty"`
	Leaving      bool    `json:"leaving,omitempty"`
	// HeldTokens is what the engine's requests are expected to take of its memory, with the margin for
	// longer answers, and MemoryTokens its memory; both are 0 if the memory isn't stated.
	HeldTokens   int `json:"held_tokens,omitempty"`
	MemoryTokens int `json:"memory_tokens,omitempty"`
}

// Loads returns the load of each pool and its engines.
func (b *Broker) Loads(now time.Time) []Load {
	var out []Load
	for _, p := range b.sortedPools() {
		l := Load{Pool: p.id, Waiting: len(p.waiting), Engines: make([]EngineLoad, 0, len(p.engines)), Ranks: p.rankLoads(now)}
		l.Appointments = AppointmentLoad{Stats: p.book.Stats(), Open: p.book.Len()}
		for _, e := range p.engines {
			l.Engines = append(l.Engines, EngineLoad{
				Endpoint: e.endpoint.ID, Running: len(e.runs), Slots: e.endpoint.Slots,
				Unresponsive: e.unresponsive, Leaving: e.endpoint.Leaving,
				PromptTokenUs: e.times.perPromptToken.Microseconds(), AnswerTokenUs: e.times.perAnswerToken.Microseconds(),
				PausedMs: e.paused(now).Milliseconds(), HeldTokens: e.heldTokens(need{}), MemoryTokens: p.memory.tokens,
				Limit: e.limit(b.settings.SlotShare), LimitReason: e.service.limiter.Reason(),
				Slowdown: e.service.slowdown.Stated(), SlowdownUsed: e.service.slowdown.Useful(), Slowness: e.service.slowness,
			})
		}
		out = append(out, l)
	}
	return out
}
