package broker

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// Load is what a broker counts of one pool.
type Load struct {
	Pool    entity.PoolID `json:"pool"`
	Waiting int           `json:"waiting"`
	Engines []EngineLoad  `json:"engines"`
}

// EngineLoad is what a broker counts and believes of one engine.
type EngineLoad struct {
	Endpoint entity.EndpointID `json:"endpoint"`
	Running  int               `json:"running"`
	Slots    int               `json:"slots"`
	// PromptTokenUs and AnswerTokenUs are the learned times for one token, in microseconds.
	PromptTokenUs int64 `json:"prompt_token_us"`
	AnswerTokenUs int64 `json:"answer_token_us"`
	// PausedMs is for how long it gets no requests, in milliseconds; Silent says
	// that a request is long overdue there.
	PausedMs     int64 `json:"paused_ms,omitempty"`
	Unresponsive bool  `json:"silent,omitempty"`
	Leaving      bool  `json:"leaving,omitempty"`
}

// Loads returns what the broker counts, by pool and engine.
func (b *Broker) Loads(now time.Time) []Load {
	var out []Load
	for _, p := range b.sortedPools() {
		l := Load{Pool: p.id, Waiting: len(p.waiting), Engines: make([]EngineLoad, 0, len(p.engines))}
		for _, e := range p.engines {
			l.Engines = append(l.Engines, EngineLoad{
				Endpoint: e.row.ID, Running: len(e.runs), Slots: e.row.Slots, Unresponsive: e.silent, Leaving: e.row.Leaving,
				PromptTokenUs: e.pace.promptToken.Microseconds(), AnswerTokenUs: e.pace.answerToken.Microseconds(),
				PausedMs: max(0, e.pausedUntil.Sub(now)).Milliseconds(),
			})
		}
		out = append(out, l)
	}
	return out
}
