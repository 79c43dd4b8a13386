package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/medlarhold/medlarhold/internal/callerapi"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/sse"
	"github.com/medlarhold/medlarhold/internal/standin/engine"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// instance is a fake instance that serves the callers' interface.
type instance struct {
	mu   sync.Mutex
	seen map[string]int // by request key or prompt
	ids  int
	// tokens changes the number of tokens of an answer; end sets whether a stream gets its end
	// event.
	tokens func(n int) int
	end    bool
	// prompt changes the prompt that is answered, id the request id that an answer carries.
	prompt func(string) string
	id     func(entity.RequestID) entity.RequestID
}

func startInstance(t *testing.T) (*instance, string) {
	in := &instance{seen: map[string]int{}, end: true}
	in.tokens = func(n int) int { return n }
	in.prompt = func(p string) string { return p }
	in.id = func(id entity.RequestID) entity.RequestID { return id }
	s := httptest.NewServer(in)
	t.Cleanup(s.Close)
	return in, s.URL
}

// record counts a request by its key or prompt and assigns an id to it.
func (in *instance) record(keyOrPrompt string) entity.RequestID {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.seen[keyOrPrompt]++
	in.ids++
	return entity.RequestID(fmt.Sprintf("id-%d", in.ids))
}

func (in *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c callerapi.Completion
	_ = json.NewDecoder(r.Body).Decode(&c) // calls have no body
	id := in.record(r.Header.Get(callerapi.HeaderRequestKey) + c.Prompt)
	w.Header().Set(callerapi.HeaderRequestID, string(id))
	switch {
	case r.Header.Get("Authorization") != "Bearer k" || r.Header.Get(callerapi.HeaderDeadlineMs) != "30000":
		w.Header().Set(callerapi.HeaderVerdict, string(verdict.NotRun))
		w.Header().Set(callerapi.HeaderReason, string(verdict.ReasonUnauthenticated))
		w.WriteHeader(http.StatusUnauthorized)
	case r.URL.Path != callerapi.PathCompletions:
		w.Header().Set(callerapi.HeaderVerdict, string(verdict.Ran))
		_, _ = io.WriteString(w, r.Method)
	case c.Stream:
		in.stream(w, c, id)
	default:
		w.Header().Set(callerapi.HeaderVerdict, string(verdict.Ran))
		text := engine.Answer(in.prompt(c.Prompt), in.tokens(c.MaxTokens))
		_ = json.NewEncoder(w).Encode(completeAnswer{ID: in.id(id), Choices: []choice{{Text: text}}})
	}
}

func (in *instance) stream(w http.ResponseWriter, c callerapi.Completion, id entity.RequestID) {
	w.Header().Set("Content-Type", sse.ContentType)
	n := in.tokens(c.MaxTokens)
	words := strings.SplitAfter(engine.Answer(in.prompt(c.Prompt), n), " ")
	for i, word := range words[:n] {
		_ = sse.Write(w, endpoint.EventToken, tokenEvent{ID: in.id(id), Index: i, Choices: []choice{{Text: word}}})
	}
	if in.end {
		_ = sse.Write(w, endpoint.EventEnd, endEvent{ID: in.id(id), Verdict: verdict.Ran, Tokens: n})
	}
}

// shortRun returns the settings of a short run against url.
func shortRun(url string) Settings {
	length := Length{Median: 8, Sigma: 0.5}
	return Settings{
		Targets: []string{url}, Run: "t", Seed: 1, RatePerSec: 2000, Requests: 40, Verify: true,
		Profiles: []Profile{
			{Name: "streamed", Key: "k", Tier: "a", Prompt: length, Output: length},
			{Name: "non-streaming", Key: "k", Tier: "a", Prompt: length, Output: length, NonStreaming: true},
			{Name: "booking", Key: "k", Tier: "b", Call: &Call{Method: "POST", Path: "/payouts", Keyed: true}},
			{Name: "unknown-key", Key: "x", Tier: "c", Call: &Call{Method: "GET", Path: "/members"}},
		},
	}
}

func run(t *testing.T, s Settings) (Report, []Answer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var journal bytes.Buffer
	report, err := Run(ctx, s, &journal)
	if err != nil {
		t.Fatal(err)
	}
	var answers []Answer
	lines := bufio.NewScanner(&journal)
	for lines.Scan() {
		var a Answer
		if err := json.Unmarshal(lines.Bytes(), &a); err != nil {
			t.Fatal(err)
		}
		answers = append(answers, a)
	}
	return report, answers
}

