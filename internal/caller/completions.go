package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/intake"
	"github.com/medlarhold/medlarhold/internal/prefix"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// Bounds of a completion request.
const (
	defaultMaxTokens = 256
	limitMaxTokens   = 32768
)

// completionBody is the body of POST /v1/completions. Unknown fields are ignored,
// as by engines.
type completionBody struct {
	Model     entity.ModelID   `json:"model"`
	Adapter   entity.AdapterID `json:"adapter,omitempty"`
	Prompt    string           `json:"prompt"`
	Messages  []message        `json:"messages,omitempty"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Stream    bool             `json:"stream,omitempty"`
}

// message is one turn of a conversation.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completions handles POST /v1/completions.
func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	id := s.opts.NewID()
	arrival, body, ident, err := s.readCompletion(w, r, id)
	if err != nil {
		s.refuse(w, id, err)
		return
	}
	out := newStreamWriter(w, id, body.Model, body.Stream)
	job := &engineJob{s: s, out: out, body: body, id: id}
	s.run(r.Context(), arrival, job, ident)
}

// readCompletion authenticates the caller and reads a completion request. Its
// errors are refusals for the caller.
func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request, id entity.RequestID) (request.Arrival, completionBody, identity, error) {
	var body completionBody
	st := s.opts.State()
	ident, err := s.identify(r, st)
	if err != nil {
		return request.Arrival{}, body, ident, trace.Wrap(err)
	}
	raw, err := readBody(w, r, s.opts.MaxBodyBytes)
	if err != nil {
		return request.Arrival{}, body, ident, trace.Wrap(err)
	}
	if !intake.HoldOf(r).Grow(parsedBytes(raw)) {
		return request.Arrival{}, body, ident, noMemoryError()
	}
	if body, err = parseCompletion(raw); err != nil {
		return request.Arrival{}, body, ident, trace.Wrap(err)
	}
	work, err := s.completionWork(st, ident, body, id)
	return request.Arrival{Work: work}, body, ident, trace.Wrap(err)
}

// What a body takes in memory once parsed, in bytes: each object in it, and each byte, which is held as parsed, joined
// into the prompt and written to the engine.
const (
	objectBytes = 96
	copies      = 3
)

// parsedBytes bounds what a body takes in memory once it is parsed.
func parsedBytes(raw []byte) int64 {
	return int64(copies*len(raw) + objectBytes*bytes.Count(raw, []byte{'{'}))
}

// parseCompletion decodes and validates the body. If there is no prompt, it joins
// the messages of the conversation into one.
func parseCompletion(raw []byte) (completionBody, error) {
	var body completionBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return body, inputError(verdict.ReasonBadRequest, "the body is not a completion request: %v", err)
	}
	if body.Prompt == "" {
		body.Prompt = joinMessages(body.Messages)
	}
	if body.Prompt == "" {
		return body, inputError(verdict.ReasonBadRequest, "prompt or messages is required")
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultMaxTokens
	}
	if body.MaxTokens < 0 || body.MaxTokens > limitMaxTokens {
		return body, inputError(verdict.ReasonBadRequest, "max_tokens must be between 1 and %d", limitMaxTokens)
	}
	return body, nil
}

func joinMessages(messages []message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// completionWork returns the description of the request for the decision core.
func (s *Server) completionWork(st config.State, ident identity, body completionBody, id entity.RequestID) (entity.Work, error) {
	model, ok := st.Model(body.Model)
	if !ok {
		return entity.Work{}, inputError(verdict.ReasonUnknownModel, "no model %q is configured", body.Model)
	}
	return entity.Work{
		ID: id, Org: ident.contract.Organisation, Pool: model.Pool, Model: body.Model, Adapter: body.Adapter,
		Tier: ident.tier, Prefix: s.prefixOf(body.Prompt),
		PromptTokens: prefix.Tokens(body.Prompt), MaxTokens: body.MaxTokens,
		Deadline: ident.deadline, ShedRank: ident.shedRank,
	}, nil
}

// prefixOf returns the block hashes by which owners compare the start of the
// prompt, at most MaxPrefixBlocks.
func (s *Server) prefixOf(prompt string) []entity.BlockHash {
	head := prefix.Head(prompt, s.opts.MaxPrefixBlocks*s.opts.PrefixBlockTokens)
	return prefix.Sample(prefix.Hash(head, s.opts.EngineBlockTokens), s.opts.PrefixBlockTokens/s.opts.EngineBlockTokens)
}
