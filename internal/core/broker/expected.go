package broker

import (
	"math"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/concurrency"
)

// Engines of one pool may differ in speed, share their hardware with others, and slow down before their
// slots are full. What the broker has learned of this decides how many requests an engine gets at a
// time, and when an answer is expected there. The limit takes effect for engines whose times show that
// they take fewer requests than they have slots, the expected times for engines that state their slowdown;
// see docs/design/unlike-endpoints.md.

const (
	// minSpeedWeight is the weight of a first event in an engine's speed; the first ones weigh more.
	minSpeedWeight = 0.15
	// maxWaitShare is the tokens to be read before a first event in relation to those of its own prompt, up
	// to which it shows whether a stated slowdown is true: waits are known less well.
	maxWaitShare = 1.2
	// overdueRun is how many times longer than expected a run takes, while more requests than before
	// are tried, from which it shows that they are too many.
	overdueRun = 2.5
)

// service is what is known of how an engine serves since its last start.
type service struct {
	limiter  *concurrency.Limiter
	slowdown concurrency.Slowdown
	// slowness is the time to a first event relative to that of the pool's model, without the part
	// that the stated slowdown explains; 0 if there is no sample.
	slowness float64
	samples  int
	// model is that of the engine's pool.
	model *firstEventModel
	// reported is set while the last reported change is that a limit came into force.
	reported bool
}

// observation is what is recorded of a run for what can be learned of it.
type observation struct {
	run  concurrency.Run
	mark concurrency.Mark
	// tokens are those to be read before the first event: of the prompt, and of prompts before it.
	tokens float64
	// startedAfter is the time from the dispatch to the first event, 0 before it.
	startedAfter time.Duration
}

// states reports whether the engine's first events are estimated by the pool's model: the engine states
// its slowdown, and the model has enough samples. All others are estimated by tokenTimes and fixedTime.
func (e *engine) states() bool { return e.service.slowdown.States() && e.service.model.known() }

// pace returns the time that work takes at the engine now, relative to the pool's model.
func (e *engine) pace(now time.Time) float64 {
	return e.service.speed() * e.service.slowdown.Expected(now)
}

// speed returns the time that work takes at the engine, relative to the pool's model.
func (s *service) speed() float64 {
	if s.slowness == 0 {
		return 1
	}
	return s.slowness
}

// promptIn estimates the time to the first event of a prompt that waits for no other.
func (e *engine) promptIn(now time.Time, tokens int) time.Duration {
	if !e.states() {
		return e.times.prefill(tokens) + e.fixed.estimate()
	}
	return toDuration(e.pace(now) * e.service.model.at(float64(tokens)))
}

// overhead estimates the part of the time to a first event that doesn't delay other prompts.
func (e *engine) overhead(now time.Time) time.Duration {
	if !e.states() {
		return e.fixed.estimate()
	}
	return toDuration(e.pace(now) * e.service.model.fixed)
}

// observeGrant records the beginning of a run, before its prompt is added to prefillEnd.
func (e *engine) observeGrant(now time.Time, r *run) {
	s := &e.service
	s.limiter.SetRunning(now, len(e.runs))
	r.observed = observation{run: s.limiter.Begin(now, runSize(r.promptTokens, r.answerTokens)), tokens: float64(r.promptTokens)}
	if !s.slowdown.States() {
		return
	}
	r.observed.mark = s.slowdown.Mark(now)
	if perToken := e.pace(now) * s.model.perToken; perToken > 0 {
		r.observed.tokens += max(0, e.prefillEnd.Sub(now).Seconds()) / perToken
	}
}

// observeStart learns from the time to a first event, and from the slowdown that the engine states.
func (e *engine) observeStart(now time.Time, r *run, after time.Duration, stated float64) {
	s := &e.service
	r.observed.startedAfter = after
	if stated > 0 {
		s.slowdown.State(now, stated)
		s.limiter.SetStating()
	}
	if !s.slowdown.States() || after <= 0 || r.observed.run.IsZero() {
		return
	}
	slowdown := s.slowdown.Since(now, r.observed.mark)
	normal := s.slowdown.Normal(after, slowdown).Seconds()
	if s.model.known() {
		expected := s.model.at(r.observed.tokens)
		if r.observed.tokens <= maxWaitShare*float64(r.promptTokens) {
			s.slowdown.Learn(after.Seconds()/expected, slowdown)
		}
		s.learnSpeed(normal / expected)
	}
	s.model.learn(r.observed.tokens, normal/s.speed())
}

