package e2e

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/sse"
	"github.com/medlarhold/medlarhold/internal/standin/service"
	"github.com/medlarhold/medlarhold/internal/testbed"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// calls holds the callers' HTTP client, the number of calls so far, and the prompts
// that callers sent, by the request id that the system assigned.
type calls struct {
	client *http.Client
	seq    atomic.Int64
	mu     sync.Mutex
	prompt map[entity.RequestID]string
}

func newCalls() *calls {
	return &calls{
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		prompt: make(map[entity.RequestID]string),
	}
}

// outcome is the result of one request as its caller saw it.
type outcome struct {
	id            entity.RequestID
	instance      *testbed.Instance
	verdict       verdict.Verdict
	reason        verdict.Reason
	hasRetryAfter bool // the response gave a retry delay
	replay        bool // the response repeats an earlier one under the same key
	// unsent is set when the connection was refused, so that nothing was sent.
	unsent bool
	// err is set when the connection broke before the response was complete, or
	// when the response was malformed.
	err  error
	text string
}

// pendingRequest is a request that is sent in the background.
type pendingRequest struct {
	first chan struct{} // closed at the first token
	done  chan outcome
}

// wait waits for the final outcome and returns it. It may be called repeatedly.
func (p *pendingRequest) wait(c *cluster) outcome {
	c.t.Helper()
	select {
	case o := <-p.done:
		p.done <- o
		return o
	case <-time.After(waitTimeout):
		c.t.Fatal("timed out waiting for a response")
		return outcome{}
	}
}

// waitTimeout limits the wait for an event that must occur. It is generous, as it does
// not test speed.
const waitTimeout = 60 * time.Second

// waitFirstToken waits for the first token, and ends the test if the request ends
// without one.
func (p *pendingRequest) waitFirstToken(c *cluster) {
	c.t.Helper()
	select {
	case <-p.first:
	case o := <-p.done:
		p.done <- o
		if o.text == "" {
			c.t.Fatalf("the request ended before its first token: %+v", o)
		}
	case <-time.After(waitTimeout):
		c.t.Fatal("timed out waiting for the first token")
	}
}

// retryPause is the time after which a caller retries.
const retryPause = 100 * time.Millisecond

// shouldRetry reports whether a caller retries by itself: its request was not run
// because the instance did not hold a sufficient share of the contract's limits yet.
func (o outcome) shouldRetry() bool {
	return o.verdict == verdict.NotRun && o.hasRetryAfter && (o.reason == verdict.ReasonConcurrencyLimit || o.reason == verdict.ReasonRateLimit)
}

// sendWithRetries repeats a request while shouldRetry returns true for its outcome, for
// at most waitTimeout.
func sendWithRetries(send func() outcome) outcome {
	for end := time.Now().Add(waitTimeout); ; time.Sleep(retryPause) {
		if o := send(); !o.shouldRetry() || time.Now().After(end) {
			return o
		}
	}
}

// stream starts sending a streamed completion to an instance, with retries.
func (c *cluster) stream(in *testbed.Instance, tier string, tokens int) *pendingRequest {
	p := newPendingRequest()
	go func() { p.done <- sendWithRetries(func() outcome { return c.tryStream(in, p, tier, tokens) }) }()
	return p
}

// tryStream sends a streamed completion once.
func (c *cluster) tryStream(in *testbed.Instance, p *pendingRequest, tier string, tokens int) outcome {
	n := c.calls.seq.Add(1)
	return c.sendCompletion(in, p, fmt.Sprintf("caller-%d", n), tier, fmt.Sprintf("visit report %d", n), tokens)
}

// newPendingRequest returns a pendingRequest that has not been sent.
func newPendingRequest() *pendingRequest {
	return &pendingRequest{first: make(chan struct{}), done: make(chan outcome, 1)}
}

// sendCompletion sends one streamed completion, reads its response and records both in the
// history.
func (c *cluster) sendCompletion(in *testbed.Instance, p *pendingRequest, caller, tier, prompt string, tokens int) outcome {
	o := outcome{instance: in}
	body, _ := json.Marshal(map[string]any{"model": "narrative", "prompt": prompt, "max_tokens": tokens, "stream": true})
	req, _ := http.NewRequest(http.MethodPost, "http://"+in.Callers+"/v1/completions", strings.NewReader(string(body)))
	req.Header.Set("Authorization", "Bearer "+testbed.CallerKey)
	req.Header.Set("X-Medlarhold-Tier", tier)
	req.Header.Set("X-Medlarhold-Deadline-Ms", fmt.Sprint(waitTimeout.Milliseconds()))
	sent := time.Now()
	res, err := c.calls.client.Do(req)
	if err != nil {
		o.err, o.unsent = err, errors.Is(err, syscall.ECONNREFUSED)
		return o
	}
	defer res.Body.Close()
	o.id = entity.RequestID(res.Header.Get("X-Request-ID"))
	c.calls.mu.Lock()
	c.calls.prompt[o.id] = prompt
	c.calls.mu.Unlock()
	c.history.Add(history.Event{At: sent, Kind: history.KindSend, Caller: caller, Request: o.id, Org: "bank", Pool: "reports", Instance: in.ID})
	if res.StatusCode == http.StatusOK {
		o.readStream(res.Body, p)
	} else {
		o.readError(res)
	}
	c.record(caller, o, digest(o.text))
	return o
}

