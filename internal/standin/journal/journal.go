// Package journal turns the journals of stand-ins and of the load tool into a
// history, over which package history checks the promises. All of them must
// come from one clock.
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

// EngineEvents returns what an engine saw.
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

// ServiceEvents returns what a plain service saw; org is whose calls they are.
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

// CallerEvents returns what the callers of the load tool saw; org is whose they are.
// Requests that never got a header of an answer have no name and are left out.
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
