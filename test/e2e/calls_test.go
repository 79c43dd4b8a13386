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

// calls remembers what callers asked for, by the id that the system gave.
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

// outcome is what one caller ended with.
type outcome struct {
	id      entity.RequestID
	at      *testbed.Instance
	verdict verdict.Verdict
	reason  verdict.Reason
	retry   bool // a time to come back was given
	replay  bool
	// unsent is set when no connection came about.
	unsent bool
	// cut is set when the connection broke before the answer was complete.
	cut  error
	text string
}

// flight is a request under way.
type flight struct {
	first chan struct{} // closed at the first token
	done  chan outcome
}

// wait returns the final outcome.
func (f *flight) wait(c *cluster) outcome {
	c.t.Helper()
	select {
	case o := <-f.done:
		f.done <- o
		return o
	case <-time.After(guard):
		c.t.Fatal("no answer")
		return outcome{}
	}
}

// guard bounds the wait for an event that must come. It is no bound on speed.
const guard = 60 * time.Second

// started waits for the first token.
func (f *flight) started(c *cluster) {
	c.t.Helper()
	select {
	case <-f.first:
	case o := <-f.done:
		f.done <- o
		if o.text == "" {
			c.t.Fatalf("ended before its first token: %+v", o)
		}
	case <-time.After(guard):
		c.t.Fatal("no first token")
	}
}

// retryPause is how long a caller waits before it comes back.
const retryPause = 100 * time.Millisecond

// again says whether a caller comes back by itself: its contract's share was
// on its way to the instance.
func (o outcome) again() bool {
	return o.verdict == verdict.NotRun && o.retry && (o.reason == verdict.ReasonConcurrencyLimit || o.reason == verdict.ReasonRateLimit)
}

// persist sends a request, and again as long as its caller would come back.
func persist(send func() outcome) outcome {
	for end := time.Now().Add(guard); ; time.Sleep(retryPause) {
		if o := send(); !o.again() || time.Now().After(end) {
			return o
		}
	}
}

// stream sends a streamed completion to an instance.
func (c *cluster) stream(in *testbed.Instance, tier string, tokens int) *flight {
	f := newFlight()
	go func() { f.done <- persist(func() outcome { return c.tryStream(in, f, tier, tokens) }) }()
	return f
}

// tryStream sends a streamed completion once.
func (c *cluster) tryStream(in *testbed.Instance, f *flight, tier string, tokens int) outcome {
	n := c.calls.seq.Add(1)
	return c.complete(in, f, fmt.Sprintf("caller-%d", n), tier, fmt.Sprintf("visit report %d", n), tokens)
}

// newFlight returns a flight that has not begun.
func newFlight() *flight { return &flight{first: make(chan struct{}), done: make(chan outcome, 1)} }

// complete carries out one streamed completion and records what its caller saw.
func (c *cluster) complete(in *testbed.Instance, f *flight, caller, tier, prompt string, tokens int) outcome {
	o := outcome{at: in}
	body, _ := json.Marshal(map[string]any{"model": "narrative", "prompt": prompt, "max_tokens": tokens, "stream": true})
	req, _ := http.NewRequest(http.MethodPost, "http://"+in.Callers+"/v1/completions", strings.NewReader(string(body)))
	req.Header.Set("Authorization", "Bearer "+testbed.CallerKey)
	req.Header.Set("X-Medlarhold-Tier", tier)
	req.Header.Set("X-Medlarhold-Deadline-Ms", fmt.Sprint(guard.Milliseconds()))
	sent := time.Now()
	res, err := c.calls.client.Do(req)
	if err != nil {
		o.cut, o.unsent = err, errors.Is(err, syscall.ECONNREFUSED)
		return o
	}
	defer res.Body.Close()
	o.id = entity.RequestID(res.Header.Get("X-Request-ID"))
	c.calls.mu.Lock()
	c.calls.prompt[o.id] = prompt
	c.calls.mu.Unlock()
	c.history.Add(history.Event{At: sent, Kind: history.KindSend, Caller: caller, Request: o.id, Org: "bank", Pool: "reports", Instance: in.ID})
	if res.StatusCode == http.StatusOK {
		o.readStream(res.Body, f)
	} else {
		o.readError(res)
	}
	c.record(caller, o, digest(o.text))
	return o
}

// readStream reads events up to the end mark.
func (o *outcome) readStream(body io.Reader, f *flight) {
	events := sse.NewReader(body, 1<<20)
	tokens := 0
	for {
		ev, err := events.Next()
		if err != nil {
			o.cut = err
			return
		}
		switch ev.Name {
		case endpoint.EventToken:
			var t struct{ Choices []struct{ Text string } }
			if o.cut = json.Unmarshal(ev.Data, &t); o.cut != nil {
				return
			}
			if tokens++; tokens == 1 {
				close(f.first)
			}
			o.text += t.Choices[0].Text
		case endpoint.EventEnd:
			var end struct {
				Verdict    verdict.Verdict
				Reason     verdict.Reason
				Tokens     int
				RetryAfter int `json:"retry_after_ms"`
			}
			if o.cut = json.Unmarshal(ev.Data, &end); o.cut != nil {
				return
			}
			o.verdict, o.reason, o.retry = end.Verdict, end.Reason, end.RetryAfter > 0
			if end.Tokens != tokens {
				o.cut = fmt.Errorf("%d tokens came, the end mark counts %d", tokens, end.Tokens)
			}
			return
		}
	}
}

// readError reads an answer that is not an endpoint's.
func (o *outcome) readError(res *http.Response) {
	o.verdict = verdict.Verdict(res.Header.Get("X-Medlarhold-Verdict"))
	o.reason = verdict.Reason(res.Header.Get("X-Medlarhold-Reason"))
	o.retry = res.Header.Get("Retry-After") != ""
	_, o.cut = io.Copy(io.Discard, bufio.NewReader(res.Body))
}

// book sends a transfer that may not be repeated, under its key.
func (c *cluster) book(in *testbed.Instance, key string) *flight {
	f := newFlight()
	go func() { f.done <- persist(func() outcome { return c.tryBook(in, key) }) }()
	return f
}

// tryBook sends a transfer once.
func (c *cluster) tryBook(in *testbed.Instance, key string) outcome {
	return c.transfer(in, fmt.Sprintf("caller-%d", c.calls.seq.Add(1)), key)
}

func (c *cluster) transfer(in *testbed.Instance, caller, key string) outcome {
	o := outcome{at: in}
	req, _ := http.NewRequest(http.MethodPost, "http://"+in.Callers+"/services/ledger/transfers", strings.NewReader(`{"transfer":"`+key+`"}`))
	req.Header.Set("Authorization", "Bearer "+testbed.CallerKey)
	req.Header.Set("Idempotency-Key", key)
	sent := time.Now()
	res, err := c.calls.client.Do(req)
	if err != nil {
		o.cut, o.unsent = err, errors.Is(err, syscall.ECONNREFUSED)
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
	o.cut = json.NewDecoder(res.Body).Decode(&a)
	c.record(caller, o, callDigest(a.RequestID, a.BodyHash))
	return o
}

// record adds the final answer, or the cut, to the history.
func (c *cluster) record(caller string, o outcome, digest string) {
	e := history.Event{At: time.Now(), Kind: history.KindAnswer, Caller: caller, Request: o.id, Verdict: o.verdict,
		Reason: o.reason, Complete: o.verdict == verdict.Ran, Digest: digest}
	if o.cut != nil {
		e = history.Event{At: time.Now(), Kind: history.KindCut, Request: o.id, Instance: o.at.ID}
	}
	c.history.Add(e)
}
