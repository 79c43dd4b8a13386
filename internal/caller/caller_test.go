package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/callerapi"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/standin/engine"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

const streamed = `{"model":"narrative","prompt":"A visit report","max_tokens":%d,"stream":true}`

// TestStream: a streamed answer has all tokens, an end mark with its length,
// and its verdict.
func TestStream(t *testing.T) {
	b := newBed(t)
	got := readUntil(t, b.dial(t, fmt.Sprintf(streamed, 5)), `"verdict":"ran"`)
	if strings.Count(got, "event: token") != 5 || !strings.Contains(got, `"tokens":5`) || !strings.Contains(got, "text/event-stream") {
		t.Fatal(got)
	}
}

// TestReadTimeout: a body that doesn't come ends in a refusal, nothing arrives.
func TestReadTimeout(t *testing.T) {
	b := newBed(t, func(b *bed) { b.readTimeout = 100 * time.Millisecond })
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	b.write(t, conn, `{"model`, 100)
	readUntil(t, conn, "bad_request")
	if len(b.control.arrived) != 0 {
		t.Fatal("the request arrived")
	}
}

// TestHalfClosedBody: a caller that closes its side within the body is refused.
func TestHalfClosedBody(t *testing.T) {
	b := newBed(t)
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	b.write(t, conn, `{"model`, 100)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	readUntil(t, conn, "bad_request")
	if len(b.control.arrived) != 0 {
		t.Fatal("the request arrived")
	}
}

// TestAnswerOutlastsReadTimeout: the time that a request may take says nothing
// about the answer.
func TestAnswerOutlastsReadTimeout(t *testing.T) {
	b := newBed(t, func(b *bed) { b.readTimeout = 50 * time.Millisecond })
	conn := b.dial(t, fmt.Sprintf(streamed, 400)) // 200 ms of tokens
	readUntil(t, conn, `"verdict":"ran"`)
	if len(b.control.gone) != 0 {
		t.Fatal("the caller counted as gone")
	}
}

// TestSlowCaller: a caller that takes nothing of its answer gives its slot
// back, and the engine stops.
func TestSlowCaller(t *testing.T) {
	b := newBed(t, func(b *bed) { b.options.WriteTimeout = 100 * time.Millisecond })
	b.dial(t, fmt.Sprintf(streamed, 32768))
	end := await(t, b.control.ended)
	if end.Err == nil || end.Err.Reason != verdict.ReasonCallerGone || end.Release.Failed {
		t.Fatalf("%+v", end)
	}
	b.engineStopped(t)
}

// engineStopped waits until the one stream of the engine has ended.
func (b *bed) engineStopped(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(guard); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if j := b.engine.Journal(); len(j) == 1 && !j[0].Ended.IsZero() {
			return
		}
	}
	t.Fatalf("the engine goes on: %+v", b.engine.Journal())
}

// TestCallerGone: a caller that closes its connection is reported.
func TestCallerGone(t *testing.T) {
	for _, when := range []string{"before the stream", "during the stream"} {
		t.Run(when, func(t *testing.T) {
			b := newBed(t)
			b.control.hold = when == "before the stream"
			conn := b.dial(t, fmt.Sprintf(streamed, 32768))
			a := await(t, b.control.arrived)
			if !b.control.hold {
				readUntil(t, conn, "event: token")
			}
			conn.Close()
			if got := await(t, b.control.gone); got != a.Work.ID {
				t.Fatalf("gone: %s", got)
			}
			why := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCallerGone}
			if b.control.hold {
				b.control.directives <- request.Directive{ID: a.Work.ID, Kind: request.DirectiveFinish, Err: why}
				return
			}
			b.control.directives <- request.Directive{ID: a.Work.ID, Kind: request.DirectiveCancel, Err: why}
			if end := await(t, b.control.ended); end.Err == nil || end.Err.Reason != verdict.ReasonCallerGone {
				t.Fatalf("%+v", end)
			}
			b.engineStopped(t)
		})
	}
}

// TestCancelBeforeDispatch: a cancel that overtakes the dispatch wins, and
// nothing is sent.
func TestCancelBeforeDispatch(t *testing.T) {
	b := newBed(t)
	s := NewServer(b.options)
	e, _ := b.options.State().Endpoint("engine")
	j := &engineJob{s: s, id: "request-1", body: completionBody{Model: "narrative", Prompt: "p", MaxTokens: 5}}
	j.cancel(context.Background(), *e, request.Directive{Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline}})
	j.dispatch(context.Background(), *e, request.Directive{})
	end := await(t, b.control.ended)
	if end.Err == nil || end.Err.Verdict != verdict.NotRun || end.Err.Reason != verdict.ReasonDeadline {
		t.Fatalf("%+v", end.Err)
	}
	if j := b.engine.Journal(); len(j) != 0 {
		t.Fatalf("dispatched: %+v", j)
	}
}

