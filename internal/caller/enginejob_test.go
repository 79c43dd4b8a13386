package caller

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/medlarhold/medlarhold/internal/config"
	"github.com/medlarhold/medlarhold/internal/core/entity"
	"github.com/medlarhold/medlarhold/internal/core/request"
	"github.com/medlarhold/medlarhold/internal/endpoint"
	"github.com/medlarhold/medlarhold/internal/prefix"
	"github.com/medlarhold/medlarhold/internal/standin/engine"
	"github.com/medlarhold/medlarhold/internal/standin/engine/model"
	"github.com/medlarhold/medlarhold/internal/telemetry"
	"github.com/medlarhold/medlarhold/internal/verdict"
)

// endRecorder is a Control that only records the ends of dispatches.
type endRecorder struct {
	Control
	ends chan request.End
}

func (r *endRecorder) Ended(_ entity.RequestID, end request.End) { r.ends <- end }

var jobPrompt = strings.Repeat("the shelves were full; ", 40)

// jobFixture is an engineJob with a simulated engine.
type jobFixture struct {
	job      *engineJob
	engine   *engine.Server
	endpoint entity.Endpoint
	ends     chan request.End
	metrics  *telemetry.Metrics
	client   *endpoint.Client
}

func startFastEngine(t *testing.T) (*engine.Server, string) {
	t.Helper()
	e, l, err := engine.Start("127.0.0.1:0", engine.Settings{
		Settings:  model.Settings{PrefillTokensPerSec: 1e6, DecodeTokensPerSec: 5000},
		Keepalive: 10 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); e.Close() })
	return e, l.Address()
}

func newJobFixture(t *testing.T, tokens int) *jobFixture {
	t.Helper()
	e, address := startFastEngine(t)
	f := &jobFixture{engine: e, endpoint: entity.Endpoint{Address: address}, ends: make(chan request.End, 1), metrics: telemetry.NewMetrics()}
	f.client = endpoint.New(endpoint.Options{
		NoProgress: 100 * time.Millisecond, ReattachPause: time.Millisecond, ReattachAttempts: 1, Metrics: f.metrics.Registry(),
	})
	t.Cleanup(f.client.Close)
	s := NewServer(Options{
		Control: &endRecorder{ends: f.ends}, Endpoints: f.client, Clock: time.Now, Metrics: f.metrics,
		EngineBlockTokens: prefix.DefaultBlockTokens, PrefixBlockTokens: 64, MaxPrefixBlocks: 64, State: func() config.State { return config.State{} },
	})
	f.job = &engineJob{
		s: s, id: "r-1", body: completionBody{Model: "m", Prompt: jobPrompt, MaxTokens: tokens},
		out: newStreamWriter(httptest.NewRecorder(), "r-1", "m", true),
	}
	return f
}

func (f *jobFixture) dispatch() {
	f.job.dispatch(context.Background(), f.endpoint, request.Directive{})
}

// waitUntil waits until holds is true for the request's entry in the engine's journal.
func (f *jobFixture) waitUntil(t *testing.T, holds func(engine.Entry) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if _, err := f.engine.Await(ctx, f.job.id, holds); err != nil {
		t.Fatalf("%v: %+v", err, f.engine.Journal())
	}
}

// TestCancelledDispatchReportsItsPrefill checks that the prefill tokens of a
// cancelled request are reported to the owner and counted as wasted.
func TestCancelledDispatchReportsItsPrefill(t *testing.T) {
	f := newJobFixture(t, 30_000)
	go f.dispatch()
	f.waitUntil(t, func(e engine.Entry) bool { return !e.Started.IsZero() })
	reason := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonPreempted}
	f.job.cancel(context.Background(), f.endpoint, request.Directive{Err: reason})
	end := <-f.ends
	if end.Err != reason || end.Release.PrefillTokens == 0 {
		t.Fatalf("got error %+v and release %+v, want error %+v and prefill tokens", end.Err, end.Release, reason)
	}
	if got := f.metrics.WastedPrefillTokens.Count(); got != int64(end.Release.PrefillTokens) {
		t.Fatalf("wasted prefill tokens: got %d, want %d", got, end.Release.PrefillTokens)
	}
}

