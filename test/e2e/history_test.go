package e2e

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/standin/engine"
	"github.com/medlarhold/medlarhold/internal/standin/service"
)

// digest identifies the text of a completion in the history.
func digest(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// callDigest identifies the response to a call in the history.
func callDigest(id entity.RequestID, body string) string { return string(id) + "/" + body }

// check checks all guarantees against the callers' history and the endpoints'
// journals. It returns the number of dispatches without those of warmUp.
func (c *cluster) check() int {
	c.t.Helper()
	events := c.history.Events()
	dispatches := 0
	for _, e := range c.engines {
		var journal []engine.Entry
		c.must(e.Journal(&journal))
		dispatches += len(journal)
		for _, j := range journal {
			events = append(events, c.engineEvents(e.row.ID, j)...)
		}
	}
	for _, s := range c.services {
		var journal []service.Entry
		c.must(s.Journal(&journal))
		dispatches += len(journal)
		for _, j := range journal {
			events = append(events, serviceEvents(s.row.ID, j)...)
		}
	}
	for _, v := range history.Check(events) {
		c.t.Errorf("%s: %s (request %s, instance %s)", v.Guarantee, v.Message, v.Request, v.Instance)
	}
	return dispatches - c.warmUpRequests
}

// engineEvents converts one entry of an engine's journal to events. A refused
// dispatch has none: it never ran, so the request may be dispatched again.
func (c *cluster) engineEvents(id entity.EndpointID, j engine.Entry) (out []history.Event) {
	if j.Refused {
		return nil
	}
	base := history.Event{Request: j.RequestID, Endpoint: id, Pool: "reports", Org: "bank"}
	add := func(e history.Event) { out = append(out, e) }
	dispatch := base
	dispatch.Kind, dispatch.At = history.KindDispatch, j.Dispatched
	add(dispatch)
	if !j.Started.IsZero() {
		start := base
		start.Kind, start.At = history.KindRunStart, j.Started
		add(start)
	}
	if !j.Ended.IsZero() {
		end := base
		end.Kind, end.At = history.KindRunEnd, j.Ended
		end.Complete = j.End.FinishReason.Complete()
		c.calls.mu.Lock()
		end.Digest = digest(engine.Answer(c.calls.prompt[j.RequestID], j.End.CompletionTokens))
		c.calls.mu.Unlock()
		add(end)
	}
	return out
}

// serviceEvents converts one entry of a service's journal to events.
func serviceEvents(id entity.EndpointID, j service.Entry) []history.Event {
	base := history.Event{At: j.Received, Kind: history.KindDispatch, Request: j.RequestID, Endpoint: id, Pool: "ledger", Org: "bank", Key: j.Key}
	if !j.Ran {
		return []history.Event{base}
	}
	start, end := base, base
	start.Kind = history.KindRunStart
	end.Kind, end.At, end.Complete, end.Digest = history.KindRunEnd, j.Ended, true, callDigest(j.RequestID, j.BodyHash)
	return []history.Event{base, start, end}
}
