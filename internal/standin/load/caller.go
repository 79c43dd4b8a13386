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

	"github.com/cespare/xxhash/v2"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/sse"
	"github.com/medlarhold/medlarhold/internal/standin/engine"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// The headers of the callers' interface.
const (
	headerTier       = "X-Medlarhold-Tier"
	headerDeadline   = "X-Medlarhold-Deadline-Ms"
	headerVerdict    = "X-Medlarhold-Verdict"
	headerReason     = "X-Medlarhold-Reason"
	headerKey        = "Idempotency-Key"
	headerRetryAfter = "Retry-After"
)

const (
	// maxEventBytes bounds one event, maxAnswerBytes a whole answer.
	maxEventBytes  = 1 << 20
	maxAnswerBytes = 64 << 20
)

// completion is the body of a model request.
type completion struct {
	Model     entity.ModelID   `json:"model"`
	Adapter   entity.AdapterID `json:"adapter,omitempty"`
	Prompt    string           `json:"prompt"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// outcome is the data of a streamed answer's end mark.
type outcome struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
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

func (c *caller) do(ctx context.Context) {
	p := c.arrival.Profile
	ctx, cancel := context.WithTimeout(ctx, p.Deadline+c.settings.Patience)
	defer cancel()
	c.answer.Sent = time.Now()
	err := c.exchange(ctx)
	c.answer.End = time.Now()
	c.answer.InTime = c.answer.End.Sub(c.answer.Due) <= p.Deadline
	if c.text.Len() > 0 {
		c.answer.Hash = strconv.FormatUint(xxhash.Sum64String(c.text.String()), 16)
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
	a.Verdict = verdict.Verdict(resp.Header.Get(headerVerdict))
	a.Reason = verdict.Reason(resp.Header.Get(headerReason))
	a.RetryAfter = resp.Header.Get(headerRetryAfter)
	a.Foreign = resp.Header.Get(endpoint.HeaderRequestID) != string(c.arrival.ID)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), sse.ContentType) {
		return c.readStream(resp.Body)
	}
	return c.readWhole(resp.Body)
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
	req.GetBody = nil // a request is never sent again
	p := c.arrival.Profile
	req.Header.Set("Authorization", "Bearer "+p.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerTier, p.Tier)
	req.Header.Set(headerDeadline, strconv.FormatInt(p.Deadline.Milliseconds(), 10))
	req.Header.Set(endpoint.HeaderRequestID, string(c.arrival.ID))
	if c.arrival.Key != "" {
		req.Header.Set(headerKey, c.arrival.Key)
	}
	return req, nil
}

// content returns method, path and body of the request.
func (c *caller) content() (method, path string, body []byte, err error) {
	p := c.arrival.Profile
	if p.Call != nil {
		return p.Call.Method, p.Call.Path, []byte(p.Call.Body), nil
	}
	body, err = json.Marshal(completion{
		Model: p.Model, Adapter: p.Adapter, Prompt: c.arrival.Prompt, MaxTokens: c.arrival.MaxTokens, Stream: !p.Whole,
	})
	return http.MethodPost, "/v1/completions", body, err
}

// readStream reads a streamed answer up to its end mark.
func (c *caller) readStream(body io.Reader) error {
	events := sse.NewReader(body, maxEventBytes)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return errors.New("answer without end mark")
		}
		if err != nil {
			return err
		}
		switch ev.Name {
		case endpoint.EventToken:
			err = c.takeToken(ev.Data)
		case endpoint.EventEnd:
			return c.takeEnd(ev.Data)
		}
		if err != nil {
			return err
		}
	}
}

func (c *caller) takeToken(data []byte) error {
	var t endpoint.Token
	if err := json.Unmarshal(data, &t); err != nil {
		return err
	}
	if t.Index != c.answer.Tokens {
		return fmt.Errorf("token %d where %d is due", t.Index, c.answer.Tokens)
	}
	now := time.Now()
	if t.Index == 0 {
		c.answer.First = now
	} else {
		c.gaps = append(c.gaps, now.Sub(c.answer.Last))
	}
	c.answer.Last = now
	c.answer.Tokens++
	c.text.WriteString(t.Text)
	return nil
}

func (c *caller) takeEnd(data []byte) error {
	var end outcome
	if err := json.Unmarshal(data, &end); err != nil {
		return err
	}
	c.answer.Verdict, c.answer.Reason = end.Verdict, end.Reason
	c.answer.Complete = end.Verdict == verdict.Ran
	c.verify(engine.Answer(c.arrival.Prompt, c.answer.Tokens))
	return nil
}

// readWhole reads an answer that is not streamed.
func (c *caller) readWhole(body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return err
	}
	c.text.Write(data)
	c.answer.Complete = true
	if c.arrival.Profile.Call != nil || c.answer.Verdict != verdict.Ran {
		return nil
	}
	var whole struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &whole); err != nil {
		return err
	}
	c.text.Reset()
	c.text.WriteString(whole.Text)
	c.answer.Tokens = c.arrival.MaxTokens
	c.verify(engine.Answer(c.arrival.Prompt, c.answer.Tokens))
	return nil
}

// verify compares an answer that ran with the one that the stand-in gives.
func (c *caller) verify(want string) {
	if !c.settings.Verify || c.answer.Verdict != verdict.Ran {
		return
	}
	if c.text.String() != want || c.answer.Tokens != c.arrival.MaxTokens {
		c.answer.Foreign = true
	}
}
