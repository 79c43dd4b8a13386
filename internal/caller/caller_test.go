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

// TestStream checks that a streamed answer contains all tokens and an end event
// with its length and verdict.
func TestStream(t *testing.T) {
	s := newTestServer(t)
	got := readUntil(t, s.dial(t, fmt.Sprintf(streamed, 5)), `"verdict":"ran"`)
	if strings.Count(got, "event: token") != 5 || !strings.Contains(got, `"tokens":5`) || !strings.Contains(got, "text/event-stream") {
		t.Fatalf("got response %q, want an event stream of 5 tokens with its length", got)
	}
}

// TestReadTimeout checks that a request whose body is not sent in time is refused
// and does not reach the control goroutine.
func TestReadTimeout(t *testing.T) {
	s := newTestServer(t, func(s *testServer) { s.readTimeout = 100 * time.Millisecond })
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	s.write(t, conn, `{"model`, 100)
	readUntil(t, conn, "bad_request")
	if len(s.control.arrived) != 0 {
		t.Fatal("the request reached the control goroutine")
	}
}

// TestHalfClosedBody checks that a request is refused if the caller closes its side
// of the connection before the end of the body.
func TestHalfClosedBody(t *testing.T) {
	s := newTestServer(t)
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	s.write(t, conn, `{"model`, 100)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	readUntil(t, conn, "bad_request")
	if len(s.control.arrived) != 0 {
		t.Fatal("the request reached the control goroutine")
	}
}

// TestAnswerOutlastsReadTimeout guards against a read timeout that also bounds the
// answer: the server would then report the caller of a long stream as gone.
func TestAnswerOutlastsReadTimeout(t *testing.T) {
	s := newTestServer(t, func(s *testServer) { s.readTimeout = 50 * time.Millisecond })
	conn := s.dial(t, fmt.Sprintf(streamed, 400)) // 200 ms of tokens
	readUntil(t, conn, `"verdict":"ran"`)
	if len(s.control.gone) != 0 {
		t.Fatal("the caller was reported as gone during its answer")
	}
}

// TestSlowCaller checks that a request whose caller reads nothing of its answer
// ends, so that its slot is released, and that the engine stops.
func TestSlowCaller(t *testing.T) {
	s := newTestServer(t, func(s *testServer) { s.options.WriteTimeout = 100 * time.Millisecond })
	s.dial(t, fmt.Sprintf(streamed, 32768))
	end := await(t, s.control.ended)
	if end.Err == nil || end.Err.Reason != verdict.ReasonCallerGone || end.Release.Failed {
		t.Fatalf("got end %+v, want reason %s without an endpoint failure", end, verdict.ReasonCallerGone)
	}
	s.awaitStreamEnd(t)
}

// awaitStreamEnd waits until the only stream of the engine has ended.
func (s *testServer) awaitStreamEnd(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if j := s.engine.Journal(); len(j) == 1 && !j[0].Ended.IsZero() {
			return
		}
	}
	t.Fatalf("the stream of the engine has not ended after %v: %+v", waitTimeout, s.engine.Journal())
}

// TestCallerGone checks that a closed connection of a caller is reported, and that
// the cancellation that follows stops the engine.
func TestCallerGone(t *testing.T) {
	for _, when := range []string{"before the stream", "during the stream"} {
		t.Run(when, func(t *testing.T) {
			s := newTestServer(t)
			s.control.manual = when == "before the stream"
			conn := s.dial(t, fmt.Sprintf(streamed, 32768))
			a := await(t, s.control.arrived)
			if !s.control.manual {
				readUntil(t, conn, "event: token")
			}
			conn.Close()
			if got := await(t, s.control.gone); got != a.Work.ID {
				t.Fatalf("caller gone: got request %s, want %s", got, a.Work.ID)
			}
			reason := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCallerGone}
			if s.control.manual {
				s.control.directives <- request.Directive{ID: a.Work.ID, Kind: request.DirectiveFinish, Err: reason}
				return
			}
			s.control.directives <- request.Directive{ID: a.Work.ID, Kind: request.DirectiveCancel, Err: reason}
			if end := await(t, s.control.ended); end.Err == nil || end.Err.Reason != verdict.ReasonCallerGone {
				t.Fatalf("got end %+v, want reason %s", end, verdict.ReasonCallerGone)
			}
			s.awaitStreamEnd(t)
		})
	}
}

