package history

import (
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// checkCompleteAnswer checks that an answer marked complete equals the output of
// a complete run of the request, or of a request with the same key, and that it
// reached the caller that sent the request. An answer with the verdict "ran" must
// be complete or carry a reason, and some run must have completed.
func checkCompleteAnswer(x *index, _ Limits) (out []Violation) {
	keys := runsByKey(x)
	for _, r := range x.requests {
		sent := x.requestEvents(r, KindSend)
		runs := completeRuns(x, r)
		if len(sent) > 0 && sent[0].Key != "" {
			runs = keys[idempotencyKey{sent[0].Org, sent[0].Key}]
		}
		for _, a := range x.requestEvents(r, KindAnswer) {
			if msg := answerProblem(a, sent, runs); msg != "" {
				out = append(out, violation(GuaranteeCompleteAnswer, a, "%s", msg))
			}
		}
	}
	return out
}

// answerProblem describes what is wrong with an answer, or returns "".
func answerProblem(a *Event, sent, runs []*Event) string {
	switch {
	case len(sent) > 0 && a.Caller != sent[0].Caller:
		return "answer for " + sent[0].Caller + " was delivered to " + a.Caller
	case a.Verdict == verdict.Ran && len(runs) == 0:
		return "verdict is ran, but no run completed"
	case a.Verdict == verdict.Ran && !a.Complete && a.Reason == verdict.ReasonNone:
		return "answer is incomplete, but has no reason"
	case a.Complete && !produced(a.Digest, runs):
		return "answer differs from the output of this request's runs"
	}
	return ""
}

func produced(digest string, runs []*Event) bool {
	for _, run := range runs {
		if run.Digest == digest {
			return true
		}
	}
	return false
}

func completeRuns(x *index, r entity.RequestID) []*Event {
	var complete []*Event
	for _, e := range x.requestEvents(r, KindRunEnd) {
		if e.Complete {
			complete = append(complete, e)
		}
	}
	return complete
}

// runsByKey groups the complete runs of all requests that were sent with a key.
func runsByKey(x *index) map[idempotencyKey][]*Event {
	runs := make(map[idempotencyKey][]*Event)
	for _, r := range x.requests {
		for _, s := range x.requestEvents(r, KindSend) {
			if s.Key != "" {
				k := idempotencyKey{s.Org, s.Key}
				runs[k] = append(runs[k], completeRuns(x, r)...)
			}
		}
	}
	return runs
}

// checkOneFinalAnswer checks that each request that was sent has exactly one
// answer, or none if its caller's connection was cut.
func checkOneFinalAnswer(x *index, _ Limits) (out []Violation) {
	for _, r := range x.requests {
		sent, answers := x.requestEvents(r, KindSend), x.requestEvents(r, KindAnswer)
		wasCut := len(x.requestEvents(r, KindCut)) > 0
		switch {
		case len(sent) == 0 && len(answers) > 0:
			out = append(out, violation(GuaranteeOneFinalAnswer, answers[0], "answer to a request that was never sent"))
		case len(sent) > 0 && len(answers) == 0 && !wasCut:
			out = append(out, violation(GuaranteeOneFinalAnswer, sent[0], "request has no answer"))
		}
		for i := 1; i < len(answers); i++ {
			out = append(out, violation(GuaranteeOneFinalAnswer, answers[i],
				"request has answer number %d; the first was at %s", i+1, answers[0].At.Format(time.RFC3339Nano)))
		}
	}
	return out
}