// TestImport: KV cache that another engine holds is moved before the dispatch.
func TestImport(t *testing.T) {
	b := newBed(t)
	body := fmt.Sprintf(`{"model":"narrative","prompt":"%s","max_tokens":2,"stream":true}`, strings.Repeat("visit report ", 50))
	for _, where := range []entity.EndpointID{"other", "engine"} {
		b.control.endpoint = where
		got := readUntil(t, b.dial(t, body), `"verdict":"ran"`)
		if cached := !strings.Contains(got, `"cached_tokens":0`); cached != (where == "engine") {
			t.Fatalf("at %s: %s", where, got)
		}
		b.control.importFrom = where
	}
}

// TestRefusedPrompt: a prompt that the engine can't take says nothing about
// the engine.
func TestRefusedPrompt(t *testing.T) {
	b := newBed(t)
	b.engine.SetFaults(engine.Faults{RefuseWith: http.StatusRequestEntityTooLarge})
	readUntil(t, b.dial(t, fmt.Sprintf(streamed, 5)), "bad_request")
	if end := await(t, b.control.ended); end.Release.Failed || end.Err.Verdict != verdict.NotRun {
		t.Fatalf("%+v", end)
	}
}

// TestOversizedBody: a body over the bound is refused as such.
func TestOversizedBody(t *testing.T) {
	b := newBed(t)
	got := readUntil(t, b.dial(t, strings.Repeat("x", 65<<10)), "body_too_large")
	if !strings.HasPrefix(got, "HTTP/1.1 413") || len(b.control.arrived) != 0 {
		t.Fatal(got)
	}
}

// TestReasonsDocumented: the reference lists every reason with its status code.
func TestReasonsDocumented(t *testing.T) {
	doc, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range verdict.Reasons() {
		if row := fmt.Sprintf("| `%s` | %d |", r, r.HTTPStatus()); !strings.Contains(string(doc), row) {
			t.Errorf("docs/API.md has no row %s", row)
		}
	}
	if got := strings.Count(string(doc), "\n| `"); got < len(verdict.Reasons()) {
		t.Errorf("%d rows", got)
	}
}

// FuzzCompletion: any body is a completion within the bounds, or bad input.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":5,"stream":true}`))
	f.Add([]byte(`{"messages":[{"role":"user","content":"c"}]}`))
	f.Add([]byte(`{"prompt":"p","max_tokens":-1}`))
	f.Add([]byte(`{"prompt":1}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, err := parseCompletion(raw)
		if err != nil {
			if v := verdict.Of(err); v.Verdict != verdict.NotRun || v.Reason != verdict.ReasonBadRequest {
				t.Fatalf("%+v", v)
			}
			return
		}
		if body.Prompt == "" || body.MaxTokens < 1 || body.MaxTokens > limitMaxTokens {
			t.Fatalf("%+v", body)
		}
	})
}

// FuzzHeaders: any headers give an identity within the bounds, or bad input.
func FuzzHeaders(f *testing.F) {
	f.Add("Bearer test", "urgent", "1000", "label")
	f.Add("Bearer test", "", "", "")
	f.Add("Bearer wrong", "urgent", "1000", "")
	f.Add("Basic x", "gold", "-1", "")
	f.Add("Bearer test", "patient", "9223372036854775807", "")
	st := stateOf(f, fmt.Sprintf(configuration, "127.0.0.1:1", "127.0.0.1:2"))
	now := time.Unix(0, 0)
	s := NewServer(Options{Control: newFakeControl(), Clock: func() time.Time { return now }, DefaultDeadline: time.Second, MaxDeadline: time.Hour})
	f.Fuzz(func(t *testing.T, auth, tier, deadline, label string) {
		r := &http.Request{Header: http.Header{"Authorization": {auth}, callerapi.HeaderTier: {tier}, callerapi.HeaderDeadlineMS: {deadline}, callerapi.HeaderLabel: {label}}}
		who, err := s.identify(r, st)
		if err != nil {
			if v := verdict.Of(err); v.Verdict != verdict.NotRun || v.Reason.HTTPStatus() >= 500 {
				t.Fatalf("%+v", v)
			}
			return
		}
		if auth != "Bearer test" || !who.deadline.After(now) || who.deadline.After(now.Add(time.Hour)) {
			t.Fatalf("%+v", who)
		}
	})
}

// FuzzServiceHeaders: headers of the hop never reach the service.
func FuzzServiceHeaders(f *testing.F) {
	f.Add("X-Own", "v", "close, X-Own")
	f.Add("Authorization", "Bearer x", "")
	f.Fuzz(func(t *testing.T, name, value, connection string) {
		h := http.Header{"Authorization": {"Bearer test"}, "Connection": {connection}}
		h.Add(name, value)
		out := passedOn(h)
		for _, hop := range notPassedOn {
			if out.Get(hop) != "" {
				t.Fatalf("%s passed on: %v", hop, out)
			}
		}
		if _, err := json.Marshal(out); err != nil {
			t.Fatal(err)
		}
	})
}