// TestCancelBeforeDispatch checks that a cancellation that overtakes the dispatch
// takes effect: nothing is sent to the engine.
func TestCancelBeforeDispatch(t *testing.T) {
	s := newTestServer(t)
	server := NewServer(s.options)
	e, _ := s.options.State().Endpoint("engine")
	j := &engineJob{s: server, id: "request-1", body: completionBody{Model: "narrative", Prompt: "p", MaxTokens: 5}}
	j.cancel(context.Background(), *e, request.Directive{Err: &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline}})
	j.dispatch(context.Background(), *e, request.Directive{})
	end := await(t, s.control.ended)
	if end.Err == nil || end.Err.Verdict != verdict.NotRun || end.Err.Reason != verdict.ReasonDeadline {
		t.Fatalf("got error %+v, want verdict %s and reason %s", end.Err, verdict.NotRun, verdict.ReasonDeadline)
	}
	if j := s.engine.Journal(); len(j) != 0 {
		t.Fatalf("got dispatches %+v, want none", j)
	}
}

// TestImport checks that KV cache that another engine holds is transferred before
// the dispatch.
func TestImport(t *testing.T) {
	s := newTestServer(t)
	body := fmt.Sprintf(`{"model":"narrative","prompt":"%s","max_tokens":2,"stream":true}`, strings.Repeat("visit report ", 50))
	for _, id := range []entity.EndpointID{"other", "engine"} {
		s.control.endpoint = id
		got := readUntil(t, s.dial(t, body), `"verdict":"ran"`)
		if cached := !strings.Contains(got, `"cached_tokens":0`); cached != (id == "engine") {
			t.Fatalf("at %s: got cached tokens: %v, want %v; response %q", id, cached, id == "engine", got)
		}
		s.control.importFrom = id
	}
}

// TestRefusedPrompt checks that a prompt that is too long for the engine does not
// count as a failure of the engine.
func TestRefusedPrompt(t *testing.T) {
	s := newTestServer(t)
	s.engine.SetFaults(engine.Faults{RefuseWith: http.StatusRequestEntityTooLarge})
	readUntil(t, s.dial(t, fmt.Sprintf(streamed, 5)), "bad_request")
	if end := await(t, s.control.ended); end.Release.Failed || end.Err.Verdict != verdict.NotRun {
		t.Fatalf("got end %+v, want verdict %s without an endpoint failure", end, verdict.NotRun)
	}
}

// TestOversizedBody checks that a body over MaxBodyBytes is refused with status 413.
func TestOversizedBody(t *testing.T) {
	s := newTestServer(t)
	got := readUntil(t, s.dial(t, strings.Repeat("x", 65<<10)), "body_too_large")
	if !strings.HasPrefix(got, "HTTP/1.1 413") || len(s.control.arrived) != 0 {
		t.Fatalf("got response %q and %d submitted requests, want status 413 and none", got, len(s.control.arrived))
	}
}

// TestReasonsDocumented checks that docs/API.md lists every reason with its HTTP status.
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
		t.Errorf("docs/API.md: got %d table rows, want at least %d", got, len(verdict.Reasons()))
	}
}

// FuzzCompletion checks that any body is either parsed to a completion within the
// bounds or refused as bad input.
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
				t.Fatalf("got %+v, want verdict %s and reason %s", v, verdict.NotRun, verdict.ReasonBadRequest)
			}
			return
		}
		if body.Prompt == "" || body.MaxTokens < 1 || body.MaxTokens > limitMaxTokens {
			t.Fatalf("got completion %+v, want a prompt and 1 to %d tokens", body, limitMaxTokens)
		}
	})
}

// FuzzHeaders checks that any header values give either an identity with a deadline
// within the bounds or a refusal with verdict NotRun and a status below 500.
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
		r := &http.Request{Header: http.Header{"Authorization": {auth}, callerapi.HeaderTier: {tier}, callerapi.HeaderDeadlineMs: {deadline}, callerapi.HeaderLabel: {label}}}
		ident, err := s.identify(r, st)
		if err != nil {
			if v := verdict.Of(err); v.Verdict != verdict.NotRun || v.Reason.HTTPStatus() >= 500 {
				t.Fatalf("got %+v, want verdict %s and a status below 500", v, verdict.NotRun)
			}
			return
		}
		if auth != "Bearer test" || !ident.deadline.After(now) || ident.deadline.After(now.Add(time.Hour)) {
			t.Fatalf("Authorization %q: got identity %+v, want the right key and a deadline within %v", auth, ident, time.Hour)
		}
	})
}

// FuzzServiceHeaders checks that the header fields in notForwarded are never
// forwarded to a service.
func FuzzServiceHeaders(f *testing.F) {
	f.Add("X-Own", "v", "close, X-Own")
	f.Add("Authorization", "Bearer x", "")
	f.Fuzz(func(t *testing.T, name, value, connection string) {
		h := http.Header{"Authorization": {"Bearer test"}, "Connection": {connection}}
		h.Add(name, value)
		out := forwardedHeader(h)
		for _, field := range notForwarded {
			if out.Get(field) != "" {
				t.Fatalf("%s was forwarded: %v", field, out)
			}
		}
		if _, err := json.Marshal(out); err != nil {
			t.Fatal(err)
		}
	})
}
