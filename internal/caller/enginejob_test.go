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

// endRecorder is a control goroutine that only takes the ends of dispatches.
type endRecorder struct {
	Control
	ends chan request.End
}

func (r *endRecorder) Ended(_ entity.RequestID, end request.End) { r.ends <- end }

var jobPrompt = strings.Repeat("the shelves were full; ", 40)

// bench is a job with a stand-in engine.
type bench struct {
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

func newBench(t *testing.T, tokens int) *bench {
	t.Helper()
	e, address := startFastEngine(t)
	b := &bench{engine: e, endpoint: entity.Endpoint{Address: address}, ends: make(chan request.End, 1), metrics: telemetry.NewMetrics()}
	b.client = endpoint.New(endpoint.Options{
		NoProgress: 100 * time.Millisecond, ReattachPause: time.Millisecond, ReattachTries: 1, Metrics: b.metrics.Registry(),
	})
	t.Cleanup(b.client.Close)
	s := NewServer(Options{
		Control: &endRecorder{ends: b.ends}, Endpoints: b.client, Clock: time.Now, Metrics: b.metrics,
		EngineBlockTokens: prefix.DefaultBlockTokens, PrefixBlockTokens: 64, MaxPrefixBlocks: 64, State: func() config.State { return config.State{} },
	})
	b.job = &engineJob{
		s: s, id: "r-1", body: completionBody{Model: "m", Prompt: jobPrompt, MaxTokens: tokens},
		out: newStreamWriter(httptest.NewRecorder(), "r-1", "m", true),
	}
	return b
}

func (b *bench) dispatch() { b.job.dispatch(context.Background(), b.endpoint, request.Directive{}) }

// until waits for a state of the request at the engine.
func (b *bench) until(t *testing.T, holds func(engine.Entry) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), guard)
	defer cancel()
	if _, err := b.engine.Await(ctx, b.job.id, holds); err != nil {
		t.Fatalf("%v: %+v", err, b.engine.Journal())
	}
}

func TestCancelledDispatchReportsItsPrefill(t *testing.T) {
	b := newBench(t, 30_000)
	go b.dispatch()
	b.until(t, func(e engine.Entry) bool { return !e.Started.IsZero() })
	why := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonPreempted}
	b.job.cancel(context.Background(), b.endpoint, request.Directive{Err: why})
	end := <-b.ends
	if end.Err != why || end.Release.PrefillTokens == 0 {
		t.Fatalf("%+v, %+v", end.Err, end.Release)
	}
	if got := b.metrics.WastedPrefillTokens.Count(); got != int64(end.Release.PrefillTokens) {
		t.Fatalf("%d tokens of wasted prefill counted, %d processed", got, end.Release.PrefillTokens)
	}
}

func TestCancelBeforeTheDispatchLeavesItUnsent(t *testing.T) {
	b := newBench(t, 10)
	why := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonDeadline}
	b.job.cancel(context.Background(), b.endpoint, request.Directive{Err: why})
	b.dispatch()
	end := <-b.ends
	if end.Err.Verdict != verdict.NotRun || end.Err.Reason != verdict.ReasonDeadline {
		t.Fatalf("%+v", end.Err)
	}
	if j := b.engine.Journal(); len(j) != 0 {
		t.Fatalf("dispatched: %+v", j)
	}
}

// TestGivenUpStreamIsCancelled has the connections fail until the job gives
// up, while the engine goes on.
func TestGivenUpStreamIsCancelled(t *testing.T) {
	b := newBench(t, 30_000)
	b.engine.SetFaults(engine.Faults{Cut: engine.Cut{Kind: engine.CutAbort, Times: 2}})
	b.dispatch()
	end := <-b.ends
	if end.Err == nil || end.Err.Verdict != verdict.MayHaveRun || !end.Release.Failed {
		t.Fatalf("%+v", end)
	}
	b.until(t, func(e engine.Entry) bool { return e.End.FinishReason == endpoint.FinishCancelled })
}

func TestKVCacheIsMovedBeforeTheDispatch(t *testing.T) {
	b := newBench(t, 5)
	_, from := startFastEngine(t)
	warm := endpoint.GenerateRequest{RequestID: "w", Model: "m", Prompt: jobPrompt, MaxTokens: 1}
	if _, err := b.client.Generate(context.Background(), from, warm, func(endpoint.Token) error { return nil }); err != nil {
		t.Fatal(err)
	}
	b.job.moveKV(context.Background(), from, b.endpoint.Address)
	b.dispatch()
	if end := <-b.ends; end.Err != nil || end.Release.PrefillTokens >= prefix.DefaultBlockTokens {
		t.Fatalf("%+v", end)
	}
}

// TestOwnersAndEnginesNameBlocksAlike compares the prefix that owners are told
// with what the engine reports as stored.
func TestOwnersAndEnginesNameBlocksAlike(t *testing.T) {
	b := newBench(t, 1)
	b.dispatch()
	<-b.ends
	events, err := b.client.CacheEvents(context.Background(), b.endpoint.Address, 0)
	if err != nil || len(events.Events) != 1 {
		t.Fatalf("%+v, %v", events, err)
	}
	stored := endpoint.FromWire(events.Events[0].Stored)
	told := b.job.s.prefixOf(jobPrompt)
	if len(told) != prefix.Tokens(jobPrompt)/64 {
		t.Fatalf("%d blocks told", len(told))
	}
	for i, h := range told {
		if stored[4*i+3] != h {
			t.Fatalf("block %d is %x to the owner and %x to the engine", i, h, stored[4*i+3])
		}
	}
}

func TestPrefixIsBounded(t *testing.T) {
	b := newBench(t, 1)
	if got := b.job.s.prefixOf(strings.Repeat("x", 1<<20)); len(got) != 64 {
		t.Fatalf("%d blocks", len(got))
	}
}
