package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/history"
	"github.com/medlarhold/medlarhold/internal/standin/engine"
	"github.com/medlarhold/medlarhold/internal/standin/engine/model"
	"github.com/medlarhold/medlarhold/internal/standin/journal"
	"github.com/medlarhold/medlarhold/internal/standin/load"
	"github.com/medlarhold/medlarhold/internal/standin/relay"
	"github.com/medlarhold/medlarhold/internal/standin/serve"
	"github.com/medlarhold/medlarhold/internal/standin/service"
	"github.com/medlarhold/medlarhold/internal/testbed"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// endpoints holds two engines and a plain service, each behind a relay.
type endpoints struct {
	engines []*engine.Server
	service *service.Server
	relays  []*relay.Relay // first those of the engines, then that of the service
}

func startEndpoints(t *testing.T) *endpoints {
	t.Helper()
	out := &endpoints{service: service.New(service.Settings{Delay: 5 * time.Millisecond})}
	for range 2 {
		e, l, err := engine.Start("127.0.0.1:0", engine.Settings{Settings: model.Settings{DecodeTokensPerSec: 400, LoadLag: time.Second}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close(); e.Close() })
		out.engines = append(out.engines, e)
		out.relay(t, l.Address())
	}
	l, err := serve.Listen("127.0.0.1:0", out.service)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	out.relay(t, l.Address())
	return out
}