// readStream reads events up to the end event.
func (o *outcome) readStream(body io.Reader, p *pendingRequest) {
	events := sse.NewReader(body, 1<<20)
	tokens := 0
	for {
		ev, err := events.Next()
		if err != nil {
			o.err = err
			return
		}
		switch ev.Name {
		case endpoint.EventToken:
			var t struct{ Choices []struct{ Text string } }
			if o.err = json.Unmarshal(ev.Data, &t); o.err != nil {
				return
			}
			if tokens++; tokens == 1 {
				close(p.first)
			}
			o.text += t.Choices[0].Text
		case endpoint.EventEnd:
			var end struct {
				Verdict    verdict.Verdict
				Reason     verdict.Reason
				Tokens     int
				RetryAfter int `json:"retry_after_ms"`
			}
			if o.err = json.Unmarshal(ev.Data, &end); o.err != nil {
				return
			}
			o.verdict, o.reason, o.hasRetryAfter = end.Verdict, end.Reason, end.RetryAfter > 0
			if end.Tokens != tokens {
				o.err = fmt.Errorf("got %d tokens, the end event counts %d", tokens, end.Tokens)
			}
			return
		}
	}
}

// readError reads an error response.
func (o *outcome) readError(res *http.Response) {
	o.verdict = verdict.Verdict(res.Header.Get("X-Medlarhold-Verdict"))
	o.reason = verdict.Reason(res.Header.Get("X-Medlarhold-Reason"))
	o.hasRetryAfter = res.Header.Get("Retry-After") != ""
	_, o.err = io.Copy(io.Discard, bufio.NewReader(res.Body))
}

// transfer starts sending a transfer, a non-idempotent call, under an idempotency key,
// with retries.
func (c *cluster) transfer(in *testbed.Instance, key string) *pendingRequest {
	p := newPendingRequest()
	go func() { p.done <- sendWithRetries(func() outcome { return c.tryTransfer(in, key) }) }()
	return p
}

// tryTransfer sends a transfer once, as a new caller.
func (c *cluster) tryTransfer(in *testbed.Instance, key string) outcome {
	return c.sendTransfer(in, fmt.Sprintf("caller-%d", c.calls.seq.Add(1)), key)
}

// sendTransfer sends one transfer, reads its response and records both in the history.
func (c *cluster) sendTransfer(in *testbed.Instance, caller, key string) outcome {
	o := outcome{instance: in}
	req, _ := http.NewRequest(http.MethodPost, "http://"+in.Callers+"/services/ledger/transfers", strings.NewReader(`{"transfer":"`+key+`"}`))
	req.Header.Set("Authorization", "Bearer "+testbed.CallerKey)
	req.Header.Set("Idempotency-Key", key)
	sent := time.Now()
	res, err := c.calls.client.Do(req)
	if err != nil {
		o.err, o.unsent = err, errors.Is(err, syscall.ECONNREFUSED)
		return o
	}
	defer res.Body.Close()
	o.id = entity.RequestID(res.Header.Get("X-Request-ID"))
	c.history.Add(history.Event{At: sent, Kind: history.KindSend, Caller: caller, Request: o.id, Org: "bank", Key: key, Pool: "ledger", Instance: in.ID})
	o.replay = res.Header.Get("X-Medlarhold-Replayed") != ""
	if res.StatusCode != http.StatusOK {
		o.readError(res)
		c.record(caller, o, "")
		return o
	}
	o.verdict = verdict.Verdict(res.Header.Get("X-Medlarhold-Verdict"))
	var a service.Answer
	o.err = json.NewDecoder(res.Body).Decode(&a)
	c.record(caller, o, callDigest(a.RequestID, a.BodyHash))
	return o
}

// record adds the final answer, or the loss of the connection, to the history.
func (c *cluster) record(caller string, o outcome, digest string) {
	e := history.Event{At: time.Now(), Kind: history.KindAnswer, Caller: caller, Request: o.id, Verdict: o.verdict,
		Reason: o.reason, Complete: o.verdict == verdict.Ran, Digest: digest}
	if o.err != nil {
		e = history.Event{At: time.Now(), Kind: history.KindCut, Request: o.id, Instance: o.instance.ID}
	}
	c.history.Add(e)
}
