package broker

import "time"

// An engine needs some time for any prompt, and more for each token of it and of those that wait before
// it. Where the time without tokens is long, a time per token alone is wrong for short and for long
// prompts. This answers the load of a pool whose prompts differ much in length.

const (
	// modelMemory is the share of the model's samples that remains when one is added.
	modelMemory = 0.995
	// minModelSamples is the number of samples from which the model is used.
	minModelSamples = 12
	// minTokenVariance is the variance of the prompts' lengths, in relation to the square of their mean,
	// from which the time per token can be told from the time without tokens.
	minTokenVariance = 0.05
)

// firstEventModel estimates the time to a first event from the tokens to be read before it, for an engine
// of the pool's usual speed. It is a line through decaying sums of samples.
type firstEventModel struct {
	weight, tokens, seconds  float64
	tokensSquared, tokenSecs float64
	samples                  int
	// fixed is the time without tokens, perToken the time per token, in seconds.
	fixed, perToken float64
}

// known reports whether there are enough samples for an estimate.
func (m *firstEventModel) known() bool { return m.samples >= minModelSamples }

// at returns the estimated time to a first event.
func (m *firstEventModel) at(tokens float64) float64 { return m.fixed + m.perToken*tokens }

// learn adds a sample.
func (m *firstEventModel) learn(tokens, seconds float64) {
	if m.known() {
		expected := m.at(tokens)
		seconds = min(max(seconds, expected/maxSampleRatio), expected*maxSampleRatio)
	}
	for _, sum := range []struct {
		of  *float64
		add float64
	}{{&m.weight, 1}, {&m.tokens, tokens}, {&m.seconds, seconds}, {&m.tokensSquared, tokens * tokens}, {&m.tokenSecs, tokens * seconds}} {
		*sum.of = modelMemory**sum.of + sum.add
	}
	m.samples++
	m.fit()
}

// fit recomputes the line. Neither of its parts is negative.
func (m *firstEventModel) fit() {
	meanTokens, meanSeconds := m.tokens/m.weight, m.seconds/m.weight
	variance := m.tokensSquared/m.weight - meanTokens*meanTokens
	m.perToken = 0
	if variance > minTokenVariance*meanTokens*meanTokens {
		m.perToken = max(0, (m.tokenSecs/m.weight-meanTokens*meanSeconds)/variance)
	} else if meanTokens > 0 {
		overhead := min(dispatchOverhead.Seconds(), meanSeconds)
		m.perToken = (meanSeconds - overhead) / meanTokens
	}
	m.fixed = meanSeconds - m.perToken*meanTokens
	if m.fixed < 0 {
		m.fixed, m.perToken = 0, m.tokenSecs/m.tokensSquared
	}
}

// scale changes the unit of the model's times.
func (m *firstEventModel) scale(factor float64) {
	m.seconds *= factor
	m.tokenSecs *= factor
	m.fixed *= factor
	m.perToken *= factor
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
