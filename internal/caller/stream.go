package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/medlarhold/medlarhold/internal/callerapi"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// streamWriter writes a completion to its caller, as server-sent events or as one
// JSON object. It is not safe for concurrent use.
type streamWriter struct {
	w       http.ResponseWriter
	id      entity.RequestID
	model   entity.ModelID
	stream  bool
	started bool
	tokens  int
	text    strings.Builder
}

func newStreamWriter(w http.ResponseWriter, id entity.RequestID, model entity.ModelID, stream bool) *streamWriter {
	return &streamWriter{w: w, id: id, model: model, stream: stream}
}

// tokenEvent is the data of `event: token`.
type tokenEvent struct {
	ID      entity.RequestID `json:"id"`
	Index   int              `json:"index"`
	Choices []choice         `json:"choices"`
}

// choice is an alternative of a completion. There is always exactly one.
type choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// usage holds the token counts of a completion.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// endEvent is the data of `event: end`. Tokens is the length of the answer in
// tokens: a caller that has received fewer has an incomplete answer.
type endEvent struct {
	ID           entity.RequestID `json:"id"`
	Verdict      verdict.Verdict  `json:"verdict"`
	Reason       verdict.Reason   `json:"reason,omitempty"`
	Message      string           `json:"message,omitempty"`
	RetryAfterMs int64            `json:"retry_after_ms,omitempty"`
	FinishReason string           `json:"finish_reason,omitempty"`
	Tokens       int              `json:"tokens"`
	Usage        *usage           `json:"usage,omitempty"`
}

// completion is the response to a request without streaming.
type completion struct {
	ID      entity.RequestID `json:"id"`
	Object  string           `json:"object"`
	Model   entity.ModelID   `json:"model"`
	Choices []choice         `json:"choices"`
	Usage   usage            `json:"usage"`
}

// token writes one token, or stores its text if the request is not streamed.
func (s *streamWriter) token(index int, text string) error {
	s.tokens++
	if !s.stream {
		s.text.WriteString(text)
		return nil
	}
	s.start()
	return s.event(endpoint.EventToken, tokenEvent{ID: s.id, Index: index, Choices: []choice{{Text: text}}})
}

// start writes the header of a streamed response, once. It has no verdict: that of a
// stream is in its end event.
func (s *streamWriter) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(callerapi.HeaderRequestID, string(s.id))
	s.w.WriteHeader(http.StatusOK)
}

// event writes and flushes one server-sent event. It returns errCallerGone if the
// caller has closed its connection or reads nothing within the write timeout.
func (s *streamWriter) event(name string, data any) error {
	b, err := json.Marshal(data)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.w, "event: %s\ndata: %s\n\n", name, b); err != nil {
		return errCallerGone
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// finish writes the final answer.
func (s *streamWriter) finish(v *verdict.Error, res endpoint.Result) {
	switch {
	case v != nil && !s.started:
		writeError(s.w, s.id, v)
	case s.stream:
		s.start()
		// A write error needs no handling: the request's context ends when the caller closes its connection.
		_ = s.event(endpoint.EventEnd, s.endEvent(v, res))
	default:
		setVerdict(s.w.Header(), s.id, verdict.Ran, verdict.ReasonNone)
		writeJSON(s.w, http.StatusOK, completion{
			ID: s.id, Object: "text_completion", Model: s.model,
			Choices: []choice{{Text: s.text.String(), FinishReason: string(res.FinishReason)}},
			Usage:   usageOf(res),
		})
	}
}

func (s *streamWriter) endEvent(v *verdict.Error, res endpoint.Result) endEvent {
	if v != nil {
		return endEvent{ID: s.id, Verdict: v.Verdict, Reason: v.Reason, Message: v.Message,
			RetryAfterMs: v.RetryAfter.Milliseconds(), Tokens: s.tokens}
	}
	u := usageOf(res)
	return endEvent{ID: s.id, Verdict: verdict.Ran, FinishReason: string(res.FinishReason), Tokens: s.tokens, Usage: &u}
}

func usageOf(res endpoint.Result) usage {
	return usage{PromptTokens: res.PromptTokens, CompletionTokens: res.Tokens, CachedTokens: res.CachedTokens}
}