// learnSpeed updates the engine's speed by the ratio between a first event and the model.
func (s *service) learnSpeed(ratio float64) {
	s.samples++
	current := s.speed()
	ratio = min(max(ratio, current/maxSampleRatio), current*maxSampleRatio)
	weight := max(minSpeedWeight, 1/float64(s.samples+1))
	s.slowness = current * math.Pow(ratio/current, weight)
}

// observeEnd learns from a complete answer.
func (e *engine) observeEnd(now time.Time, r *run, d Done) {
	if d.Failed || d.NotRun || d.Streaming <= 0 || r.observed.run.IsZero() {
		return
	}
	took := r.observed.startedAfter + d.Streaming
	s := &e.service
	if s.slowdown.States() {
		took = s.slowdown.Normal(took, s.slowdown.Since(now, r.observed.mark))
	}
	s.limiter.End(now, r.observed.run, runSize(r.promptTokens, answerLength(r, d)), took)
}

// checkOverdue ends a trial of more requests as soon as one of them takes far too long.
func (e *engine) checkOverdue(now time.Time) {
	l := e.service.limiter
	if !l.Probing() {
		return
	}
	for _, r := range e.runs {
		allowed := overdueRun * float64(l.Expected(runSize(r.promptTokens, r.answerTokens)))
		if !r.started && allowed > 0 && float64(now.Sub(r.grantedAt)) > allowed {
			l.Overdue(now, &r.observed.run)
			return
		}
	}
}

// runSize returns the time that a request takes a reference engine. What the pool has learned is no
// reference: if all of its engines become slow, it follows.
func runSize(promptTokens, answerTokens int) time.Duration {
	return defaultTokenTimes().occupancy(promptTokens, answerTokens) + dispatchOverhead
}

// fastestByModel estimates the time to the first event on the fastest engine if it were idle. It returns
// false unless all engines state their slowdown.
func (p *pool) fastestByModel(promptTokens int) (time.Duration, bool) {
	if p.minSlowness == 0 || !p.first.known() {
		return 0, false
	}
	return toDuration(p.minSlowness * p.first.at(float64(promptTokens))), true
}

// suspectSlow tells the limiters of engines that are slower than any is expected to be that fewer requests
// may be tried there without a sign.
func (p *pool) suspectSlow() {
	fastest := math.Inf(1)
	for _, e := range p.engines {
		if t := e.service.limiter.TimePerSize(); t > 0 && !e.endpoint.Leaving {
			fastest = min(fastest, t)
		}
	}
	for _, e := range p.engines {
		l := e.service.limiter
		l.SetSuspect(l.TimePerSize() > maxSlowness*fastest)
	}
}

// anchorSlowness keeps the mean of the engines' slowness at 1. Model and slowness are learned from each
// other, and only their product is known.
func (p *pool) anchorSlowness() {
	logs, n := 0.0, 0
	for _, e := range p.engines {
		if e.service.slowness > 0 {
			logs += math.Log(e.service.slowness)
			n++
		}
	}
	if n == 0 || !p.first.known() {
		return
	}
	mean := math.Exp(logs / float64(n))
	for _, e := range p.engines {
		e.service.slowness /= mean
	}
	p.first.scale(mean)
}

// updateMinSlowness recomputes minSlowness.
func (p *pool) updateMinSlowness() {
	p.anchorSlowness()
	p.minSlowness = 0
	for _, e := range p.engines {
		switch {
		case e.endpoint.Leaving:
		case !e.states():
			p.minSlowness = 0
			return
		case p.minSlowness == 0 || e.service.speed() < p.minSlowness:
			p.minSlowness = e.service.speed()
		}
	}
}
