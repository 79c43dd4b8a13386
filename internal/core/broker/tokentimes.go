package broker

import "time"

const (
	// defaultPerPromptToken and defaultPerAnswerToken are the times per token of an engine before
	// any sample of the pool exists: those of a 70B model on 4 accelerators.
	defaultPerPromptToken = 18 * time.Microsecond
	defaultPerAnswerToken = 3500 * time.Microsecond
	// minSampleWeight is the weight of a sample in an engine's averages; the first samples weigh
	// more.
	minSampleWeight = 0.25
	// poolMeanWeight is the weight of an engine's update in the pool's mean, from which new engines
	// start.
	poolMeanWeight = 0.05
	// minPromptSample is the length in tokens from which a prompt is used as a sample.
	minPromptSample = 200
	// minAnswerSample is the length in tokens from which an answer is used as a sample.
	minAnswerSample = 16
	// surprisingRatio is the ratio between a sample and the expected value below which the sample has
	// surprisingWeight at least: a first event may be late for many reasons, but it is early only if
	// the engine is fast.
	surprisingRatio  = 0.3
	surprisingWeight = 0.5
	// maxSlowness is how many times slower than the fastest engine of the pool an engine is assumed to
	// be at most. Without a bound, a few late first events could make an engine look so slow that it
	// gets no request that would show otherwise.
	maxSlowness = 12
	// maxSampleRatio bounds the ratio between a sample and the expected value, in both directions.
	maxSampleRatio = 4
)

// tokenTimes estimates the time that an engine takes per token of a prompt and of an answer.
type tokenTimes struct {
	perPromptToken, perAnswerToken time.Duration
	// promptSamples and answerSamples count the samples included in the estimates.
	promptSamples, answerSamples int
}

func defaultTokenTimes() tokenTimes {
	return tokenTimes{perPromptToken: defaultPerPromptToken, perAnswerToken: defaultPerAnswerToken}
}

// prefill returns the estimated time to process a prompt.
func (t tokenTimes) prefill(tokens int) time.Duration {
	return time.Duration(tokens) * t.perPromptToken
}

// answer returns the estimated time from the first token of an answer to its last.
func (t tokenTimes) answer(tokens int) time.Duration { return time.Duration(tokens) * t.perAnswerToken }

// occupancy returns the estimated time for which a request occupies its slot.
func (t tokenTimes) occupancy(promptTokens, answerTokens int) time.Duration {
	return t.prefill(promptTokens) + t.answer(answerTokens)
}

// learnPrefill updates the time per prompt token from the expected and the actual time to a first
// event, both without the fixed time. The uncertainty of the latter makes a sample weigh less.
func (t *tokenTimes) learnPrefill(tokens int, expected, actual, uncertainty time.Duration) {
	if tokens < minPromptSample || expected <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(expected), 1.0/maxSampleRatio), maxSampleRatio)
	weight := sampleWeight(t.promptSamples)
	if ratio < surprisingRatio {
		weight = max(weight, surprisingWeight)
	}
	weight *= float64(expected) / float64(expected+uncertainty)
	before := t.perPromptToken
	t.perPromptToken = ewma(before, time.Duration(float64(before)*ratio), weight)
	t.promptSamples++
	if t.answerSamples == 0 {
		// Before the first answer, the time per answer token is scaled alike: an engine that is
		// slow with prompts is slow with answers.
		t.perAnswerToken = time.Duration(float64(t.perAnswerToken) * float64(t.perPromptToken) / float64(before))
	}
}

// sampleWeight returns the weight of a sample after the given number of earlier ones. The initial
// value counts as one sample.
func sampleWeight(before int) float64 { return max(minSampleWeight, 1/float64(before+2)) }

// learnAnswer updates the time per answer token from the streaming time of an answer.
func (t *tokenTimes) learnAnswer(tokens int, streaming time.Duration) {
	if tokens < minAnswerSample || streaming <= 0 {
		return
	}
	sample := streaming / time.Duration(tokens)
	if t.answerSamples++; t.answerSamples == 1 {
		t.perAnswerToken = sample // what stood here was a guess
		return
	}
	sample = min(max(sample, t.perAnswerToken/maxSampleRatio), t.perAnswerToken*maxSampleRatio)
	t.perAnswerToken = ewma(t.perAnswerToken, sample, sampleWeight(t.answerSamples-1))
}

// limit bounds the times by those of an engine that is maxSlowness times slower than the fastest one
// with prompts, and than the mean with answers as long as no answer was seen.
func (t *tokenTimes) limit(fastestPerPromptToken time.Duration, mean tokenTimes) {
	if fastestPerPromptToken > 0 {
		t.perPromptToken = min(t.perPromptToken, maxSlowness*fastestPerPromptToken)
	}
	if t.answerSamples == 0 {
		t.perAnswerToken = min(t.perAnswerToken, maxSlowness*mean.perAnswerToken)
	}
}

// moveTowards moves the pool's mean towards the times of an engine.
func (t *tokenTimes) moveTowards(e tokenTimes) {
	t.perPromptToken = ewma(t.perPromptToken, e.perPromptToken, poolMeanWeight)
	if e.answerSamples > 0 {
		t.perAnswerToken = ewma(t.perAnswerToken, e.perAnswerToken, poolMeanWeight)
	}
}

func ewma(old, sample time.Duration, weight float64) time.Duration {
	return max(time.Nanosecond, old+time.Duration(weight*float64(sample-old)))
}
