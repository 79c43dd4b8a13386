package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/medlarhold/medlarhold/internal/callerapi"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/sse"
	"github.com/medlarhold/medlarhold/internal/standin/engine"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const (
	// maxEventBytes bounds one event of a stream, maxAnswerBytes an answer that is not streamed.
	maxEventBytes  = 1 << 20
	maxAnswerBytes = 64 << 20
)

// tokenEvent is the data of a streamed token.
type tokenEvent struct {
	ID      entity.RequestID `json:"id"`
	Index   int              `json:"index"`
	Choices []choice         `json:"choices"`
}

// choice is one of the alternatives of an answer. The system returns exactly one.
type choice struct {
	Text string `json:"text"`
}

// endEvent is the data of a streamed answer's end event.
type endEvent struct {
	ID      entity.RequestID `json:"id"`
	Verdict verdict.Verdict  `json:"verdict"`
	Reason  verdict.Reason   `json:"reason"`
	Tokens  int              `json:"tokens"`
}

// completeAnswer is an answer that is not streamed.
type completeAnswer struct {
	ID      entity.RequestID `json:"id"`
	Choices []choice         `json:"choices"`
}

// caller sends one request and reads its answer.
type caller struct {
	client   *http.Client
	settings Settings
	arrival  Arrival
	answer   *Answer
	gaps     []time.Duration // between tokens
	text     strings.Builder
}

func (c *caller) run(ctx context.Context) {
	p := c.arrival.Profile
	ctx, cancel := context.WithTimeout(ctx, p.Deadline+c.settings.DeadlineGrace)
	defer cancel()
	c.answer.Sent = time.Now()
	err := c.exchange(ctx)
	c.answer.End = time.Now()
	c.answer.InTime = c.answer.End.Sub(c.answer.Due) <= p.Deadline
	if c.text.Len() > 0 {
		c.answer.Digest = engine.Digest(c.text.String())
	}
	if err != nil {
		c.answer.Complete = false
		c.answer.Error = err.Error()
	}
}

func (c *caller) exchange(ctx context.Context) error {
	req, err := c.request(ctx)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	a := c.answer
	a.Status = resp.StatusCode
	a.Verdict = verdict.Verdict(resp.Header.Get(callerapi.HeaderVerdict))
	a.Reason = verdict.Reason(resp.Header.Get(callerapi.HeaderReason))
	a.RetryAfter = resp.Header.Get("Retry-After")
	a.RequestID = entity.RequestID(resp.Header.Get(callerapi.HeaderRequestID))
	if strings.HasPrefix(resp.Header.Get("Content-Type"), sse.ContentType) {
		return c.readStream(resp.Body)
	}
	return c.readComplete(resp.Body)
}

func (c *caller) request(ctx context.Context) (*http.Request, error) {
	method, path, body, err := c.content()
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.arrival.Target+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // without it net/http does not send the request again
	p := c.arrival.Profile
	req.Header.Set("Authorization", "Bearer "+p.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(callerapi.HeaderTier, p.Tier)
	req.Header.Set(callerapi.HeaderDeadlineMs, strconv.FormatInt(p.Deadline.Milliseconds(), 10))
	if c.arrival.Key != "" {
		req.Header.Set(callerapi.HeaderRequestKey, c.arrival.Key)
	}
	return req, nil
}

// content returns method, path and body of the request.
func (c *caller) content() (method, path string, body []byte, err error) {
	p := c.arrival.Profile
	if p.Call != nil {
		return p.Call.Method, p.Call.Path, []byte(p.Call.Body), nil
	}
	body, err = json.Marshal(callerapi.Completion{
		Model: string(p.Model), Adapter: string(p.Adapter), Prompt: c.arrival.Prompt, MaxTokens: c.arrival.MaxTokens, Stream: !p.NonStreaming,
	})
	return http.MethodPost, callerapi.PathCompletions, body, err
}

// readStream reads a streamed answer up to its end event.
func (c *caller) readStream(body io.Reader) error {
	events := sse.NewReader(body, maxEventBytes)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return errors.New("stream ended without an end event")
		}
		if err != nil {
			return err
		}
		switch ev.Name {
		case endpoint.EventToken:
			err = c.handleToken(ev.Data)
		case endpoint.EventEnd:
			return c.handleEnd(ev.Data)
		}
		if err != nil {
			return err
		}
	}
}

func (c *caller) handleToken(data []byte) error {
	var t tokenEvent
	if err := json.Unmarshal(data, &t); err != nil {
		return err
	}
	if t.Index != c.answer.Tokens || len(t.Choices) != 1 {
		return fmt.Errorf("received token %d, expected token %d", t.Index, c.answer.Tokens)
	}
	c.checkID(t.ID)
	now := time.Now()
	if t.Index == 0 {
		c.answer.First = now
	} else {
		c.gaps = append(c.gaps, now.Sub(c.answer.Last))
	}
	c.answer.Last = now
	c.answer.Tokens++
	c.text.WriteString(t.Choices[0].Text)
	return nil
}

func (c *caller) handleEnd(data []byte) error {
	var end endEvent
	if err := json.Unmarshal(data, &end); err != nil {
		return err
	}
	c.checkID(end.ID)
	c.answer.Verdict, c.answer.Reason = end.Verdict, end.Reason
	c.answer.Complete = end.Verdict == verdict.Ran && end.Tokens == c.answer.Tokens
	c.verify()
	return nil
}

// checkID marks the answer as foreign if a part of it carries the id of another request.
func (c *caller) checkID(id entity.RequestID) {
	if id != c.answer.RequestID {
		c.answer.Foreign = true
	}
}

// readComplete reads an answer that is not streamed.
func (c *caller) readComplete(body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return err
	}
	c.text.Write(data)
	c.answer.Complete = true
	if c.arrival.Profile.Call != nil || c.answer.Verdict != verdict.Ran {
		return nil
	}
	var parsed completeAnswer
	if err := json.Unmarshal(data, &parsed); err != nil {
		return err
	}
	if len(parsed.Choices) != 1 {
		return fmt.Errorf("answer has %d choices, expected 1", len(parsed.Choices))
	}
	c.checkID(parsed.ID)
	c.text.Reset()
	c.text.WriteString(parsed.Choices[0].Text)
	c.answer.Tokens = c.arrival.MaxTokens
	c.verify()
	return nil
}

// verify marks the answer as foreign if it differs from the one that the simulated engine gives to
// this prompt.
func (c *caller) verify() {
	if !c.settings.Verify || c.answer.Verdict != verdict.Ran {
		return
	}
	want := engine.Answer(c.arrival.Prompt, c.arrival.MaxTokens)
	if c.text.String() != want || c.answer.Tokens != c.arrival.MaxTokens {
		c.answer.Foreign = true
	}
}
