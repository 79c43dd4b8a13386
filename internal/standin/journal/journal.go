// Package journal converts the journals of the simulated engines and services and of the load tool
// into a history whose guarantees package history checks. All journals must use the same clock.
package journal

import (
	"fmt"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/standin/engine"
	"github.com/medlarhold/medlarhold/internal/standin/load"
	"github.com/medlarhold/medlarhold/internal/standin/service"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// EngineEvents returns the dispatches and runs that an engine has journalled. Dispatches that it
// refused on admission are left out.
func EngineEvents(id entity.EndpointID, entries []engine.Entry) []history.Event {
	var out []history.Event
	for _, e := range entries {
		if e.Refused {
			continue
		}
		event := func(k history.Kind, at time.Time) history.Event {
			return history.Event{At: at, Kind: k, Request: e.RequestID, Endpoint: id}
		}
		out = append(out, event(history.KindDispatch, e.Dispatched))
		if !e.Started.IsZero() {
			out = append(out, event(history.KindRunStart, e.Started))
		}
		if !e.Ended.IsZero() {
			end := event(history.KindRunEnd, e.Ended)
			end.Complete, end.Digest, end.Tokens = e.End.FinishReason.Complete(), e.Digest, e.End.CompletionTokens
			out = append(out, end)
		}
	}
	return out
}

// ServiceEvents returns the calls that a plain service has journalled; org is the organisation
// that made them.
func ServiceEvents(id entity.EndpointID, org entity.OrgID, entries []service.Entry) []history.Event {
	var out []history.Event
	for _, e := range entries {
		event := history.Event{At: e.Received, Kind: history.KindDispatch, Request: e.RequestID, Endpoint: id, Org: org, Key: e.Key}
		out = append(out, event)
		if !e.Ran {
			continue
		}
		event.Kind = history.KindRunStart
		out = append(out, event)
		event.Kind, event.At, event.Complete, event.Digest = history.KindRunEnd, e.Ended, true, e.Digest
		out = append(out, event)
	}
	return out
}

// CallerEvents returns the requests and answers that the load tool has journalled; org is the
// organisation that sent them. A request without a response header has no request id and is left
// out.
func CallerEvents(org entity.OrgID, answers []load.Answer) []history.Event {
	var out []history.Event
	for _, a := range answers {
		if a.RequestID == "" {
			continue
		}
		event := history.Event{
			At: a.Sent, Kind: history.KindSend, Caller: fmt.Sprintf("caller-%d", a.Number), Request: a.RequestID, Org: org, Key: a.Key,
		}
		out = append(out, event)
		event.At = a.End
		event.Kind = history.KindCut
		if a.Error == "" {
			event.Kind, event.Verdict, event.Reason = history.KindAnswer, a.Verdict, a.Reason
			event.Complete = a.Complete && a.Verdict == verdict.Ran
			event.Digest = a.Digest
		}
		out = append(out, event)
	}
	return out
}
