package journal

import (
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/standin/engine"
	"github.com/medlarhold/medlarhold/internal/standin/load"
	"github.com/medlarhold/medlarhold/internal/standin/service"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

func at(n int) time.Time { return time.Unix(int64(n), 0) }

var completeEnd = endpoint.End{FinishReason: endpoint.FinishStop, CompletionTokens: 3}

func answered(number int, v verdict.Verdict, digest string) load.Answer {
	return load.Answer{Number: number, RequestID: "r", Sent: at(1), End: at(9), Verdict: v, Complete: true, Digest: digest}
}

func TestCompleteAnswerViolatesNothing(t *testing.T) {
	events := EngineEvents("e", []engine.Entry{
		{RequestID: "r", Dispatched: at(2), Started: at(3), Ended: at(5), End: completeEnd, Digest: "d"},
		{RequestID: "s", Dispatched: at(2), Refused: true},
	})
	events = append(events, CallerEvents("o", []load.Answer{answered(1, verdict.Ran, "d"), {Number: 2, Error: "no connection"}})...)
	if len(events) != 5 {
		t.Fatalf("got %d events, want 5: %+v", len(events), events)
	}
	if got := history.Check(events); len(got) != 0 {
		t.Fatalf("got violations %+v, want none", got)
	}
}

func TestViolationsAreFound(t *testing.T) {
	ran := engine.Entry{RequestID: "r", Dispatched: at(2), Started: at(3), Ended: at(5), End: completeEnd, Digest: "d"}
	call := service.Entry{RequestID: "r", Key: "k", Received: at(2), Ran: true, Ended: at(3), Digest: "d"}
	for _, tt := range []struct {
		want   history.Guarantee
		events []history.Event
	}{
		{history.GuaranteeOneDispatch, EngineEvents("e", []engine.Entry{ran, ran})},
		{history.GuaranteeOneRunPerKey, ServiceEvents("s", "o", []service.Entry{call, call})},
		{history.GuaranteeNotRun, append(EngineEvents("e", []engine.Entry{ran}), CallerEvents("o", []load.Answer{answered(1, verdict.NotRun, "")})...)},
		{history.GuaranteeCompleteAnswer, append(EngineEvents("e", []engine.Entry{ran}), CallerEvents("o", []load.Answer{answered(1, verdict.Ran, "x")})...)},
		{history.GuaranteeOneFinalAnswer, CallerEvents("o", []load.Answer{answered(1, verdict.NotRun, ""), answered(1, verdict.NotRun, "")})},
	} {
		seen := map[history.Guarantee]bool{}
		for _, v := range history.Check(tt.events) {
			seen[v.Guarantee] = true
		}
		if !seen[tt.want] {
			t.Errorf("violation of %s not found, got %v", tt.want, seen)
		}
	}
}