func TestRunReportsAnswersByTier(t *testing.T) {
	in, url := startInstance(t)
	report, answers := run(t, shortRun(url))
	if len(answers) != 40 || len(report.Tiers) != 3 {
		t.Fatalf("got %d answers, want 40 in 3 tiers: %+v", len(answers), report)
	}
	for i, tier := range report.Tiers[:2] {
		if tier.Good != tier.Offered || tier.Verdicts["ran"] != tier.Offered || tier.Foreign != 0 {
			t.Errorf("tier %d: got %+v, want only good answers", i, tier)
		}
	}
	refused := report.Tiers[2]
	if refused.Good != 0 || refused.Verdicts["not_run"] != refused.Offered || refused.Reasons["unauthenticated"] != refused.Offered {
		t.Errorf("got %+v, want every request refused as unauthenticated", refused)
	}
	if q := report.Tiers[0].FirstToken; q.P50 <= 0 || q.P99 < q.P50 {
		t.Errorf("got quantiles %+v of the time to the first token, want them positive and ascending", q)
	}
	for keyOrPrompt, n := range in.seen {
		if keyOrPrompt != "" && n != 1 {
			t.Errorf("%s was sent %d times, want once", keyOrPrompt, n)
		}
	}
	keys := map[string]bool{}
	for _, a := range answers {
		if a.RequestID == "" {
			t.Errorf("answer without request id: %+v", a)
		}
		if a.Profile == "booking" && (a.Key == "" || keys[a.Key]) {
			t.Errorf("%s: got key %q, want one that is set and unique", a.RequestID, a.Key)
		}
		keys[a.Key] = a.Key != ""
		if a.Profile == "streamed" && (a.First.IsZero() || a.Tokens == 0 || a.Digest == "") {
			t.Errorf("got %+v, want a first token, tokens and a digest", a)
		}
	}
}

func TestRunDetectsIncompleteAndForeignAnswers(t *testing.T) {
	for name, inject := range map[string]func(*instance){
		"cut off":        func(in *instance) { in.end = false },
		"a token short":  func(in *instance) { in.tokens = func(n int) int { return n - 1 } },
		"another answer": func(in *instance) { in.prompt = func(string) string { return "another" } },
		"another id":     func(in *instance) { in.id = func(entity.RequestID) entity.RequestID { return "another" } },
	} {
		in, url := startInstance(t)
		inject(in)
		s := shortRun(url)
		s.Profiles = s.Profiles[:1]
		report, answers := run(t, s)
		if tier := report.Tiers[0]; tier.Good != 0 || tier.Offered != 40 {
			t.Errorf("%s: got %+v, want 40 offered and none good", name, tier)
		}
		for _, a := range answers {
			if a.Complete == (name == "cut off") || a.Foreign == (name == "cut off") {
				t.Errorf("%s: got %+v, want it incomplete if it was cut off and foreign otherwise", name, a)
			}
		}
	}
}

// firstWriteSignal is a journal that closes written at its first write.
type firstWriteSignal struct {
	bytes.Buffer
	once    sync.Once
	written chan struct{}
}

func (f *firstWriteSignal) Write(p []byte) (int, error) {
	f.once.Do(func() { close(f.written) })
	return f.Buffer.Write(p)
}

// TestRunSendsNothingBeyondItsLimit uses an instance that answers only after the load tool has
// journalled the first request as not sent, so that requests pile up to the limit.
func TestRunSendsNothingBeyondItsLimit(t *testing.T) {
	journal := &firstWriteSignal{written: make(chan struct{})}
	var mu sync.Mutex
	waiting, maxWaiting := 0, 0
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		waiting++
		maxWaiting = max(maxWaiting, waiting)
		mu.Unlock()
		<-journal.written
		mu.Lock()
		waiting--
		mu.Unlock()
	}))
	t.Cleanup(s.Close)
	settings := shortRun(s.URL)
	settings.MaxInFlight = 3
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	report, err := Run(ctx, settings, journal)
	if err != nil {
		t.Fatal(err)
	}
	unsent := 0
	for _, tier := range report.Tiers {
		unsent += tier.Errors["not sent: too many requests in flight"]
	}
	if unsent == 0 || maxWaiting > 3 {
		t.Fatalf("got %d requests not sent and %d at once, want some and at most 3", unsent, maxWaiting)
	}
}

func TestTable(t *testing.T) {
	c := newCollector()
	due := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	add := func(id string, tier string, v verdict.Verdict, r verdict.Reason, totalTime time.Duration) {
		a := Answer{
			RequestID: entity.RequestID(id), Tier: tier, Due: due, Sent: due, First: due.Add(totalTime / 2), End: due.Add(totalTime),
			Status: 200, Verdict: v, Reason: r, Complete: v == verdict.Ran, InTime: true,
		}
		c.add(&a, []time.Duration{totalTime / 10, totalTime / 5})
	}
	add("1", "urgent", verdict.Ran, "", 100*time.Millisecond)
	add("2", "urgent", verdict.Ran, "", 200*time.Millisecond)
	add("3", "patient", verdict.Ran, "", time.Minute)
	add("4", "patient", verdict.NotRun, verdict.ReasonOverload, time.Millisecond)
	add("5", "patient", verdict.NotRun, verdict.ReasonDeadline, time.Millisecond)
	add("6", "patient", "", "", time.Millisecond)
	var table bytes.Buffer
	if err := c.result(10 * time.Second).WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "table", table.Bytes())
}
