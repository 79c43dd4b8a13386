package broker

import (
	"math"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
)

// The configuration may state how many tokens the memory of a pool's engines holds. What one runs takes its
// prompt and its answer, whose length is known only in the end. Grants keep the sum under the memory
// with memoryConfidence; where no memory is stated, nothing here has an effect.

const (
	// memoryConfidence is the margin on the expected sum, in standard deviations: the sum stays
	// under the memory in 99 of 100 cases.
	memoryConfidence = 2.33
	// Before answers were seen, their lengths relative to the expected ones are taken to have this
	// mean and standard deviation, with the weight of priorAnswers answers.
	priorLengthMean   = 1.2
	priorLengthSpread = 0.8
	priorAnswers      = 20
	// maxAnswersWeight bounds the weight of what was learned, so that it follows changes.
	maxAnswersWeight = 500
	// maxLengthRatio bounds a learned ratio: an estimate of a few tokens says little.
	maxLengthRatio = 10
	// reserveAfter is how long a request waits for memory before an engine is kept free for it.
	reserveAfter = 500 * time.Millisecond
)

// lengthRatio is the distribution of the lengths of answers, relative to the expected ones.
type lengthRatio struct{ weight, mean, meanSquare float64 }

func newLengthRatio() *lengthRatio {
	return &lengthRatio{weight: priorAnswers, mean: priorLengthMean, meanSquare: priorLengthMean*priorLengthMean + priorLengthSpread*priorLengthSpread}
}

// learn records the length of a complete answer.
func (l *lengthRatio) learn(expected, actual int) {
	if expected <= 0 || actual <= 0 {
		return
	}
	ratio := min(float64(actual)/float64(expected), maxLengthRatio)
	l.weight = min(l.weight+1, maxAnswersWeight)
	l.mean += (ratio - l.mean) / l.weight
	l.meanSquare += (ratio*ratio - l.meanSquare) / l.weight
}

// variance returns the square of the standard deviation.
func (l *lengthRatio) variance() float64 { return max(0, l.meanSquare-l.mean*l.mean) }

// need is the memory that a request is expected to take in the end, in tokens, and its variance.
type need struct{ tokens, variance float64 }

// memory is what a pool knows about the memory of its engines.
type memory struct {
	// tokens is the memory of an engine, 0 if not stated, and usable the part that this broker may use.
	tokens, usable int
	// lengths holds the lengths of answers by the rank of their requests.
	lengths map[int]*lengthRatio
	// reserved is the engine that gets no other requests until the one with the id reservedFor fits.
	reserved    *engine
	reservedFor entity.RequestID
}

// need returns what a request takes in the end.
func (m *memory) need(rank, promptTokens, answerTokens int) need {
	l := m.lengths[rank]
	if l == nil {
		l = newLengthRatio()
	}
	answer := float64(answerTokens)
	return need{tokens: float64(promptTokens) + answer*l.mean, variance: answer * answer * l.variance()}
}

// learn records the outcome of a run.
func (m *memory) learn(r *run, d Done) {
	if m.tokens == 0 || d.Failed || d.NotRun || d.Streaming == 0 {
		return
	}
	if m.lengths == nil {
		m.lengths = make(map[int]*lengthRatio)
	}
	if m.lengths[r.rank] == nil {
		m.lengths[r.rank] = newLengthRatio()
	}
	m.lengths[r.rank].learn(r.answerTokens, d.Tokens)
}

// exceeds reports whether a request is larger than the memory of an idle engine.
func (m *memory) exceeds(req *SlotRequest) bool {
	return m.tokens > 0 && req.PromptTokens+req.AnswerTokens > m.tokens
}

// hold counts what a run takes.
func (e *engine) hold(r *run) {
	if e.memory == nil || e.memory.tokens == 0 {
		return
	}
	r.need = e.memory.need(r.rank, r.promptTokens, r.answerTokens)
	e.held.tokens += r.need.tokens
	e.held.variance += r.need.variance
}

// unhold ends what hold has counted.
func (e *engine) unhold(r *run) {
	e.held.tokens -= r.need.tokens
	e.held.variance -= r.need.variance
	if len(e.runs) == 0 {
		e.held = need{} // without the errors of rounding
	}
}

// heldTokens returns what the runs of the engine and one more request take, with memoryConfidence.
func (e *engine) heldTokens(n need) int {
	return int(e.held.tokens + n.tokens + memoryConfidence*math.Sqrt(max(0, e.held.variance+n.variance)))
}

// lacksMemory reports whether a request must wait for memory of the engine. An engine that runs nothing
// takes any request that isn't larger than its memory.
func (e *engine) lacksMemory(req *SlotRequest) bool {
	m := e.memory
	if m == nil || m.tokens == 0 {
		return false
	}
	if m.reserved == e && m.reservedFor != req.ID {
		return true
	}
	return len(e.runs) > 0 && e.heldTokens(m.need(req.Rank, req.PromptTokens, req.AnswerTokens)) > m.usable
}

// reserveMemory keeps one engine free for the first request that has waited for long because no engine
// has memory for it: smaller ones would take what becomes free.
func (p *pool) reserveMemory(now time.Time) {
	m := &p.memory
	m.reserved, m.reservedFor = nil, ""
	if m.tokens == 0 {
		return
	}
	for _, j := range p.waiting {
		if now.Sub(j.arrived) < reserveAfter {
			continue
		}
		if e := p.mostMemory(now, &j.request); e != nil && e.lacksMemory(&j.request) {
			m.reserved, m.reservedFor = e, j.request.ID
			return
		}
	}
}

// mostMemory returns the engine with the most memory left among those that may get a request, nil if
// there is none.
func (p *pool) mostMemory(now time.Time, req *SlotRequest) *engine {
	var best *engine
	for _, e := range p.engines {
		if e.unusable(now) || e.excludes(now, req) {
			continue
		}
		if best == nil || e.held.tokens < best.held.tokens {
			best = e
		}
	}
	return best
}

// setMemory sets the memory of the pool's engines, in tokens, 0 if not stated, and the fraction that the
// broker may use, 0 for all.
func (p *pool) setMemory(tokens int, share float64) {
	p.memory.tokens, p.memory.usable = tokens, tokens
	if share > 0 {
		p.memory.usable = int(min(share, 1) * float64(tokens))
	}
	for _, e := range p.engines {
		e.memory = &p.memory
	}
}

// SetMemory sets how many tokens the memory of each engine of a pool holds. It takes effect with the next
// SetEndpoints.
func (b *Broker) SetMemory(tokens map[entity.PoolID]int) { b.memory = tokens }