func TestCancelBeforeDispatchPreventsIt(t *testing.T) {
	f := newJobFixture(t, 10)
	reason := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline}
	f.job.cancel(context.Background(), f.endpoint, request.Directive{Err: reason})
	f.dispatch()
	end := <-f.ends
	if end.Err.Verdict != verdict.NotRun || end.Err.Reason != verdict.ReasonDeadline {
		t.Fatalf("got error %+v, want verdict %s and reason %s", end.Err, verdict.NotRun, verdict.ReasonDeadline)
	}
	if j := f.engine.Journal(); len(j) != 0 {
		t.Fatalf("got dispatches %+v, want none", j)
	}
}

// TestAbandonedStreamIsCancelled checks that the stream is cancelled at the engine
// if its connections fail until the job gives up. Otherwise the engine would
// continue to generate tokens that no one reads.
func TestAbandonedStreamIsCancelled(t *testing.T) {
	f := newJobFixture(t, 30_000)
	f.engine.SetFaults(engine.Faults{Cut: engine.Cut{Kind: engine.CutAbort, Times: 2}})
	f.dispatch()
	end := <-f.ends
	if end.Err == nil || end.Err.Verdict != verdict.MayHaveRun || !end.Release.Failed {
		t.Fatalf("got end %+v, want verdict %s and an endpoint failure", end, verdict.MayHaveRun)
	}
	f.waitUntil(t, func(e engine.Entry) bool { return e.End.FinishReason == endpoint.FinishCancelled })
}

func TestKVCacheIsTransferredBeforeDispatch(t *testing.T) {
	f := newJobFixture(t, 5)
	_, from := startFastEngine(t)
	warm := endpoint.GenerateRequest{RequestID: "w", Model: "m", Prompt: jobPrompt, MaxTokens: 1}
	if _, err := f.client.Generate(context.Background(), from, warm, func(endpoint.Token) error { return nil }); err != nil {
		t.Fatal(err)
	}
	f.job.transferKV(context.Background(), from, f.endpoint.Address)
	f.dispatch()
	if end := <-f.ends; end.Err != nil || end.Release.PrefillTokens >= prefix.DefaultBlockTokens {
		t.Fatalf("got end %+v, want fewer than %d prefill tokens", end, prefix.DefaultBlockTokens)
	}
}

// TestPrefixBlocksMatchEngineBlocks checks that each block hash sent to owners
// equals the hash under which the engine reports the end of the same block as
// stored. Otherwise owners would find no request's prefix in an engine's cache.
func TestPrefixBlocksMatchEngineBlocks(t *testing.T) {
	f := newJobFixture(t, 1)
	f.dispatch()
	<-f.ends
	events, err := f.client.CacheEvents(context.Background(), f.endpoint.Address, 0)
	if err != nil || len(events.Events) != 1 {
		t.Fatalf("got cache events %+v and error %v, want one event", events, err)
	}
	stored := endpoint.FromWire(events.Events[0].Stored)
	blocks := f.job.s.prefixOf(jobPrompt)
	if len(blocks) != prefix.Tokens(jobPrompt)/64 {
		t.Fatalf("got %d blocks, want %d", len(blocks), prefix.Tokens(jobPrompt)/64)
	}
	for i, h := range blocks {
		if stored[4*i+3] != h {
			t.Fatalf("block %d: got hash %x, want the engine's %x", i, h, stored[4*i+3])
		}
	}
}

func TestPrefixIsBounded(t *testing.T) {
	f := newJobFixture(t, 1)
	if got := f.job.s.prefixOf(strings.Repeat("x", 1<<20)); len(got) != 64 {
		t.Fatalf("got %d blocks, want 64", len(got))
	}
}