func (e *endpoints) relay(t *testing.T, target string) {
	t.Helper()
	r, err := relay.Start("127.0.0.1:0", target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	e.relays = append(e.relays, r)
}

// objects returns the configuration objects of the endpoints.
func (e *endpoints) objects() string {
	var b strings.Builder
	for i := range e.engines {
		fmt.Fprintf(&b, `{"kind":"endpoint","name":"engine-%d","spec":{"pool":"reports","zone":"a","address":%q,"models":["narrative"],"slots":8,"kv_tokens":65536}},`,
			i, e.relays[i].Address())
	}
	fmt.Fprintf(&b, `{"kind":"endpoint","name":"ledger","spec":{"pool":"ledger","zone":"a","address":%q,"slots":4}},`, e.relays[2].Address())
	return b.String()
}

// history returns the events that endpoints and callers recorded.
func (e *endpoints) history(answers []load.Answer) []history.Event {
	events := journal.CallerEvents("bank", answers)
	for i, s := range e.engines {
		events = append(events, journal.EngineEvents(entity.EndpointID(fmt.Sprintf("engine-%d", i)), s.Journal())...)
	}
	return append(events, journal.ServiceEvents("ledger", "bank", e.service.Journal())...)
}

// answersJournal collects the answers that the load generator writes. When their number
// reaches a key of faults, it calls the function for that key.
type answersJournal struct {
	t       *testing.T
	mu      sync.Mutex
	answers []load.Answer
	faults  map[int]func()
}

func (j *answersJournal) Write(line []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var a load.Answer
	if err := json.NewDecoder(bytes.NewReader(line)).Decode(&a); err != nil {
		j.t.Error(err)
	}
	j.answers = append(j.answers, a)
	if f := j.faults[len(j.answers)]; f != nil {
		f()
	}
	return len(line), nil
}

// faults returns the functions that inject faults between the instances and their
// endpoints, or end them, by the number of answers after which each is called.
func (e *endpoints) faults() map[int]func() {
	return map[int]func(){
		20:  e.relays[0].StallOpenConnections,
		50:  e.relays[1].CutConnections,
		80:  func() { e.engines[0].SetFaults(engine.Faults{Unanswered: 2, Lost: 2}) },
		110: func() { e.service.SetFaults(service.Faults{Unanswered: 2, Lost: 2}) },
		140: func() {
			e.engines[1].SetFaults(engine.Faults{Cut: engine.Cut{Kind: engine.CutEOF, AfterTokens: 3, Times: 5}})
		},
		170: func() { e.relays[0].SetFaults(relay.Faults{Refuse: true}) },
		200: func() { e.relays[0].SetFaults(relay.Faults{}) },
		210: func() { e.engines[0].SetFaults(engine.Faults{Frozen: true}) },
		240: func() { e.engines[0].SetFaults(engine.Faults{}) },
		260: func() { e.relays[2].CutConnections() },
		280: func() { e.relays[0].StallOpenConnections(); e.relays[1].StallOpenConnections() },
	}
}

func faultyLoad(targets ...string) load.Settings {
	prompt, output := load.Length{Median: 100, Sigma: 1.5, Spread: 20}, load.Length{Median: 10, Sigma: 1, Spread: 10}
	return load.Settings{
		Targets: targets, Run: "faults", Seed: 1, RatePerSec: 60, Requests: 400, Verify: true, DeadlineGrace: 30 * time.Second,
		Profiles: []load.Profile{
			{Name: "lookup", Weight: 2, Key: testbed.CallerKey, Tier: "urgent", Model: "narrative", Prompt: prompt, Output: output},
			{Name: "narrative", Weight: 2, Key: testbed.CallerKey, Tier: "patient", Model: "narrative", Templates: 5, TemplateTokens: 200, Prompt: prompt, Output: output},
			{Name: "whole", Weight: 1, Key: testbed.CallerKey, Tier: "patient", Model: "narrative", NonStreaming: true, Prompt: prompt, Output: output},
			{Name: "transfer", Weight: 1, Key: testbed.CallerKey, Tier: "urgent", Call: &load.Call{Method: "POST", Path: "/services/ledger/transfers", Body: `{"hours":1}`, Keyed: true}},
			{Name: "ledger", Weight: 1, Key: testbed.CallerKey, Tier: "patient", Call: &load.Call{Method: "GET", Path: "/services/ledger/members"}},
		},
	}
}

// TestFaultsBetweenInstancesAndEndpoints sends a mixed load through two instances
// while connections to the endpoints break, become unresponsive or are refused, and
// endpoints freeze and lose requests. The history must violate no guarantee, every
// caller must get a verdict, and at least half of the requests of each tier must count
// as goodput.
func TestFaultsBetweenInstancesAndEndpoints(t *testing.T) {
	b, err := testbed.New(t.TempDir(), programs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	e := startEndpoints(t)
	if err := b.Publish(context.Background(), []byte(fmt.Sprintf(configuration, e.objects()))); err != nil {
		t.Fatal(err)
	}
	var targets []string
	for _, name := range []string{"one", "two"} {
		in, err := b.StartInstance(name, b.InstanceSettings(name, "a"))
		if err != nil {
			t.Fatal(err)
		}
		if err := in.WaitReady(); err != nil {
			t.Fatal(err)
		}
		targets = append(targets, "http://"+in.Callers)
	}
	seen := &answersJournal{t: t, faults: e.faults()}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	report, err := load.Run(ctx, faultyLoad(targets...), seen)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range history.Check(e.history(seen.answers)) {
		t.Errorf("unexpected violation: %+v", v)
	}
	checkAnswers(t, seen.answers)
	for _, tier := range report.Tiers {
		t.Logf("%s: %d of %d good, verdicts %v, reasons %v, errors %v", tier.Tier, tier.Good, tier.Offered, tier.Verdicts, tier.Reasons, tier.Errors)
		if tier.Good*2 < tier.Offered {
			t.Errorf("%s: %d of %d were good, want at least half", tier.Tier, tier.Good, tier.Offered)
		}
	}
}

// checkAnswers checks that each caller got a verdict, its own answer and, if the
// request ran, a complete one.
func checkAnswers(t *testing.T, answers []load.Answer) {
	t.Helper()
	for _, a := range answers {
		switch {
		case a.Foreign:
			t.Errorf("got another caller's answer: %+v", a)
		case a.Error != "" || a.Verdict == "":
			t.Errorf("got no verdict: %+v", a)
		case a.Verdict == verdict.Ran && !a.Complete:
			t.Errorf("verdict is ran, but the answer is incomplete: %+v", a)
		}
	}
}
